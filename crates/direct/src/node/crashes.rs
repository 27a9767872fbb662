use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{Crash, Effect, Loss, Sign},
    time::Time,
};

use super::Shared;
use crate::events;

impl Shared {
    /// Records that an attempt which was sent at `sent` was lost. Returns whether its server must be
    /// checked.
    pub fn on_lost(
        &self,
        fingerprint: Fingerprint,
        server: &Entry,
        loss: Loss,
        sent: Time,
    ) -> bool {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        if state.balancer.directory().get(&server.id).is_none_or(|it| it.is_draining) {
            // A server that leaves ends as planned.
            return false;
        }
        let is_repeat = state.crash_detector.is_repeat(fingerprint, sent)
            || state.quarantine.is_repeat(fingerprint, sent, now);
        state.crash_detector.on_lost(fingerprint, server, loss, is_repeat, now)
    }

    /// Records that a server answered to an attempt or a connection that began at `since`.
    pub fn on_reached(&self, server: &Name, since: Time) {
        for fingerprint in self.state.borrow_mut().crash_detector.on_reached(server, since) {
            emit_dropped(fingerprint, server, "server still runs");
        }
    }

    /// Records a sign that a server has ended, and the crashes that it proves. `source` says who
    /// observed it.
    pub fn on_sign(&self, server: &Name, sign: Sign, source: &str) {
        let crashes = self.state.borrow_mut().crash_detector.on_sign(server, sign, self.now());
        for (fingerprint, crash) in crashes {
            if self.record_crash(fingerprint, crash, source) != Effect::Known {
                self.state.borrow_mut().unpushed_contents.insert(fingerprint);
            }
        }
    }

    /// Records a crash that another node observed. Only one that quarantines its content is passed
    /// on at once: one fault makes many contents suspect.
    pub fn on_peer_crash(&self, fingerprint: Fingerprint, crash: Crash) {
        if self.record_crash(fingerprint, crash, "peer") == Effect::Quarantined {
            self.state.borrow_mut().unpushed_contents.insert(fingerprint);
        }
    }

    /// Returns whether a content may crash servers, so that it must be tried on one first.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let state = self.state.borrow();
        state.crash_detector.is_suspect(fingerprint)
            || state.quarantine.is_suspect(fingerprint, self.now())
    }

    /// Clears a content after a run without a crash that started at `started`, unless it is
    /// quarantined.
    pub fn clear_suspect(&self, fingerprint: Fingerprint, started: Time) {
        let now = self.now();
        for server in self.state.borrow_mut().quarantine.clear(fingerprint, started, now) {
            emit_dropped(fingerprint, &server, "answered");
        }
    }

    /// Drops lost attempts that were not found to be crashes in time, and crashes that no longer
    /// count.
    pub fn expire_evidence(&self, now: Time) {
        let state = &mut *self.state.borrow_mut();
        state.quarantine.expire(now);
        self.metrics.suspect_contents.set(state.quarantine.len() as i64);
        let directory = state.balancer.directory();
        let is_leaving = |it: &Name| directory.get(it).is_some_and(|it| it.is_draining);
        for (fingerprint, server) in state.crash_detector.expire(is_leaving, now) {
            emit_dropped(fingerprint, &server, "no sign that the server has ended");
        }
    }

    fn record_crash(&self, fingerprint: Fingerprint, crash: Crash, source: &str) -> Effect {
        let now = self.now();
        let quarantine = &mut self.state.borrow_mut().quarantine;
        let effect = quarantine.record_crash(fingerprint, crash.clone(), now);
        if effect == Effect::Known {
            return effect;
        }
        self.metrics.on_crash(source);
        events::CRASH.emit(&[
            ("fingerprint", &fingerprint),
            ("server", &crash.server),
            ("source", &source),
            ("age_millis", &crash.age.as_millis()),
            ("repeat", &crash.is_repeat),
            ("quarantined", &quarantine.is_quarantined(fingerprint, now)),
        ]);
        effect
    }
}

fn emit_dropped(fingerprint: Fingerprint, server: &Name, reason: &str) {
    events::EVIDENCE_DROPPED.emit(&[
        ("fingerprint", &fingerprint),
        ("server", server),
        ("reason", &reason),
    ]);
}
