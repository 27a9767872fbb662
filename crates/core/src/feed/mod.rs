//! How a node follows what operators and servers publish: by its own reads of the platform's
//! store, or through a peer while the store turns it away.

mod book;
mod fact;
mod lag;
mod reader;

pub use self::{
    book::{Book, News},
    fact::{Fact, Snapshot},
    lag::Lag,
    reader::{Reader, Step},
};
