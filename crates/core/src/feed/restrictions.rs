use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::Restriction;
use crate::{member::News, name::Name, time::Time};

/// How long a restriction is kept. Servers write every second or so, and their entries are removed
/// after three silent intervals; operators get the rest of the time.
const KEEP_TIME: Duration = Duration::from_secs(15);

/// A restriction with less time left is not repeated to other nodes, which may just have dropped
/// it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(500);

/// The most restrictions in one packet.
const MAX_NEWS: usize = 3;

/// The room that packets keep for restrictions, in bytes.
const NEWS_BYTES: usize = 100;

/// The restrictions that are kept although the store does not state them.
#[derive(Clone, Debug, Default)]
pub(super) struct Restrictions {
    kept: BTreeMap<Restriction, Kept>,
    /// The restriction that was repeated last to other nodes.
    last_repeated: Option<Restriction>,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    until: Time,
    /// Its author has taken the restriction back. It is remembered until its time is over, because
    /// other nodes may still repeat it.
    is_released: bool,
}

impl Restrictions {
    /// Adds a restriction, or prolongs it.
    pub fn add(&mut self, restriction: Restriction, now: Time) {
        self.kept.insert(restriction, Kept { until: now + KEEP_TIME, is_released: false });
    }

    /// Adds a restriction that another node keeps for `left`. Returns whether it is new.
    pub fn merge(&mut self, restriction: Restriction, left: Duration, now: Time) -> bool {
        if self.kept.contains_key(&restriction) {
            return false;
        }
        let until = now + left.min(KEEP_TIME);
        self.kept.insert(restriction, Kept { until, is_released: false });
        true
    }

    /// Ends a restriction that its author has taken back.
    pub fn release(&mut self, restriction: &Restriction) {
        if let Some(kept) = self.kept.get_mut(restriction) {
            kept.is_released = true;
        }
    }

    /// Removes the restrictions whose time is over. Returns those that ended by that.
    pub fn expire(&mut self, now: Time) -> Vec<Restriction> {
        let over = self.kept.extract_if(.., |_, it| it.until <= now);
        over.filter(|it| !it.1.is_released).map(|it| it.0).collect()
    }

    /// Returns the data centres that are kept closed.
    pub fn closed(&self) -> BTreeSet<Name> {
        let closed = |it: &Restriction| match it {
            Restriction::Closed(data_centre) => Some(data_centre.clone()),
            Restriction::Retired { .. } => None,
        };
        self.active().filter_map(|it| closed(it.0)).collect()
    }

    /// Returns the servers that get no requests, with the start that this holds for.
    pub fn retired(&self) -> HashMap<Name, u64> {
        let retired = |it: &Restriction| match it {
            Restriction::Retired { server, born } => Some((server.clone(), *born)),
            Restriction::Closed(_) => None,
        };
        self.active().filter_map(|it| retired(it.0)).collect()
    }

    /// Returns the next restrictions to repeat to other nodes, all in turn.
    pub fn next_news(&mut self, now: Time) -> Vec<News> {
        let is_lasting = |it: &(&Restriction, &Kept)| now.until(it.1.until) >= MIN_TIME_LEFT;
        let lasting: Vec<_> = self.active().filter(is_lasting).collect();
        let last = self.last_repeated.as_ref();
        let start = lasting.iter().position(|it| Some(it.0) > last).unwrap_or(0);
        let count = lasting.len().min(MAX_NEWS);
        let next: Vec<_> = lasting.iter().cycle().skip(start).take(count).collect();
        let news = next.iter().map(|(restriction, kept)| {
            let left = now.until(kept.until).as_millis();
            News::Restriction { restriction: (*restriction).clone(), left_millis: left as u32 }
        });
        let news = news.collect();
        let last = next.last().map(|it| it.0.clone());
        self.last_repeated = last;
        news
    }

    /// Returns the room that packets keep for restrictions, in bytes.
    pub fn news_bytes(&self) -> usize {
        if self.kept.is_empty() { 0 } else { NEWS_BYTES }
    }

    fn active(&self) -> impl Iterator<Item = (&Restriction, &Kept)> {
        self.kept.iter().filter(|it| !it.1.is_released)
    }
}
