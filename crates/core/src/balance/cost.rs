use std::time::Duration;

use super::{Purpose, Server};
use crate::time::Time;

/// The factor on the expected time at a server of another data centre, because traffic between data
/// centres is expensive.
const FAR_FACTOR: f64 = 1.3;

/// The time added for a server of another data centre: the least gain for which a request leaves
/// its data centre.
const FAR_PENALTY: Duration = Duration::from_millis(3);

/// The time added for a new connection: a round trip, and the few milliseconds that servers take to
/// accept one. It also keeps a node with the servers that it already uses, as a server may accept
/// fewer connections than there are nodes.
const CONNECT_PENALTY: Duration = Duration::from_millis(5);

/// The share of the expected time added for each request of this node under way at the server.
const LOAD_FACTOR: f64 = 0.35;

/// The multiple of the expected time added for a server that fails every request.
const FAILURE_FACTOR: f64 = 6.0;

/// The factor on the expected time at a cold server.
const COLD_FACTOR: f64 = 1.6;

/// The time added for a stalled server.
const STALL_PENALTY: Duration = Duration::from_secs(10);

/// Returns whether the rate limit of a cold server admits one more request from this node, whose
/// share of the limit is `share` requests per second. Extra attempts may use only half of the
/// share.
pub(super) fn admits(server: &mut Server, share: Option<f64>, purpose: Purpose, now: Time) -> bool {
    let Some(share) = share else { return true };
    let share = match purpose {
        Purpose::First => share,
        // The request is already late, and a cold server would be slow to answer.
        Purpose::Retry | Purpose::Hedge => share / 2.0,
    };
    (server.rate(now) + 1) as f64 <= share
}

/// Returns the cost of sending a request to a server: the time that it is expected to take, in
/// seconds, with the penalties added.
pub(super) fn cost(
    server: &Server,
    usual: Duration,
    is_near: bool,
    is_cold: bool,
    now: Time,
) -> f64 {
    let mut cost = usual.as_secs_f64() * server.slowness(now).max(0.1);
    cost *= 1.0 + LOAD_FACTOR * server.running() as f64;
    cost *= 1.0 + FAILURE_FACTOR * server.failures(now);
    if is_cold {
        cost *= COLD_FACTOR;
    }
    if !server.is_connected(now) {
        cost += CONNECT_PENALTY.as_secs_f64();
    }
    if server.is_stalled(now) {
        cost += STALL_PENALTY.as_secs_f64();
    }
    if !is_near {
        cost = cost * FAR_FACTOR + FAR_PENALTY.as_secs_f64();
    }
    cost
}
