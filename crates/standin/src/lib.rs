//! Stand-ins for the external systems, for tests and benchmarks.
//!
//! [`server`] models a backend server: slots, connections and their cost, cold starts, snapshots,
//! cancellation, deadlines, planned stops, crashes and connections that stop responding.
//! [`platform`] models the configuration service and the list of VMs. [`site`] models the sites
//! that use both, and [`collector`] a collector of traces.

pub mod collector;
pub mod platform;
pub mod server;
pub mod site;
