use std::collections::BTreeMap;

use crate::time::Time;

/// A request that waits for a connection at one of its shards. Older requests compare less.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Waiter {
    /// The number of the request, in the order of arrival at this node.
    pub run: u64,
    /// The index of the shard within the request.
    pub shard: usize,
}

/// The requests that wait for a connection to a server of one service.
///
/// The oldest is first. Those whose answers would come too late are last.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// The last time at which a connection still helps each request.
    waiters: BTreeMap<Waiter, Time>,
}

impl Queue {
    /// Adds a request, which a connection helps until `latest`.
    pub fn insert(&mut self, waiter: Waiter, latest: Time) {
        self.waiters.insert(waiter, latest);
    }

    /// Removes a request.
    pub fn remove(&mut self, waiter: Waiter) {
        self.waiters.remove(&waiter);
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Returns the number of requests that a connection still helps.
    pub fn len_in_time(&self, now: Time) -> usize {
        self.in_time(now).count()
    }

    /// Returns the number of requests that get a connection before this one, which may wait or not.
    pub fn rank(&self, waiter: Waiter, now: Time) -> usize {
        if self.waiters.get(&waiter).is_some_and(|it| *it < now) {
            let late = self.waiters.range(..waiter).filter(|it| *it.1 < now);
            return self.len_in_time(now) + late.count();
        }
        self.in_time(now).take_while(|it| *it < waiter).count()
    }

    /// Returns the requests in the order in which they get connections.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = Waiter> {
        let late = self.waiters.iter().filter(move |it| *it.1 < now).map(|it| *it.0);
        self.in_time(now).chain(late)
    }

    fn in_time(&self, now: Time) -> impl Iterator<Item = Waiter> {
        self.waiters.iter().filter(move |it| *it.1 >= now).map(|it| *it.0)
    }
}
