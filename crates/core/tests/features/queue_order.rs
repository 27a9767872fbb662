//! Order and eviction in the bounded queue of one server.

use std::time::Duration;

use mimosabridge::{
    config::Class,
    gate::{Queue, Task},
    name::Name,
    time::Time,
};

const OVERLOAD: Duration = Duration::from_millis(100);

fn task(id: u64, class: Class, deadline_ms: u64) -> Task {
    let deadline = Time::from_millis(deadline_ms);
    Task { id, server: Name::from("server"), class, deadline }
}

fn ids(tasks: impl IntoIterator<Item = Task>) -> Vec<u64> {
    tasks.into_iter().map(|it| it.id).collect()
}

#[test]
fn urgent_first() {
    let mut queue = Queue::new(10, OVERLOAD);
    let now = Time::from_millis(1);
    for (id, class) in [(1, Class::Batch), (2, Class::Planning), (3, Class::Interactive)] {
        assert!(queue.push(task(id, class, 1_000), now).is_none());
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(now)).collect();
    assert_eq!(ids(order), [3, 2, 1]);
}

#[test]
fn oldest_first() {
    let mut queue = Queue::new(10, OVERLOAD);
    for id in 1..=3 {
        queue.push(task(id, Class::Interactive, 1_000), Time::from_millis(id));
    }
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(Time::from_millis(50))).collect();
    assert_eq!(ids(order), [1, 2, 3]);
}

#[test]
fn overload_newest() {
    let mut queue = Queue::new(10, OVERLOAD);
    for id in 1..=3 {
        queue.push(task(id, Class::Interactive, 1_000), Time::from_millis(id * 40));
    }
    let next = queue.pop(Time::from_millis(150));
    assert_eq!(ids(next), [3], "the head has waited for 110 ms");
}

#[test]
fn full_evicts() {
    let mut queue = Queue::new(2, OVERLOAD);
    let now = Time::from_millis(1);
    queue.push(task(1, Class::Batch, 1_000), now);
    queue.push(task(2, Class::Interactive, 1_000), now);
    let out = queue.push(task(3, Class::Interactive, 1_000), now);
    assert_eq!(ids(out), [1], "the least urgent task is evicted");
    let out = queue.push(task(4, Class::Interactive, 1_000), now);
    assert_eq!(ids(out), [4], "no waiting task is less urgent");
    let out = queue.push(task(5, Class::Batch, 1_000), now);
    assert_eq!(ids(out), [5]);
    assert_eq!(queue.len(), 2);
}

#[test]
fn expired_removed() {
    let mut queue = Queue::new(10, OVERLOAD);
    let now = Time::from_millis(1);
    queue.push(task(1, Class::Planning, 20), now);
    queue.push(task(2, Class::Planning, 30), now);
    assert_eq!(ids(queue.expire(Time::from_millis(20))), [1]);
    assert_eq!(ids(queue.remove(2)), [2]);
    assert!(queue.is_empty());
}
