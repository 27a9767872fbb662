use std::{
    collections::{HashMap, HashSet},
    time::Duration,
};

use super::{Background, Crash, Weight, background::kept, crash::REPEAT_GAP};
use crate::{directory::Entry, fingerprint::Fingerprint, name::Name, time::Time};

/// How long a sign that the server has ended adds to the weight of a lost attempt: a server that
/// vanishes is silent for three heartbeats before the store removes its entry.
const WINDOW: Duration = Duration::from_secs(10);

/// After this time a lost attempt is weighed: a check of its server has ended by then, and this node
/// knows whether it loses others, too.
pub const WEIGH_AFTER: Duration = Duration::from_millis(500);

/// The maximum number of lost attempts that are kept.
const CAPACITY: usize = 1_000;

/// Weighs lost attempts: how strongly each speaks for the assumption that its content has ended the
/// server.
///
/// No sign of the server's end is needed, as a server may end without any, and none is trusted
/// alone: a connection that is accepted may be a dead server's, one that is refused may show that
/// this node is cut off.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// The lost attempts by server.
    lost: HashMap<Name, Vec<Lost>>,
    len: usize,
    /// The servers with a check under way.
    checked: HashSet<Name>,
    background: Background,
}

/// How an attempt was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// Its connection broke, or what came back is not a server's answer to it.
    Broken,
    /// No answer arrived in time.
    Silent,
}

/// What shows that a server may have ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sign {
    /// Opening a connection took too long.
    Unreachable,
    /// Its machine refused a connection.
    Refused,
    /// Its entry was removed or names another start, or another server has its address.
    Replaced,
}

#[derive(Clone, Debug)]
struct Lost {
    fingerprint: Fingerprint,
    service: u32,
    /// Distinguishes the starts of the server.
    born: u64,
    at: Time,
    loss: Loss,
    is_repeat: bool,
    sign: Option<Sign>,
    /// Whether a server of this name has answered since.
    is_answered: bool,
    /// The weight of any lost attempt when this one was weighed for the first time.
    base: Option<Weight>,
    /// The weight that was returned last.
    weight: Weight,
}

impl Detector {
    /// Creates a detector without any lost attempts.
    pub fn new() -> Detector {
        Detector::default()
    }

    /// Records that an attempt was lost. `is_repeat` says that it repeats an earlier one. Returns
    /// whether the server must be checked: no check of it is under way. The check ends with
    /// [`Detector::on_checked`].
    pub fn on_lost(
        &mut self,
        fingerprint: Fingerprint,
        server: &Entry,
        loss: Loss,
        is_repeat: bool,
        now: Time,
    ) -> bool {
        // A content that comes again and is lost again must not make its losses look usual.
        if !is_repeat {
            self.background.on_end(true, now);
        }
        if self.len >= CAPACITY {
            return false;
        }
        self.lost.entry(server.id.clone()).or_default().push(Lost {
            fingerprint,
            service: server.service.key(),
            born: server.born,
            at: now,
            loss,
            is_repeat,
            sign: None,
            is_answered: false,
            base: None,
            weight: Weight::default(),
        });
        self.len += 1;
        self.checked.insert(server.id.clone())
    }

    /// Records that the check of a server has ended.
    pub fn on_checked(&mut self, server: &Name) {
        self.checked.remove(server);
    }

    /// Returns whether an attempt that was sent at `sent` repeats a lost one with the same content.
    pub fn is_repeat(&self, fingerprint: Fingerprint, sent: Time) -> bool {
        let mut lost = self.lost.values().flatten();
        lost.any(|it| it.fingerprint == fingerprint && it.at + REPEAT_GAP <= sent)
    }

    /// Returns whether a content may have crashed a server, according to a loss that is not weighed
    /// yet: the connection of an attempt broke, or its server was silent and shows that it may have
    /// ended.
    pub fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        let mut lost = self.lost.values().flatten();
        lost.any(|it| {
            let is_sign = it.loss == Loss::Broken || it.sign.is_some();
            it.fingerprint == fingerprint && it.base.is_none() && is_sign
        })
    }

    /// Records that a server of this name answered to an attempt or a check that began at `since`.
    /// It may be another process than the one that lost an attempt.
    pub fn on_answered(&mut self, server: &Name, since: Time) {
        let lost = self.lost.get_mut(server).into_iter().flatten();
        lost.filter(|it| it.at <= since).for_each(|it| it.is_answered = true);
    }

    /// Records that a server of a service answered a content in an attempt that was sent at `sent`.
    /// Losses before that do not speak against the content.
    pub fn on_content_answered(
        &mut self,
        fingerprint: Fingerprint,
        service: &Name,
        sent: Time,
        now: Time,
    ) {
        self.background.on_end(false, now);
        let service = service.key();
        let is_cleared =
            |it: &Lost| it.fingerprint == fingerprint && it.service == service && it.at <= sent;
        self.take(is_cleared);
    }

    /// Records a sign that a server has ended.
    pub fn on_sign(&mut self, server: &Name, sign: Sign) {
        for lost in self.lost.get_mut(server).into_iter().flatten() {
            // A proof stays a proof.
            lost.sign = lost.sign.filter(|it| *it != Sign::Unreachable).or(Some(sign));
        }
    }

    /// Returns when the next lost attempt is to be weighed for the first time, if there is any.
    pub fn next_weighing(&self) -> Option<Time> {
        let pending = self.lost.values().flatten().filter(|it| it.base.is_none());
        pending.map(|it| it.at + WEIGH_AFTER).min()
    }

    /// Weighs the attempts that were lost long enough ago, and again those of which more is known.
    /// Returns what is new. `is_leaving` names servers that end as planned.
    pub fn weigh(
        &mut self,
        is_leaving: impl Fn(&Name) -> bool,
        now: Time,
    ) -> Vec<(Fingerprint, Crash)> {
        let own = self.own_losses(now);
        let mut crashes = Vec::new();
        for (server, lost) in &mut self.lost {
            for it in lost.iter_mut().filter(|it| now.since(it.at) >= WEIGH_AFTER) {
                let own = own.get(&it.fingerprint).copied().unwrap_or_default();
                let base = || Weight::new(self.background.loss_share(own, now));
                let base = *it.base.get_or_insert_with(base);
                let weight = it.weigh(base, is_leaving(server));
                if weight <= it.weight || !weight.is_relevant() {
                    continue;
                }
                it.weight = weight;
                crashes.push((it.fingerprint, it.crash(server, weight, now)));
            }
        }
        crashes
    }

    /// Returns what the losses of a content weigh before it is known whether their servers have ended,
    /// for a content that no server has answered.
    pub fn early_weight(&self, fingerprint: Fingerprint, now: Time) -> Weight {
        let own = self.own_losses(now).get(&fingerprint).copied().unwrap_or_default();
        Weight::new(self.background.loss_share(own, now))
    }

    /// Returns how much of the measured losses each content has itself. A request is lost at all of
    /// its shards at once, which does not show that losses are usual.
    fn own_losses(&self, now: Time) -> HashMap<Fingerprint, f64> {
        let mut own: HashMap<_, f64> = HashMap::new();
        for lost in self.lost.values().flatten().filter(|it| !it.is_repeat) {
            *own.entry(lost.fingerprint).or_default() += kept(lost.at, now);
        }
        own
    }

    /// Drops the attempts that were lost too long ago. Returns those that never weighed anything.
    pub fn expire(&mut self, now: Time) -> Vec<(Fingerprint, Name)> {
        let old = self.take(|it| now.since(it.at) >= WINDOW).into_iter();
        let old = old.filter(|(_, it)| it.weight == Weight::default());
        old.map(|(server, it)| (it.fingerprint, server)).collect()
    }

    fn take(&mut self, is_taken: impl Fn(&Lost) -> bool) -> Vec<(Name, Lost)> {
        let mut taken = Vec::new();
        for (server, lost) in &mut self.lost {
            taken.extend(lost.extract_if(.., |it| is_taken(it)).map(|it| (server.clone(), it)));
        }
        self.len -= taken.len();
        if !taken.is_empty() {
            self.lost.retain(|_, it| !it.is_empty());
        }
        taken
    }
}

impl Lost {
    /// Returns the weight of the loss, where `base` is that of any lost attempt now.
    fn weigh(&self, base: Weight, is_leaving: bool) -> Weight {
        let is_proven = matches!(self.sign, Some(Sign::Refused | Sign::Replaced));
        match (self.loss, self.sign) {
            (Loss::Silent, None) if self.is_answered => Weight::default(),
            // A server that leaves ends as planned.
            _ if is_leaving => base.with_doubt(),
            _ if is_proven => base.with_proof(),
            // The server may be slow.
            (Loss::Silent, None) => base.with_doubt(),
            _ if self.is_answered => base.with_doubt(),
            _ => base,
        }
    }

    fn crash(&self, server: &Name, weight: Weight, now: Time) -> Crash {
        Crash {
            server: server.clone(),
            service: self.service,
            born: self.born,
            age: now.since(self.at),
            is_repeat: self.is_repeat,
            weight,
        }
    }
}
