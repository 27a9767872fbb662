use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use mimosabridge::feed::Snapshot;
use snafu::Snafu;

/// A read of the store under way.
pub type Read = LocalBoxFuture<'static, Result<Snapshot, SourceError>>;

/// Reads the platform's store. The adapter of the platform makes the calls and decodes the items.
pub struct Source {
    /// Reads everything that is published.
    pub list: Box<dyn Fn() -> Read>,
    /// Waits for what is published after a revision.
    pub watch: Box<dyn Fn(u64, Duration) -> Read>,
}

/// The store could not be read.
#[derive(Debug, Snafu)]
pub enum SourceError {
    /// The store no longer holds the history since the revision.
    #[snafu(display("the history since the revision is gone"))]
    Forgotten,
    /// The store did not answer, or not with what was asked for.
    #[snafu(display("{reason}"))]
    Failed {
        /// What happened.
        reason: String,
    },
}
