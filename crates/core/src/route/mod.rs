//! Routing of queries to replicas through their gates.

mod distance;
mod load;
mod replica;
mod scope;
mod table;

pub use self::{distance::Distance, load::Load, replica::Replica, scope::Scope, table::Table};
