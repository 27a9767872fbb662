use std::{collections::VecDeque, time::Duration};

use crate::time::Time;

/// The span over which requests to a cold server are counted: the second of the rate limit and a
/// margin of 100 ms, because requests take different times to arrive.
const SPAN: Duration = Duration::from_millis(1_100);

/// Counts the requests that this node sent to one server in the last second.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    sent: VecDeque<Time>,
}

impl Meter {
    /// Creates a meter that has counted no request.
    pub fn new() -> Meter {
        Meter::default()
    }

    /// Records that a request is sent.
    pub fn on_sent(&mut self, now: Time) {
        self.expire(now);
        self.sent.push_back(now);
    }

    /// Returns the number of requests in the last second.
    pub fn rate(&mut self, now: Time) -> usize {
        self.expire(now);
        self.sent.len()
    }

    fn expire(&mut self, now: Time) {
        while self.sent.front().is_some_and(|it| now.since(*it) >= SPAN) {
            self.sent.pop_front();
        }
    }
}
