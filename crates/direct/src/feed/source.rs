use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use mimosabridge::feed::{Position, Snapshot};
use snafu::Snafu;

/// A pending read of the store.
pub type Read = LocalBoxFuture<'static, Result<Snapshot, SourceError>>;

/// Reads the platform's store. The platform's adapter makes the calls and decodes the items.
pub struct Source {
    /// Reads all published facts.
    pub list: Box<dyn Fn() -> Read>,
    /// Waits up to a duration for facts that are published after a position. The read fails if the
    /// store takes longer for its answer than the second duration beyond that.
    pub watch: Box<dyn Fn(Position, Duration, Duration) -> Read>,
}

/// The error of a read of the store.
#[derive(Debug, Snafu)]
pub enum SourceError {
    /// The store no longer holds the history since the position.
    #[snafu(display("the history since the position has expired"))]
    HistoryExpired,
    /// The answer is longer than a node reads at a time. A list of what holds is shorter than many
    /// changes.
    #[snafu(display("the answer is too long"))]
    TooLong,
    /// The store closed the connection before the end of its answer.
    #[snafu(display("{reason}"))]
    Cut {
        /// What happened.
        reason: String,
    },
    /// The store did not answer, or its answer was unexpected.
    #[snafu(display("{reason}"))]
    Failed {
        /// What happened.
        reason: String,
    },
}
