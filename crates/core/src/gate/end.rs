use super::Report;
use crate::outcome::Outcome;

/// How an attempt that was sent came to its end, as the driver saw it.
#[derive(Clone, Debug)]
pub struct End {
    /// What became of the attempt.
    pub outcome: Outcome,
    /// What the server said of itself in its reply, if it replied.
    pub report: Option<Report>,
}
