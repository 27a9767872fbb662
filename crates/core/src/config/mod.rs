//! Configuration: named objects that refer to one another, checked and published as a whole.

mod bundle;
mod chain;
mod change;
mod check;
mod class;
mod data_centre;
mod digest;
mod document;
mod finding;
mod head;
mod history;
mod kind;
mod location;
mod rule;
mod server;
mod service;
mod set;
mod shard;
mod snapshot;
mod stamp;

pub use self::{
    bundle::{Bundle, BundleError, MAX_PART_BYTES},
    chain::{Chain, Origin, Verdict},
    change::{Change, Reference},
    check::check,
    class::Class,
    data_centre::{DataCentre, Intake},
    digest::{Digest, DigestError},
    document::{Document, Lines, ParseError},
    finding::Finding,
    head::Head,
    history::{History, Step},
    kind::Kind,
    location::Location,
    rule::Rule,
    server::Server,
    service::Service,
    set::Set,
    shard::Shard,
    snapshot::Snapshot,
    stamp::{Stamp, StampError},
};
