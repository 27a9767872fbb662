use std::time::Duration;

use mimosabridge::time::Time;

/// A backend server with slots, regular pauses and faults.
#[derive(Clone, Debug)]
pub struct Server {
    /// When each slot becomes free.
    slots: Vec<Time>,
    /// How many times longer than usual its work takes.
    pub slowness: f64,
    /// The share of the requests that the server rejects without running them.
    pub shed: f64,
    /// Whether the server cannot be reached.
    pub is_down: bool,
    /// Until when the server rejects requests and asks for a rest.
    pub rests_until: Time,
    /// The length of each pause, the period at which pauses recur, and the start of the first one.
    pub pause: Option<(Duration, Duration, Duration)>,
}

impl Server {
    pub fn new(slots: usize) -> Server {
        let slots = vec![Time::ZERO; slots];
        Server {
            slots,
            slowness: 1.0,
            shed: 0.0,
            is_down: false,
            rests_until: Time::ZERO,
            pause: None,
        }
    }

    /// Runs a request that arrives now, and returns when its answer is sent.
    pub fn run(&mut self, work: Duration, now: Time) -> Time {
        let slot = self.slots.iter_mut().min().expect("a server has slots");
        let start = after_pause((*slot).max(now), self.pause);
        let end = after_pause(start + work.mul_f64(self.slowness), self.pause);
        *slot = end;
        end
    }
}

fn after_pause(time: Time, pause: Option<(Duration, Duration, Duration)>) -> Time {
    let Some((length, period, first)) = pause else { return time };
    let phase = (time.as_micros() + period.as_micros() as u64 - first.as_micros() as u64)
        % period.as_micros() as u64;
    let phase = Duration::from_micros(phase);
    if phase < length { time + (length - phase) } else { time }
}
