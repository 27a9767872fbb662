/// Why a server is chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// For a first attempt.
    First,
    /// To replace an attempt that was lost, or beside one that is late.
    Extra,
}
