/// The place of a gate in the ranking of a server's block.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Rank {
    /// First of the gates that this gate believes alive.
    Primary,
    /// Not first: another gate is believed to serve the block.
    Standby,
    /// One of this many gates that serve the block at once, a baseline for measurement.
    Shared(u32),
}
