use crate::{config::Class, name::Name, time::Time};

/// A sub-request for a gate to run on one server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Task {
    /// The number of the task, unique within the gate.
    pub id: u64,
    /// The server to run it on.
    pub server: Name,
    /// The priority class.
    pub class: Class,
    /// The time after which the answer is useless.
    pub deadline: Time,
}
