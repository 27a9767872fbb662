/// The position of a gate in the ranking of a server's block.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// First among the gates that this gate considers alive.
    Primary,
    /// Not first: this gate assumes that another one serves the block.
    Standby,
    /// One of this many gates that serve the block at once. A baseline for measurements.
    Shared(u32),
}
