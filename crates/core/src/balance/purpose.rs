/// The purpose of the attempt for which a server is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// The first attempt of a request.
    First,
    /// A retry of a lost attempt.
    Retry,
    /// A hedge of a late attempt.
    Hedge,
}
