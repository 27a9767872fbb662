//! What the mirror keeps when the store comes back from an older copy.
//!
//! The copy lacks what was acknowledged after it was made. Until its authors have written that
//! again, what it says is older than what nodes know. A configuration counts by its version, a
//! server by what it wrote last, and what forbids requests is kept for a while: breaking it would be worse
//! than a server too few.

use std::{collections::BTreeSet, time::Duration};

use super::{Event, Mirror, Restriction};
use crate::{balance::Balancer, directory::Entry, member::News, name::Name, time::Time};

impl Mirror {
    /// Prepares the mirror for the list of a store that has begun an era: keeps the restrictions
    /// that the list lacks.
    pub(super) fn restore(
        &mut self,
        era: u64,
        closed: &BTreeSet<Name>,
        entries: &[Entry],
        balancer: &mut Balancer,
        now: Time,
    ) -> Vec<Event> {
        let lacking = self.all_closed().into_iter().filter(|it| !closed.contains(it));
        let mut kept: Vec<_> = lacking.map(Restriction::Closed).collect();
        let directory = balancer.directory_mut();
        let mut retired = self.restrictions.retired();
        retired.extend(directory.retired().map(|(id, born)| (id.clone(), born)));
        for entry in entries {
            if !entry.is_draining && retired.get(&entry.id) == Some(&entry.born) {
                kept.push(Restriction::Retired { server: entry.id.clone(), born: entry.born });
            }
        }
        directory.on_store_restored(now);
        let mut events = vec![Event::Restored(era)];
        for restriction in kept {
            self.restrictions.add(restriction.clone(), now);
            events.push(Event::RestrictionKept(restriction));
        }
        self.apply_retired(balancer);
        events
    }

    /// Keeps a restriction that another node keeps for `left`.
    pub fn on_restriction(
        &mut self,
        restriction: Restriction,
        left: Duration,
        balancer: &mut Balancer,
        now: Time,
    ) -> Vec<Event> {
        if !self.restrictions.merge(restriction.clone(), left, now) {
            return Vec::new();
        }
        let mut events = vec![Event::RestrictionKept(restriction)];
        self.apply_retired(balancer);
        events.extend(self.apply_closed(balancer));
        events
    }

    /// Returns the next kept restrictions to repeat to other nodes.
    pub fn next_restrictions(&mut self, now: Time) -> Vec<News> {
        self.restrictions.next_news(now)
    }

    /// Returns the room that packets keep for kept restrictions, in bytes.
    pub fn restriction_bytes(&self) -> usize {
        self.restrictions.news_bytes()
    }

    /// Ends the restrictions whose time is over.
    pub(super) fn expire_restrictions(&mut self, balancer: &mut Balancer, now: Time) -> Vec<Event> {
        let ended = self.restrictions.expire(now);
        if ended.is_empty() {
            return Vec::new();
        }
        let mut events: Vec<_> = ended.into_iter().map(Event::RestrictionEnded).collect();
        self.apply_retired(balancer);
        events.extend(self.apply_closed(balancer));
        events
    }

    /// Closes the data centres that the store states as closed or that are kept closed. Returns the
    /// change, if there is any.
    pub(super) fn apply_closed(&self, balancer: &mut Balancer) -> Option<Event> {
        let all = self.all_closed();
        let closed = all.iter().cloned().collect();
        if closed == *balancer.closed() {
            return None;
        }
        balancer.set_closed(closed);
        Some(Event::Closed(all.into_iter().collect()))
    }

    fn apply_retired(&self, balancer: &mut Balancer) {
        balancer.set_retired(self.restrictions.retired());
    }

    /// Returns the data centres that the store states as closed or that are kept closed.
    fn all_closed(&self) -> BTreeSet<Name> {
        self.closed.union(&self.restrictions.closed()).cloned().collect()
    }
}
