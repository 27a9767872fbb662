use std::{rc::Rc, time::Duration};

use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{Crash, Effect, Evidence, Loss, Sign, Weight},
    scatter::Attempt,
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
        let is_repeat = state.is_repeat(fingerprint, sent, now);
        state.crash_detector.on_lost(fingerprint, server, loss, is_repeat, now)
    }

    /// Records the first loss of a content that no server has answered and that was lost again. Other
    /// nodes learn it at once, and nobody runs the content until it has been examined.
    pub fn on_suspicious(&self, fingerprint: Fingerprint, attempt: &Attempt) {
        let now = self.now();
        let crash = {
            let state = &mut *self.state.borrow_mut();
            if state.crash_detector.early_weight(fingerprint, now) < Weight::EARLY {
                return;
            }
            let Attempt { server, sent, .. } = attempt;
            let is_repeat = state.is_repeat(fingerprint, *sent, now);
            let (service, born) = (server.service.key(), server.born);
            Crash {
                server: server.id.clone(),
                service,
                born,
                age: Duration::ZERO,
                is_repeat,
                weight: Weight::EARLY,
            }
        };
        self.record_crash(fingerprint, crash, now);
        self.urgent_news.notify_one();
    }

    /// Returns until when a content must not be run because its loss is being examined.
    pub fn examined_until(&self, fingerprint: Fingerprint) -> Option<Time> {
        self.state.borrow().quarantine.examined_until(fingerprint, self.now())
    }

    /// Records that a server answered to an attempt or a check that began at `since`.
    pub fn on_answered(&self, server: &Name, since: Time) {
        self.state.borrow_mut().crash_detector.on_answered(server, since);
    }

    /// Records that a server answered a content, which does not crash its service then.
    pub fn on_content_answered(&self, fingerprint: Fingerprint, attempt: &Attempt) {
        let now = self.now();
        let state = &mut *self.state.borrow_mut();
        let (service, sent) = (&attempt.server.service, attempt.sent);
        state.crash_detector.on_answered(&attempt.server.id, sent);
        state.crash_detector.on_content_answered(fingerprint, service, sent, now);
        for server in state.quarantine.clear(fingerprint, service.key(), sent, now) {
            state.unpushed_contents.insert(fingerprint);
            emit_dropped(fingerprint, server.as_str(), "answered");
        }
    }

    /// Records a sign that a server has ended.
    pub fn on_sign(&self, server: &Name, sign: Sign) {
        self.state.borrow_mut().crash_detector.on_sign(server, sign);
    }

    /// Records that the check of a server has ended.
    pub fn on_checked(&self, server: &Name) {
        self.state.borrow_mut().crash_detector.on_checked(server);
    }

    /// Records what another node knows of a content. Only what quarantines it is passed on at once:
    /// one fault makes many contents suspect.
    pub fn on_peer_evidence(&self, fingerprint: Fingerprint, evidence: Evidence) {
        let now = self.now();
        let (effect, is_urgent) = {
            let quarantine = &mut self.state.borrow_mut().quarantine;
            let effect = quarantine.receive(fingerprint, evidence.clone(), now);
            (effect, quarantine.is_urgent(fingerprint, &evidence, now))
        };
        match evidence {
            // One fault makes all nodes tell of many contents.
            Evidence::Crash(crash)
                if self.state.borrow().quarantine.is_suspect(fingerprint, now) =>
            {
                self.emit_crash(effect, fingerprint, &crash, "peer");
            }
            Evidence::Cleared(..) if effect != Effect::Known => {
                emit_dropped(fingerprint, "", "answered at a peer");
            }
            Evidence::Crash(_) | Evidence::Cleared(..) | Evidence::Quarantined(_) => {}
        }
        if effect == Effect::Quarantined {
            self.on_quarantined(fingerprint, "peer");
        }
        let is_urgent = effect == Effect::Recorded && is_urgent;
        if is_urgent {
            self.state.borrow_mut().unpushed_contents.insert(fingerprint);
        }
        if is_urgent || effect == Effect::Quarantined {
            self.urgent_news.notify_one();
        }
    }

    /// Returns whether a content may crash servers, so that it must be tried on one first.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let state = self.state.borrow();
        state.crash_detector.is_suspect(fingerprint)
            || state.quarantine.is_suspect(fingerprint, self.now())
    }

    /// Weighs each lost attempt as soon as it is due: other nodes wait for the result, and not for
    /// long.
    pub fn weigh_in_time(self: &Rc<Shared>) {
        if self.is_weighing.replace(true) {
            return;
        }
        let shared = self.clone();
        tokio::task::spawn_local(async move {
            let next = || shared.state.borrow().crash_detector.next_weighing();
            while let Some(due) = next() {
                tokio::time::sleep_until(shared.clock.instant(due)).await;
                shared.update_evidence(shared.now().max(due));
            }
            shared.is_weighing.set(false);
        });
    }

    /// Weighs lost attempts, and drops what no longer counts.
    pub fn update_evidence(&self, now: Time) {
        let (crashes, dropped) = {
            let state = &mut *self.state.borrow_mut();
            state.quarantine.expire(now);
            let balancer = &state.balancer;
            let is_leaving = |it: &Name| {
                let entry = balancer.directory().get(it);
                entry.is_some_and(|it| it.is_draining || balancer.is_leaving(it))
            };
            let crashes = state.crash_detector.weigh(is_leaving, now);
            (crashes, state.crash_detector.expire(now))
        };
        for (fingerprint, crash) in crashes {
            self.record_crash(fingerprint, crash, now);
        }
        for (fingerprint, server) in dropped {
            emit_dropped(
                fingerprint,
                server.as_str(),
                "the server answers, or this node loses most attempts",
            );
        }
        let contents = self.state.borrow().quarantine.len();
        self.metrics.suspect_contents.set(contents as i64);
    }

    fn record_crash(&self, fingerprint: Fingerprint, crash: Crash, now: Time) {
        let effect = {
            let state = &mut *self.state.borrow_mut();
            let effect = state.quarantine.record_crash(fingerprint, crash.clone(), now);
            if effect != Effect::Known && state.quarantine.is_suspect(fingerprint, now) {
                state.unpushed_contents.insert(fingerprint);
            }
            effect
        };
        self.emit_crash(effect, fingerprint, &crash, "own attempt");
        if effect == Effect::Quarantined {
            self.on_quarantined(fingerprint, "own attempt");
            self.urgent_news.notify_one();
        }
    }

    fn on_quarantined(&self, fingerprint: Fingerprint, source: &str) {
        self.state.borrow_mut().unpushed_contents.insert(fingerprint);
        events::QUARANTINED.emit(&[("fingerprint", &fingerprint), ("source", &source)]);
    }

    fn emit_crash(&self, effect: Effect, fingerprint: Fingerprint, crash: &Crash, source: &str) {
        if effect == Effect::Known {
            return;
        }
        self.metrics.on_crash(source);
        let now = self.now();
        let quarantine = &self.state.borrow().quarantine;
        events::CRASH.emit(&[
            ("fingerprint", &fingerprint),
            ("server", &crash.server),
            ("source", &source),
            ("age_millis", &crash.age.as_millis()),
            ("repeat", &crash.is_repeat),
            ("weight", &crash.weight.tenths()),
            ("evidence", &quarantine.evidence(fingerprint, now)),
            ("quarantined", &quarantine.is_quarantined(fingerprint, now)),
        ]);
    }
}

fn emit_dropped(fingerprint: Fingerprint, server: &str, reason: &str) {
    events::EVIDENCE_DROPPED.emit(&[
        ("fingerprint", &fingerprint),
        ("server", &server),
        ("reason", &reason),
    ]);
}
