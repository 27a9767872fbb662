//! Which replicas a query goes to, and through which gates.

mod distance;
mod load;
mod table;

pub use self::{distance::Distance, load::Load, table::Table};
