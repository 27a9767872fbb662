use std::collections::{HashMap, VecDeque};

use super::{
    Crash,
    content::{Content, Known, TTL},
    crash::REPEAT_GAP,
};
use crate::{fingerprint::Fingerprint, member::News, name::Name, time::Time};

/// The maximum number of contents in a list.
const CAPACITY: usize = 10_000;

/// The most crashes of quarantined contents in one packet to another node.
const MAX_QUARANTINED_NEWS: usize = 4;

/// The most crashes in one packet to another node.
const MAX_NEWS: usize = 6;

/// The room that packets to other nodes keep for crashes while there are any, in bytes. A content
/// with two crashes takes some 70.
const NEWS_BYTES: usize = 160;

/// Crashes of backend servers, by the content that they were running.
///
/// A content is quarantined by two independent crashes until they expire: one is of an attempt that
/// repeats another, or they are far apart. A content with other crashes is suspect until they expire
/// or a run without a crash clears it; it is tried on one server before others get it.
///
/// Each node repeats its crashes to the others as long as they count, so that nodes learn them that
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

/// What a crash changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// The crash was known.
    Known,
    /// The crash is new.
    Recorded,
    /// The crash is new, and the content is quarantined from now on.
    Quarantined,
}

impl List {
    /// Creates an empty list.
    pub fn new() -> List {
        List::default()
    }

    /// Records a crash.
    pub fn record_crash(&mut self, fingerprint: Fingerprint, crash: Crash, now: Time) -> Effect {
        self.expire(now);
        let is_new_content = !self.contents.contains_key(&fingerprint);
        let content = self.contents.entry(fingerprint).or_default();
        let was_quarantined = content.is_quarantined(now);
        let expires = now + TTL.saturating_sub(crash.age);
        if !content.record(crash, expires) {
            return Effect::Known;
        }
        let is_quarantined = content.is_quarantined(now);
        self.order.push_back((expires, fingerprint));
        if is_new_content {
            self.suspect.push_back(fingerprint);
        }
        while self.contents.len() > CAPACITY {
            self.drop_oldest();
        }
        if !is_quarantined || was_quarantined {
            return Effect::Recorded;
        }
        self.suspect.retain(|it| *it != fingerprint);
        self.quarantined.push_front(fingerprint);
        Effect::Quarantined
    }

    /// Clears a suspect content after a run without a crash that started at `started`. Does not end
    /// a quarantine. Returns the servers whose crashes no longer count.
    pub fn clear(&mut self, fingerprint: Fingerprint, started: Time, now: Time) -> Vec<Name> {
        let Some(content) = self.contents.get_mut(&fingerprint) else { return Vec::new() };
        if content.is_quarantined(now) {
            return Vec::new();
        }
        let limit = started + TTL;
        let cleared = content.counted(now).filter(|it| it.expires <= limit);
        let cleared = cleared.map(|it| it.server.clone()).collect();
        content.cleared = content.cleared.max(Some(limit));
        cleared
    }

    /// Returns the servers that crashed while they were running a content.
    pub fn crashed_servers(&self, fingerprint: Fingerprint, now: Time) -> Vec<Name> {
        self.counted(fingerprint, now).map(|it| it.server.clone()).collect()
    }

    /// Returns whether a content has crashed a server.
    pub fn is_suspect(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.counted(fingerprint, now).next().is_some()
    }

    /// Returns whether an attempt that was sent at `sent` repeats one that crashed a server.
    pub fn is_repeat(&self, fingerprint: Fingerprint, sent: Time, now: Time) -> bool {
        self.counted(fingerprint, now).any(|it| it.expires + REPEAT_GAP <= sent + TTL)
    }

    /// Returns whether a content is quarantined and must not be run.
    pub fn is_quarantined(&self, fingerprint: Fingerprint, now: Time) -> bool {
        self.contents.get(&fingerprint).is_some_and(|it| it.is_quarantined(now))
    }

    /// Returns the crashes of a content, for nodes that must learn them at once.
    pub fn news(&self, fingerprint: Fingerprint, now: Time) -> Vec<News> {
        let crashes = self.counted(fingerprint, now);
        crashes.map(|it| News::crash(fingerprint, it.crash(now))).collect()
    }

    /// Returns the crashes to repeat in the next packet to another node, those of quarantined
    /// contents first. The contents take turns.
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
            content.crashes.retain(|it| it.expires > now);
            if content.crashes.is_empty() {
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

    /// Adds the crashes of a content to the news, and puts the content last in its turn.
    fn repeat(&mut self, fingerprint: Fingerprint, news: &mut Vec<News>, now: Time) {
        let Some(content) = self.contents.get(&fingerprint) else { return };
        news.extend(self.news(fingerprint, now));
        match content.is_quarantined(now) {
            true => self.quarantined.push_back(fingerprint),
            false => self.suspect.push_back(fingerprint),
        }
    }

    fn drop_oldest(&mut self) {
        let Some((expires, fingerprint)) = self.order.pop_front() else { return };
        let content = self.contents.get(&fingerprint);
        if content.is_some_and(|it| it.crashes.iter().all(|it| it.expires <= expires)) {
            self.contents.remove(&fingerprint);
        }
    }
}
