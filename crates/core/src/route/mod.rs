//! Which replicas a query goes to, and through which gates.

mod distance;
mod load;
mod reach;
mod replica;
mod table;

pub use self::{distance::Distance, load::Load, reach::Reach, replica::Replica, table::Table};
