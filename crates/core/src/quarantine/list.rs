use std::collections::{HashMap, VecDeque};

use super::{
    Crash, Evidence, Weight,
    content::{Content, Known, TTL},
    crash::REPEAT_GAP,
    detector::WEIGH_AFTER,
};
use crate::{fingerprint::Fingerprint, member::News, name::Name, time::Time};

/// The maximum number of contents in a list.
const CAPACITY: usize = 10_000;

/// The most news of quarantined contents in one packet to another node.
const MAX_QUARANTINED_NEWS: usize = 4;

/// The most news of contents in one packet to another node.
const MAX_NEWS: usize = 6;

/// The room that packets to other nodes keep for news of contents while there are any, in bytes. A
/// crash takes some 40, a quarantine half of it.
const NEWS_BYTES: usize = 160;

/// Possible crashes of backend servers, by the content that they were running.
///
/// A content is quarantined once the weights of its independent crashes reach
/// [`Weight::QUARANTINE`]: they are of attempts that repeat others, or are far apart. Below that, a
/// content is suspect from [`Weight::SUSPICION`] on; it is tried on one server before others get it.
/// An answer to the content by a server clears the earlier crashes of its service.
///
/// Each node repeats what it knows to the others as long as it counts, so that nodes learn it that
/// start later, are cut off for a while, or lose packets.
#[derive(Clone, Debug, Default)]
pub struct List {
    contents: HashMap<Fingerprint, Content>,
    /// The contents in the order of their last crash, which may be out of date.
    order: VecDeque<(Time, Fingerprint)>,
    /// The contents in the order in which they are repeated.
    quarantined: VecDeque<Fingerprint>,
    suspect: VecDeque<Fingerprint>,
}

/// What evidence changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// It was known.
    Known,
    /// It is new.
    Recorded,
    /// It is new, and the content is quarantined from now on.
    Quarantined,
}

impl List {
    /// Creates an empty list.
    pub fn new() -> List {
        List::default()
    }

    /// Records a crash.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: Time) -> Effect {
        let expires = now + TTL.saturating_sub(crash.age);
        let is_new = self.update(fingerprint, now, |it| it.record(crash, expires));
        let Some(content) = self.contents.get_mut(&fingerprint).filter(|_| is_new) else {
            return Effect::Known;
        };
        match content.quarantine_end(now) {
            Some(until) if content.quarantine(until, now) => {
                self.on_quarantined(fingerprint, until)
            }
            _ => Effect::Recorded,
        }
    }

    /// Records what another node knows.
    pub fn receive(&mut self, fingerprint: Fingerprint, evidence: Evidence, now: Time) -> Effect {
        match evidence {
            Evidence::Crash(crash) => self.record_crash(fingerprint, crash, now),
            Evidence::Cleared(service, sent) => {
                let limit = now + TTL.saturating_sub(sent);
                let content = self.contents.get_mut(&fingerprint);
                let cleared = content.map(|it| it.clear(service, limit, now));
                let is_news = cleared.is_some_and(|it| !it.is_empty());
                if is_news { Effect::Recorded } else { Effect::Known }
            }
            Evidence::Quarantined(left) => {
                let until = now + left.min(TTL);
                if !self.update(fingerprint, now, |it| it.join_quarantine(until, now)) {
                    return Effect::Known;
                }
                self.on_quarantined(fingerprint, until)
            }
        }
    }

    /// Clears a suspect content: a server of a service has answered it in an attempt that was sent
    /// at `sent`. Does not end a quarantine. Returns the servers whose crashes no longer count.
    pub fn clear(
        &mut self,
        fingerprint: Fingerprint,
        service: u32,
        sent: Time,
        now: Time,
    ) -> Vec<Name> {
        let Some(content) = self.contents.get_mut(&fingerprint) else { return Vec::new() };
        if content.is_quarantined(now) {
            return Vec::new();
        }
        content.clear(service, sent + TTL, now)
    }

    /// Clears a suspect content like [`List::clear`] after a run without a crash on all services,
    /// which started at `started`.
    pub fn clear_all(&mut self, fingerprint: Fingerprint, started: Time, now: Time) {
        let services = self.contents.get(&fingerprint).map(Content::services);
        for service in services.unwrap_or_default() {
            self.clear(fingerprint, service, started, now);
        }
    }

    /// Returns the servers that crashed while they were running a content.
    pub fn crashed_servers(&self, fingerprint: Fingerprint, now: Time) -> Vec<Name> {
        self.counted(fingerprint, now).map(|it| it.server.clone()).collect()
    }

    /// Returns whether a content may crash servers.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.evidence(fingerprint, now) >= Weight::SUSPICION
    }

    /// Returns until when a suspect content must not be run because a recent crash is being examined.
    /// Meanwhile it would crash more servers, and one node has already asked one more than the first.
    pub fn examined_until(&self, fingerprint: Fingerprint, now: Time) -> Option<Time> {
        let content = self.contents.get(&fingerprint)?;
        let is_held = !content.is_quarantined(now) && content.evidence(now) >= Weight::SUSPICION;
        content.examined_until(now).filter(|_| is_held)
    }

    /// Returns whether evidence that was just received must be passed on at once: a loss that is not
    /// weighed yet and whose content is held. The node that weighs it sends the result to all others; if
    /// each of them passed that on, the number of packets would grow with the square of the nodes.
    pub fn is_urgent(&self, fingerprint: Fingerprint, evidence: &Evidence, now: Time) -> bool {
        let Evidence::Crash(crash) = evidence else { return false };
        crash.age < WEIGH_AFTER && self.examined_until(fingerprint, now).is_some()
    }

    /// Returns the sum of the weights of the independent crashes of a content, in tenths of a bit.
    pub fn evidence(&self, fingerprint: Fingerprint, now: Time) -> u32 {
        self.contents.get(&fingerprint).map_or(0, |it| it.evidence(now))
    }

    /// Returns whether an attempt that was sent at `sent` repeats one that crashed a server.
    pub fn is_repeat(&self, fingerprint: Fingerprint, sent: Time, now: Time) -> bool {
        self.counted(fingerprint, now).any(|it| it.expires + REPEAT_GAP <= sent + TTL)
    }

    /// Returns whether a content is quarantined and must not be run.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.contents.get(&fingerprint).is_some_and(|it| it.is_quarantined(now))
    }

    /// Returns what is known of a content, for nodes that must learn it at once.
    pub fn news(&self, fingerprint: Fingerprint, now: Time) -> Vec<News> {
        let evidence = self.contents.get(&fingerprint).map(|it| it.news(now));
        let news = |evidence| News::Evidence { fingerprint, evidence };
        evidence.unwrap_or_default().into_iter().map(news).collect()
    }

    /// Returns what to repeat in the next packet to another node, quarantined contents first. The
    /// contents take turns.
    pub fn next_news(&mut self, now: Time) -> Vec<News> {
        self.expire(now);
        let mut news = Vec::new();
        for _ in 0..self.quarantined.len() {
            if news.len() >= MAX_QUARANTINED_NEWS {
                break;
            }
            let Some(fingerprint) = self.quarantined.pop_front() else { break };
            self.repeat(fingerprint, &mut news, now);
        }
        for _ in 0..self.suspect.len() {
            if news.len() >= MAX_NEWS {
                break;
            }
            let Some(fingerprint) = self.suspect.pop_front() else { break };
            self.repeat(fingerprint, &mut news, now);
        }
        news.truncate(MAX_NEWS);
        news
    }

    /// Returns the room that packets to other nodes must keep for crashes, in bytes.
    pub fn news_bytes(&self) -> usize {
        if self.is_empty() { 0 } else { NEWS_BYTES }
    }

    /// Drops the crashes that no longer count.
    pub fn expire(&mut self, now: Time) {
        while self.order.front().is_some_and(|it| it.0 <= now) {
            let Some((_, fingerprint)) = self.order.pop_front() else { return };
            let Some(content) = self.contents.get_mut(&fingerprint) else { continue };
            if !content.expire(now) {
                self.contents.remove(&fingerprint);
            }
        }
    }

    /// Returns the number of contents with at least one crash.
    pub fn len(&self) -> usize {
        self.contents.len()
    }

    /// Returns whether the list holds no crash.
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns the crashes of a content that count.
    fn counted(&self, fingerprint: Fingerprint, now: Time) -> impl Iterator<Item = &Known> {
        self.contents.get(&fingerprint).into_iter().flat_map(move |it| it.counted(now))
    }

    /// Updates a content, which may be new. Returns whether the update changes it.
    fn update(
        &mut self,
        fingerprint: Fingerprint,
        now: Time,
        update: impl FnOnce(&mut Content) -> bool,
    ) -> bool {
        self.expire(now);
        let is_new = !self.contents.contains_key(&fingerprint);
        let content = self.contents.entry(fingerprint).or_default();
        let is_changed = update(content);
        let expires = content.expires();
        if expires <= now {
            self.contents.remove(&fingerprint);
            return false;
        }
        if is_changed {
            self.order.push_back((expires, fingerprint));
        }
        if is_new {
            self.suspect.push_back(fingerprint);
        }
        while self.contents.len() > CAPACITY {
            self.drop_oldest();
        }
        is_changed
    }

    fn on_quarantined(&mut self, fingerprint: Fingerprint, until: Time) -> Effect {
        let expires = self.contents.get(&fingerprint).map_or(until, Content::expires);
        self.order.push_back((expires, fingerprint));
        self.suspect.retain(|it| *it != fingerprint);
        self.quarantined.retain(|it| *it != fingerprint);
        self.quarantined.push_front(fingerprint);
        Effect::Quarantined
    }

    /// Adds what is known of a content to the news, and puts the content last in its turn.
    fn repeat(&mut self, fingerprint: Fingerprint, news: &mut Vec<News>, now: Time) {
        news.extend(self.news(fingerprint, now));
        let Some(content) = self.contents.get_mut(&fingerprint) else { return };
        content.rotate();
        match content.is_quarantined(now) {
            true => self.quarantined.push_back(fingerprint),
            false => self.suspect.push_back(fingerprint),
        }
    }

    fn drop_oldest(&mut self) {
        let Some((expires, fingerprint)) = self.order.pop_front() else { return };
        if self.contents.get(&fingerprint).is_some_and(|it| it.expires() <= expires) {
            self.contents.remove(&fingerprint);
        }
    }
}
