use std::{collections::HashMap, time::Duration};

use super::{Crash, Evidence, Weight, crash::REPEAT_GAP, detector::WEIGH_AFTER};
use crate::{name::Name, time::Time};

/// The number of proven crashes after which a content is quarantined, if they are independent.
pub const CRASH_THRESHOLD: usize = 2;

/// How long after a loss its content is not run. Longer than it takes to weigh the loss, so that the
/// result reaches the other nodes before they run the content again.
const HOLD_TIME: Duration = Duration::from_millis(600);

/// How long a crash counts.
pub(super) const TTL: Duration = Duration::from_secs(300);

/// Crashes that are farther apart than this are independent: one fault ends its servers together.
const INDEPENDENT_AFTER: Duration = Duration::from_secs(1);

/// How long a crash makes its content suspect that nobody has weighed.
const EARLY_TTL: Duration = Duration::from_millis(1_200);

/// The longest that news of the end of a quarantine may take.
const MAX_DELAY: Duration = Duration::from_secs(30);

/// The maximum number of crashes that are kept for a content.
const MAX_CRASHES: usize = 8;

/// What is known of one content.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    crashes: Vec<Known>,
    /// For services that have answered the content: when a crash would expire that happened as the
    /// content was sent. Crashes that expire no later do not count.
    cleared: HashMap<u32, Time>,
    quarantined_until: Option<Time>,
}

/// A crash as it is kept. Its time may lie before the start of this process, its expiry does not.
#[derive(Clone, Debug)]
pub(super) struct Known {
    pub server: Name,
    service: u32,
    born: u64,
    is_repeat: bool,
    weight: Weight,
    /// Whether its node has not weighed it yet. It makes its content suspect, but no more.
    is_early: bool,
    pub expires: Time,
}

impl Content {
    /// Adds a crash. Returns whether it is new, or more is known of it.
    pub fn record(&mut self, crash: Crash, expires: Time) -> bool {
        let Crash { server, service, born, is_repeat, weight, age } = crash;
        let is_early = weight == Weight::EARLY && age < WEIGH_AFTER;
        let is_same = |it: &&mut Known| it.server == server && it.born == born;
        if let Some(known) = self.crashes.iter_mut().find(is_same) {
            // News that was held up on its way makes a crash look later than it was.
            known.expires = known.expires.min(expires);
            let is_weighed = known.is_early && !is_early;
            let is_heavier = is_early == known.is_early && weight > known.weight;
            let is_news = is_repeat && !known.is_repeat || is_weighed || is_heavier;
            known.is_repeat |= is_repeat;
            if is_weighed || is_heavier {
                (known.weight, known.is_early) = (weight, is_early);
            }
            return is_news;
        }
        if self.crashes.len() >= MAX_CRASHES {
            let oldest = (0..self.crashes.len()).min_by_key(|it| self.crashes[*it].expires);
            let Some(oldest) = oldest.filter(|it| self.crashes[*it].expires < expires) else {
                return false;
            };
            self.crashes.remove(oldest);
        }
        self.crashes.push(Known { server, service, born, is_repeat, weight, is_early, expires });
        true
    }

    /// Makes the crashes of a service not count that expire no later than `limit`. Returns the
    /// servers of those that have counted.
    pub fn clear(&mut self, service: u32, limit: Time, now: Time) -> Vec<Name> {
        if !self.crashes.iter().any(|it| it.service == service) {
            return Vec::new();
        }
        let counted = self.counted(now).filter(|it| it.service == service && it.expires <= limit);
        let servers = counted.map(|it| it.server.clone()).collect();
        let known = self.cleared.entry(service).or_insert(limit);
        *known = limit.max(*known);
        servers
    }

    /// Returns the services of the crashes.
    pub fn services(&self) -> Vec<u32> {
        self.crashes.iter().map(|it| it.service).collect()
    }

    /// Quarantines the content until `until`, unless it is quarantined already. Returns whether it
    /// is quarantined from now on.
    pub fn quarantine(&mut self, until: Time, now: Time) -> bool {
        if self.is_quarantined(now) || until <= now {
            return false;
        }
        self.quarantined_until = Some(until);
        true
    }

    /// Quarantines the content like [`Content::quarantine`] because another node does, unless its
    /// quarantine has just ended here: news that was held up on its way must not prolong it.
    pub fn join_quarantine(&mut self, until: Time, now: Time) -> bool {
        let has_just_ended = self.quarantined_until.is_some_and(|it| now < it + MAX_DELAY);
        !has_just_ended && self.quarantine(until, now)
    }

    /// Returns whether the content is quarantined.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|it| it > now)
    }

    /// Returns the sum of the weights of the independent crashes, in tenths of a bit. One fault ends
    /// its servers in one moment; of these crashes only the heaviest counts.
    pub fn evidence(&self, now: Time) -> u32 {
        sum(self.counted(now))
    }

    /// Returns the sum of the weights like [`Content::evidence`], without crashes that were not
    /// weighed yet.
    fn weighed_evidence(&self, now: Time) -> u32 {
        sum(self.counted(now).filter(|it| !it.is_early))
    }

    /// Returns until when the latest crash is so recent that it is still being examined.
    pub fn examined_until(&self, now: Time) -> Option<Time> {
        let age = self.counted(now).map(|it| it.age(now)).min()?;
        (age < HOLD_TIME).then(|| now + (HOLD_TIME - age))
    }

    /// Returns until when the crashes that count now are enough for a quarantine, if they are.
    pub fn quarantine_end(&self, now: Time) -> Option<Time> {
        if self.weighed_evidence(now) < Weight::QUARANTINE {
            return None;
        }
        let mut ends: Vec<_> = self.counted(now).map(|it| it.expires).collect();
        ends.sort();
        ends.into_iter().find(|it| self.weighed_evidence(*it) < Weight::QUARANTINE)
    }

    /// Returns the crashes that count.
    pub fn counted(&self, now: Time) -> impl Iterator<Item = &Known> {
        let is_cleared =
            |it: &Known| self.cleared.get(&it.service).is_some_and(|at| it.expires <= *at);
        // The node that knows of an early crash says by then what it weighs, if anything.
        let is_over = move |it: &Known| it.is_early && it.age(now) >= EARLY_TTL;
        let is_counted = move |it: &&Known| it.expires > now && !is_cleared(it) && !is_over(it);
        self.crashes.iter().filter(is_counted)
    }

    /// Returns what other nodes must know of the content.
    pub fn news(&self, now: Time) -> Vec<Evidence> {
        if let Some(until) = self.quarantined_until.filter(|it| *it > now) {
            return vec![Evidence::Quarantined(now.until(until))];
        }
        let age = |limit| TTL.saturating_sub(now.until(limit));
        let cleared = self.cleared.iter().map(|it| Evidence::Cleared(*it.0, age(*it.1)));
        // Other nodes would take an older crash for one that was weighed.
        let is_told = |it: &&Known| !it.is_early || it.age(now) < WEIGH_AFTER;
        let crashes = self.counted(now).filter(is_told).map(|it| Evidence::Crash(it.crash(now)));
        crashes.chain(cleared).collect()
    }

    /// Makes another crash the first one in the news, as packets may hold only a part of them.
    pub fn rotate(&mut self) {
        if !self.crashes.is_empty() {
            self.crashes.rotate_left(1);
        }
    }

    /// Drops what no longer counts. Returns whether anything is left.
    pub fn expire(&mut self, now: Time) -> bool {
        self.crashes.retain(|it| it.expires > now);
        self.cleared.retain(|_, it| *it > now);
        self.expires() > now
    }

    /// Returns when the content can be forgotten.
    pub fn expires(&self) -> Time {
        let crashes = self.crashes.iter().map(|it| it.expires);
        let remembered = self.quarantined_until.map(|it| it + MAX_DELAY);
        crashes.chain(remembered).max().unwrap_or_default()
    }
}

impl Known {
    /// Returns the time since the crash, which may lie before the start of this process.
    fn age(&self, now: Time) -> Duration {
        TTL.saturating_sub(now.until(self.expires))
    }

    /// Returns whether one fault cannot have caused both this crash and `earlier`. An attempt that was
    /// sent after one crash shows nothing about those that were sent with it.
    fn is_independent(&self, earlier: &Known) -> bool {
        let gap = self.expires.since(earlier.expires);
        match (earlier.is_repeat, self.is_repeat) {
            (false, true) => true,
            (true, true) => gap >= REPEAT_GAP,
            (_, false) => gap >= INDEPENDENT_AFTER,
        }
    }

    /// Returns the crash with its age, for other nodes.
    fn crash(&self, now: Time) -> Crash {
        Crash {
            server: self.server.clone(),
            service: self.service,
            born: self.born,
            age: self.age(now),
            is_repeat: self.is_repeat,
            weight: self.weight,
        }
    }
}

/// Returns the sum of the weights of independent crashes, in tenths of a bit.
fn sum<'a>(crashes: impl Iterator<Item = &'a Known>) -> u32 {
    let mut crashes: Vec<_> = crashes.collect();
    crashes.sort_by_key(|it| (it.expires, it.is_repeat));
    let (mut sum, mut heaviest) = (0, 0);
    let mut moment: Option<&Known> = None;
    for crash in crashes {
        if moment.is_none_or(|it| crash.is_independent(it)) {
            sum += heaviest;
            (heaviest, moment) = (0, Some(crash));
        }
        heaviest = heaviest.max(crash.weight.tenths());
    }
    sum + heaviest
}
