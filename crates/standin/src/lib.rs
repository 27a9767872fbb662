//! Stand-ins for the outside systems, for tests and measurement.
//!
//! [`searcher`] models a backend server: slots, connections and their cost, cold starts, snapshots,
//! cancellation, deadlines, leaving, crashes and connections that go silent. [`platform`] models
//! the configuration service and the list of VMs. [`site`] models the sites that use both.

pub mod collector;
pub mod platform;
pub mod searcher;
pub mod site;
