use crate::{config::Class, name::Name, time::Time};

/// A sub-request that a gate is asked to run on one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// The number of the task, unique at the gate.
    pub id: u64,
    /// The server to run it on.
    pub server: Name,
    /// The priority class.
    pub class: Class,
    /// When the answer is of no more use.
    pub deadline: Time,
}
