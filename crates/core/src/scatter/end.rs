/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The server answered with success, and the whole answer is sound.
    Served,
    /// The server answered with a failure of its own, after it began to run the request.
    Failed,
    /// The server said that it did not run the request, for want of room or of time.
    Shed,
    /// Another server has the address and did not run the request.
    Misdirected,
    /// No connection could be opened; nothing was sent.
    Unsent,
    /// The connection broke after the request may have been sent.
    Broken,
    /// What came is not a sound answer to this request.
    Invalid,
    /// No answer came in time.
    Silent,
}

impl End {
    /// Returns whether the request provably did not run in this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, End::Shed | End::Misdirected | End::Unsent)
    }
}
