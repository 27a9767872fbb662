use std::time::Duration;

use mimosabridge::{
    config::Class,
    gate::{Queue, Task},
    name::Name,
    time::Time,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;

use super::sample::{print, round};

const SLOTS: usize = 6;
const QUEUE_PER_SLOT: usize = 8;
const SERVICE: Duration = Duration::from_millis(12);
const DEADLINE: Duration = Duration::from_millis(150);
const SPAN: Duration = Duration::from_secs(120);
const SEED: u64 = 1;

/// The orders that are compared, by the wait beyond which the newest request goes first.
const ORDERS: [(&str, Duration); 3] = [
    ("oldest first", Duration::MAX),
    ("newest first", Duration::ZERO),
    ("newest first beyond 100 ms", Duration::from_millis(100)),
];

/// Compares the orders of a queue in virtual time, below and above the capacity of a server.
pub fn run() {
    for load in [0.8, 1.0, 1.5, 3.0] {
        for (name, overload_wait) in ORDERS {
            let (in_time, p50, p99) = simulate(load, overload_wait);
            print(json!({
                "name": name,
                "load": load,
                "answered in time": round(in_time),
                "p50 ms": round(p50),
                "p99 ms": round(p99),
            }));
        }
    }
}

/// Returns the fraction of the tasks that are answered in time, and their p50 and p99 latency in
/// milliseconds.
fn simulate(load: f64, overload_wait: Duration) -> (f64, f64, f64) {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut queue = Queue::new(SLOTS * QUEUE_PER_SLOT, overload_wait);
    let mut slots = [Time::ZERO; SLOTS];
    let rate = load * SLOTS as f64 / SERVICE.as_secs_f64();
    let (mut now, mut arrived) = (Time::ZERO, 0_u64);
    let mut latencies = Vec::new();
    while now.since(Time::ZERO) < SPAN {
        let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
        let next = now + Duration::from_secs_f64(-uniform.ln() / rate);
        serve(&mut queue, &mut slots, next, &mut rng, &mut latencies);
        now = next;
        arrived += 1;
        let deadline = now + DEADLINE;
        let task =
            Task { id: now.as_micros(), server: Name::from("s"), class: Class::Planning, deadline };
        queue.push(task, now);
    }
    latencies.sort_unstable();
    let quantile = |it: f64| latencies[(latencies.len() as f64 * it) as usize] as f64 / 1_000.0;
    (latencies.len() as f64 / arrived as f64, quantile(0.5), quantile(0.99))
}

/// Runs the tasks that the slots can start before `until`. The ID of a task is its arrival time in
/// microseconds.
fn serve(
    queue: &mut Queue,
    slots: &mut [Time],
    until: Time,
    rng: &mut StdRng,
    latencies: &mut Vec<u64>,
) {
    loop {
        let Some(slot) = slots.iter_mut().min() else { return };
        if *slot >= until {
            return;
        }
        queue.expire(*slot);
        let Some(task) = queue.pop(*slot) else {
            *slot = until;
            continue;
        };
        let begun = (*slot).max(Time::from_micros(task.id));
        let ended = begun + SERVICE.mul_f64(rng.random_range(0.7..1.4));
        *slot = ended;
        if ended <= task.deadline {
            latencies.push(ended.as_micros() - task.id);
        }
    }
}
