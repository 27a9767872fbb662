//! How a node follows what operators and servers publish: by its own reads of the platform's
//! store, or through a peer, either because the peer reads for others or because the store refuses
//! this node.

mod doubt;
mod fact;
mod lag;
mod log;
mod mirror;
mod position;
mod progress;
mod reader;
mod restore;
mod restriction;
mod restrictions;
mod scout;
mod selector;

pub use self::{
    doubt::{has_doubtful_gap, has_doubtful_removal, witnesses},
    fact::{Fact, Snapshot, Update},
    lag::Lag,
    mirror::{Event, Mirror},
    position::Position,
    progress::Progress,
    reader::{ANSWER_TIMEOUT, Reader, Step},
    restriction::Restriction,
    scout::{SCOUT_WAIT, Scout},
    selector::{Selector, Upstream},
};
