/// The steps of an attempt at which a fault can be injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// The entry sends the attempt.
    Call,
    /// The attempt reaches its gate.
    AtGate,
    /// The gate sends the attempt to its server.
    ToServer,
    /// The server has started the attempt.
    Running,
    /// The server has sent its reply.
    FromServer,
    /// The gate has sent the outcome to the entry.
    ToEntry,
}

impl Step {
    /// All steps, in order.
    pub const ALL: [Step; 6] =
        [Step::Call, Step::AtGate, Step::ToServer, Step::Running, Step::FromServer, Step::ToEntry];
}
