//! Models of the two sites: their data centres, services, servers and workloads.

mod group;
#[allow(clippy::module_inception)]
mod site;
mod workload;

pub use self::{group::Group, site::Site, workload::Workload};
