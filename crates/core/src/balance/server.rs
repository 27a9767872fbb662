use std::time::Duration;

use super::{Meter, Purpose, Quota, Tally, aggregate::Aggregate};
use crate::time::Time;

/// The weight of a new sample in the slowness of a server.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// The cap on a slowness sample. A single pause is many times the usual time of a quick request,
/// and must not make the server count as slow.
const MAX_SLOWNESS: f64 = 12.0;

/// The weight of a new sample in the share of failures of a server.
const FAILURE_WEIGHT: f64 = 0.15;

/// The slowness from which an answer is reported to other nodes as slow.
const SLOW_FACTOR: f64 = 3.0;

/// The time constant with which old slowness samples decay, so that a server that has recovered is
/// tried again.
const SLOWNESS_DECAY: Duration = Duration::from_secs(4);

/// The time constant with which old failure samples decay.
const FAILURE_DECAY: Duration = Duration::from_secs(2);

/// The backoff after the first failure to reach a server. It doubles with each further failure in a
/// row.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The longest backoff before a server that cannot be reached is tried again.
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// A request is overdue after this many times its expected time.
const OVERDUE_FACTOR: f64 = 4.0;

/// The shortest time after which a request is overdue.
const MIN_OVERDUE: Duration = Duration::from_millis(30);

/// How long an idle connection to a server is kept. Servers close idle connections after some time,
/// and a request that is sent just as the server closes the connection is lost.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// What the end of one attempt shows about the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Observation {
    /// The server answered.
    Served,
    /// The server rejected the request without running it.
    Shed,
    /// The server wants no requests for some time, which says nothing of its health.
    Resting,
    /// The server failed, or the connection broke.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The server sent nothing for as long as this node waited.
    Silent,
    /// This node did not wait for the answer.
    Abandoned,
}

/// The state of one process of a backend server, as this node observed it, other nodes reported it, and the process
/// stated it.
#[derive(Clone, Debug)]
pub struct Server {
    /// When each request under way was sent, with the time that it was expected to take.
    under_way: Vec<(Time, Duration)>,
    slowness: f64,
    failures: f64,
    last_sample: Time,
    unreachable_count: u32,
    down_until: Time,
    /// Until when the server counts as cold.
    cold_until: Time,
    meter: Meter,
    /// The observations since the last report to other nodes.
    unreported: Tally,
    aggregate: Aggregate,
    /// The idle connections, estimated from the ends of requests, and when one was last used.
    idle: usize,
    idle_since: Time,
    /// The share of this node in the limit that the server has stated, if it has.
    quota: Option<Quota>,
    /// When this node learned that the server leaves, if it does.
    pub(super) leaves_since: Option<Time>,
    /// Until when the server wants or wanted no requests of this node, if it has said so.
    pub(super) rests_until: Option<Time>,
}

impl Server {
    /// Creates a server without observations.
    pub fn new() -> Server {
        Server {
            under_way: Vec::new(),
            slowness: 1.0,
            failures: 0.0,
            last_sample: Time::ZERO,
            unreachable_count: 0,
            down_until: Time::ZERO,
            cold_until: Time::ZERO,
            meter: Meter::new(),
            unreported: Tally::default(),
            aggregate: Aggregate::default(),
            idle: 0,
            idle_since: Time::ZERO,
            quota: None,
            leaves_since: None,
            rests_until: None,
        }
    }

    /// Returns the share of this node in the limit that the server has stated, if it has.
    pub fn quota(&self) -> Option<&Quota> {
        self.quota.as_ref()
    }

    /// Returns the quota for changes.
    pub fn quota_mut(&mut self) -> &mut Option<Quota> {
        &mut self.quota
    }

    /// Returns whether the limit of the server admits a request of this node, one of `nodes`. Extra
    /// attempts go to servers without a limit.
    pub fn has_credit(&self, purpose: Purpose, nodes: u32, now: Time) -> bool {
        let admits = |it: &Quota| purpose == Purpose::First && it.has_credit(nodes, now);
        self.quota.as_ref().is_none_or(admits)
    }

    /// Records that this node, one of `nodes`, sends a request, which is expected to take
    /// `expected`.
    pub fn on_sent(&mut self, expected: Duration, nodes: u32, now: Time) {
        if let Some(quota) = &mut self.quota {
            quota.on_sent(nodes, now);
        }
        self.idle = if self.is_connected(now) { self.idle - 1 } else { 0 };
        self.under_way.push((now, expected));
        self.meter.on_sent(now);
    }

    /// Records the end of the request that was sent at `sent` and took `slowness` times as long as
    /// usual. A server that can be reached again counts as cold for `warm_up`.
    pub fn on_end(
        &mut self,
        sent: Time,
        observation: Observation,
        slowness: f64,
        warm_up: Duration,
        now: Time,
    ) {
        if let Some(index) = self.under_way.iter().position(|it| it.0 == sent) {
            self.under_way.swap_remove(index);
        }
        self.count(observation, slowness);
        if matches!(observation, Observation::Served | Observation::Shed | Observation::Resting) {
            self.idle += 1;
            self.idle_since = now;
        }
        match observation {
            Observation::Served => {
                self.record_slowness(slowness, now);
                self.record_failure(0.0, now);
                self.on_reached(warm_up, now);
            }
            Observation::Shed => {
                self.record_failure(1.0, now);
                self.on_reached(warm_up, now);
            }
            Observation::Resting => self.on_reached(warm_up, now),
            Observation::Failed => self.record_failure(1.0, now),
            Observation::Unreachable => self.on_unreachable(now),
            Observation::Silent => {
                self.record_slowness(slowness, now);
                self.on_unreachable(now);
            }
            Observation::Abandoned => {}
        }
    }

    /// Makes the server count as cold for at least `span` from now.
    pub fn set_cold(&mut self, span: Duration, now: Time) {
        self.cold_until = self.cold_until.max(now + span);
    }

    /// Returns whether the server counts as cold.
    pub fn is_cold(&self, now: Time) -> bool {
        now < self.cold_until
    }

    /// Returns whether the server is marked down because it could not be reached.
    pub fn is_down(&self, now: Time) -> bool {
        now < self.down_until
    }

    /// Returns when a server that could not be reached may be tried again.
    pub fn down_until(&self) -> Time {
        self.down_until
    }

    /// Returns whether a request is overdue and no sample was taken since it was sent.
    pub fn is_stalled(&self, now: Time) -> bool {
        self.under_way.iter().any(|(sent, expected)| {
            let overdue = expected.mul_f64(OVERDUE_FACTOR).max(MIN_OVERDUE);
            now.since(*sent) > overdue && self.last_sample < *sent
        })
    }

    /// Returns whether a request can use an idle connection.
    pub fn is_connected(&self, now: Time) -> bool {
        self.idle > 0 && now.since(self.idle_since) <= IDLE_TIMEOUT
    }

    /// Forgets that the server could not be reached or failed.
    pub fn forget_failures(&mut self) {
        self.failures = 0.0;
        self.slowness = 1.0;
        self.unreachable_count = 0;
        self.down_until = Time::ZERO;
    }

    /// Forgets the requests under way.
    pub fn forget_requests(&mut self) {
        self.under_way.clear();
    }

    /// Returns the number of requests under way.
    pub fn running(&self) -> usize {
        self.under_way.len()
    }

    /// Returns how soon the first of the requests under way is expected to end. One that is overdue is
    /// expected to take its time once more.
    pub fn free_in(&self, now: Time) -> Duration {
        let left = |(sent, expected): &(Time, Duration)| {
            let left = now.until(*sent + *expected);
            if left.is_zero() { *expected } else { left }
        };
        self.under_way.iter().map(left).min().unwrap_or_default()
    }

    /// Returns the number of requests that were sent in the last second.
    pub fn rate(&mut self, now: Time) -> usize {
        self.meter.rate(now)
    }

    /// Returns how many times longer than usual the server takes. Old samples decay.
    pub fn slowness(&self, now: Time) -> f64 {
        self.own_slowness(now).max(self.aggregate.slowness(now))
    }

    /// Returns the share of the requests that the server fails or rejects. Old samples decay.
    pub fn failures(&self, now: Time) -> f64 {
        self.own_failures(now).max(self.aggregate.failures(now))
    }

    /// Takes the observations since the last call, and returns them if other nodes need them.
    pub fn report(&mut self, now: Time) -> Option<Tally> {
        let tally = std::mem::take(&mut self.unreported);
        let is_empty = tally == Tally::default();
        let is_bad = tally.slow > 0 || tally.failures > 0;
        (!is_empty && (is_bad || self.aggregate.is_suspect(now))).then_some(tally)
    }

    /// Adds what a node, possibly this one, reported about the server. If the server counts as slow
    /// or failing then, it does so for `hold`. Returns whether it is newly slow or newly failing.
    pub fn on_tally(&mut self, tally: Tally, hold: Duration, now: Time) -> bool {
        self.aggregate.on_tally(tally, hold, now)
    }

    fn count(&mut self, observation: Observation, slowness: f64) {
        let tally = match observation {
            Observation::Served => {
                Tally { answers: 1, slow: u16::from(slowness >= SLOW_FACTOR), failures: 0 }
            }
            Observation::Silent => Tally { answers: 1, slow: 1, failures: 0 },
            Observation::Shed | Observation::Failed | Observation::Unreachable => {
                Tally { failures: 1, ..Tally::default() }
            }
            Observation::Resting | Observation::Abandoned => return,
        };
        self.unreported.add(tally);
    }

    fn own_slowness(&self, now: Time) -> f64 {
        1.0 + (self.slowness - 1.0) * self.decay(SLOWNESS_DECAY, now)
    }

    fn own_failures(&self, now: Time) -> f64 {
        self.failures * self.decay(FAILURE_DECAY, now)
    }

    fn decay(&self, time_constant: Duration, now: Time) -> f64 {
        (-now.since(self.last_sample).as_secs_f64() / time_constant.as_secs_f64()).exp()
    }

    fn record_slowness(&mut self, sample: f64, now: Time) {
        let current = self.own_slowness(now);
        let failures = self.own_failures(now);
        self.slowness = current + (sample.min(MAX_SLOWNESS) - current) * SLOWNESS_WEIGHT;
        self.failures = failures;
        self.last_sample = now;
    }

    fn record_failure(&mut self, sample: f64, now: Time) {
        let current = self.own_failures(now);
        self.slowness = self.own_slowness(now);
        self.failures = current + (sample - current) * FAILURE_WEIGHT;
        self.last_sample = now;
    }

    /// A server that can be reached again may have restarted, and would be cold then.
    fn on_reached(&mut self, warm_up: Duration, now: Time) {
        if self.unreachable_count > 1 {
            self.set_cold(warm_up, now);
        }
        self.unreachable_count = 0;
        self.down_until = Time::ZERO;
    }

    fn on_unreachable(&mut self, now: Time) {
        let backoff = FIRST_BACKOFF * 2_u32.pow(self.unreachable_count.min(6));
        self.unreachable_count += 1;
        self.down_until = now + backoff.min(MAX_BACKOFF);
    }
}

impl Default for Server {
    fn default() -> Server {
        Server::new()
    }
}
