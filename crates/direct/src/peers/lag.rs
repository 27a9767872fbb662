use std::net::SocketAddr;

use mimosabridge::{feed::Progress, time::Time};

use super::exchange::{Exchange, Inner};

impl Exchange {
    /// Records that this node reads the store now.
    pub fn on_read(&self) {
        self.inner.lag.borrow_mut().on_read(self.inner.shared.now());
    }

    /// Waits until a peer is ahead of this node.
    pub async fn wait_until_behind(&self) {
        loop {
            let notified = self.inner.peer_ahead.notified();
            if self.inner.ask_due().is_some() {
                return;
            }
            notified.await;
        }
    }

    /// Waits until a peer has been ahead of this node for so long that one should be asked.
    pub async fn wait_until_due(&self) {
        loop {
            self.wait_until_behind().await;
            let notified = self.inner.peer_ahead.notified();
            let Some(due) = self.inner.ask_due() else { continue };
            if due <= self.inner.shared.now() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.inner.shared.clock.instant(due)) => {}
                // What peers know may have become urgent.
                () = notified => {}
            }
        }
    }

    /// Records that a peer was asked and had nothing new.
    pub fn on_nothing_new(&self) {
        self.inner.lag.borrow_mut().on_nothing_new(self.inner.shared.now());
    }

    /// Records that a peer was asked and had an update.
    pub fn on_update(&self) {
        self.inner.lag.borrow_mut().on_update();
    }
}

impl Inner {
    /// Returns when to ask a peer, if one is ahead of this node.
    fn ask_due(&self) -> Option<Time> {
        self.lag.borrow().due(&self.progress(), self.is_follower.get())
    }

    /// Handles the progress of another node, which takes calls at an address.
    pub(super) fn on_progress(&self, progress: Progress, rpc: SocketAddr) {
        let known = self.progress();
        let now = self.shared.now();
        if self.lag.borrow_mut().on_peer(progress, &known, now) {
            self.ahead.set(Some(rpc));
            self.peer_ahead.notify_waiters();
        }
    }
}
