use mimosabridge::name::Name;
use mimosabridge_cli::Fault;
use snafu::ResultExt;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::events;

/// The signals of operators. None of them ends the process by itself from the creation on, and those
/// that arrive before they are waited for are not lost.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Must be called on a runtime, before the node can be reached. Fails if the
    /// system refuses a handler.
    pub fn new() -> Result<Signals, Fault> {
        let install = |kind| signal(kind).whatever_context("cannot install signal handlers");
        Ok(Signals {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits until the node `name` is to stop: for SIGTERM or SIGINT. SIGHUP asks to read the settings
    /// again, which stand in options and can't change.
    pub async fn stop(&mut self, name: &Name) {
        loop {
            tokio::select! {
                _ = self.terminate.recv() => return,
                _ = self.interrupt.recv() => return,
                _ = self.hangup.recv() => events::NOTHING_TO_RELOAD.emit(&[("node", name)]),
            }
        }
    }
}
