use std::{collections::VecDeque, time::Duration};

use super::Task;
use crate::{config::Class, time::Time};

/// The bounded queue of one server, by priority class.
///
/// The most urgent class is served first. Within a class the oldest request is served first,
/// unless the queue is overloaded: then the newest, which still has time to be answered.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    overload_wait: Duration,
    waiting: [VecDeque<(Time, Task)>; Class::ALL.len()],
}

impl Queue {
    /// Creates an empty queue. Beyond a wait of `overload_wait` it serves the newest first.
    pub fn new(capacity: usize, overload_wait: Duration) -> Queue {
        Queue { capacity, overload_wait, waiting: Default::default() }
    }

    /// Returns the number of waiting tasks.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Returns whether no task waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Adds a task. If the queue is full, returns the task that has no place: the oldest of the
    /// least urgent class, or the new one if none is less urgent.
    pub fn push(&mut self, task: Task, now: Time) -> Option<Task> {
        let class = task.class as usize;
        if self.len() < self.capacity {
            self.waiting[class].push_back((now, task));
            return None;
        }
        let lowest = self.waiting.iter().rposition(|it| !it.is_empty());
        match lowest {
            Some(lowest) if lowest > class => {
                let evicted = self.waiting[lowest].pop_front();
                self.waiting[class].push_back((now, task));
                evicted.map(|(_, it)| it)
            }
            _ => Some(task),
        }
    }

    /// Takes the next task to send. Call [`Queue::expire`] first.
    pub fn pop(&mut self, now: Time) -> Option<Task> {
        let class = self.waiting.iter_mut().find(|it| !it.is_empty())?;
        let wait = now.since(class.front()?.0);
        let next = if wait > self.overload_wait { class.pop_back() } else { class.pop_front() };
        next.map(|(_, it)| it)
    }

    /// Removes and returns the tasks whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Task> {
        self.extract(|it| it.deadline <= now)
    }

    /// Removes and returns a task.
    pub fn remove(&mut self, id: u64) -> Option<Task> {
        self.extract(|it| it.id == id).pop()
    }

    /// Removes and returns all tasks.
    pub fn clear(&mut self) -> Vec<Task> {
        self.extract(|_| true)
    }

    fn extract(&mut self, matches: impl Fn(&Task) -> bool) -> Vec<Task> {
        let mut extracted = Vec::new();
        for class in &mut self.waiting {
            if !class.iter().any(|(_, it)| matches(it)) {
                continue;
            }
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                class.drain(..).partition(|(_, it)| matches(it));
            *class = kept;
            extracted.extend(out.into_iter().map(|(_, it)| it));
        }
        extracted
    }
}
