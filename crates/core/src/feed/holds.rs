use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use super::Hold;
use crate::{member::News, name::Name, time::Time};

/// How long a restriction is kept. Servers write every second or so, and their entries are removed
/// after three silent intervals; operators get the rest of the time.
const HOLD_TIME: Duration = Duration::from_secs(15);

/// A restriction with less time left is not repeated to other nodes, which may just have dropped it.
const MIN_TIME_LEFT: Duration = Duration::from_millis(500);

/// The most restrictions in one packet.
const MAX_NEWS: usize = 3;

/// The room that packets keep for restrictions, in bytes.
const NEWS_BYTES: usize = 100;

/// The restrictions that are kept although the store does not state them.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds {
    holds: BTreeMap<Hold, Kept>,
    /// The restriction that was repeated last to other nodes.
    last_repeated: Option<Hold>,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    until: Time,
    /// Its author has taken the restriction back. It is remembered until its time is over, because
    /// other nodes may still repeat it.
    is_released: bool,
}

impl Holds {
    /// Adds a restriction, or prolongs it.
    pub fn add(&mut self, hold: Hold, now: Time) {
        self.holds.insert(hold, Kept { until: now + HOLD_TIME, is_released: false });
    }

    /// Adds a restriction that another node keeps for `left`. Returns whether it is new.
    pub fn merge(&mut self, hold: Hold, left: Duration, now: Time) -> bool {
        if self.holds.contains_key(&hold) {
            return false;
        }
        let until = now + left.min(HOLD_TIME);
        self.holds.insert(hold, Kept { until, is_released: false });
        true
    }

    /// Ends a restriction that its author has taken back.
    pub fn release(&mut self, hold: &Hold) {
        if let Some(kept) = self.holds.get_mut(hold) {
            kept.is_released = true;
        }
    }

    /// Removes the restrictions whose time is over. Returns those that ended by that.
    pub fn expire(&mut self, now: Time) -> Vec<Hold> {
        let over = self.holds.extract_if(.., |_, it| it.until <= now);
        over.filter(|it| !it.1.is_released).map(|it| it.0).collect()
    }

    /// Returns the data centres that are kept closed.
    pub fn closed(&self) -> BTreeSet<Name> {
        let closed = |it: &Hold| match it {
            Hold::Closed(data_centre) => Some(data_centre.clone()),
            Hold::Retired { .. } => None,
        };
        self.active().filter_map(|it| closed(it.0)).collect()
    }

    /// Returns the servers that get no requests, with the start that this holds for.
    pub fn retired(&self) -> HashMap<Name, u64> {
        let retired = |it: &Hold| match it {
            Hold::Retired { server, born } => Some((server.clone(), *born)),
            Hold::Closed(_) => None,
        };
        self.active().filter_map(|it| retired(it.0)).collect()
    }

    /// Returns the next restrictions to repeat to other nodes, all in turn.
    pub fn next_news(&mut self, now: Time) -> Vec<News> {
        let is_lasting = |it: &(&Hold, &Kept)| now.until(it.1.until) >= MIN_TIME_LEFT;
        let lasting: Vec<_> = self.active().filter(is_lasting).collect();
        let last = self.last_repeated.as_ref();
        let start = lasting.iter().position(|it| Some(it.0) > last).unwrap_or(0);
        let count = lasting.len().min(MAX_NEWS);
        let next: Vec<_> = lasting.iter().cycle().skip(start).take(count).collect();
        let news = next.iter().map(|(hold, kept)| {
            let left = now.until(kept.until).as_millis();
            News::Hold { hold: (*hold).clone(), left_millis: left as u32 }
        });
        let news = news.collect();
        let last = next.last().map(|it| it.0.clone());
        self.last_repeated = last;
        news
    }

    /// Returns the room that packets keep for restrictions, in bytes.
    pub fn news_bytes(&self) -> usize {
        if self.holds.is_empty() { 0 } else { NEWS_BYTES }
    }

    fn active(&self) -> impl Iterator<Item = (&Hold, &Kept)> {
        self.holds.iter().filter(|it| !it.1.is_released)
    }
}
