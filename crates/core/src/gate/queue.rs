use std::{collections::VecDeque, time::Duration};

use super::Task;
use crate::{config::Class, time::Time};

/// The bounded queue of one server, ordered by priority class.
///
/// The most urgent class is served first. Within a class the oldest task is served first, unless
/// the queue is overloaded: then the newest, which still has time to be answered.
#[derive(Clone, Debug)]
pub struct Queue {
    capacity: usize,
    overload_wait: Duration,
    waiting: [VecDeque<(Time, Task)>; Class::ALL.len()],
}

impl Queue {
    /// Creates an empty queue that holds at most `capacity` tasks. A class whose oldest task has
    /// waited for more than `overload_wait` is served newest first.
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

    /// Adds a task. If the queue is full, returns the task that does not fit: the oldest of the
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

    /// Removes and returns the next task to send. Call [`Queue::expire`] first.
    pub fn pop(&mut self, now: Time) -> Option<Task> {
        let class = self.waiting.iter_mut().find(|it| !it.is_empty())?;
        let wait = now.since(class.front()?.0);
        let next = if wait > self.overload_wait { class.pop_back() } else { class.pop_front() };
        next.map(|(_, it)| it)
    }

    /// Removes and returns the tasks whose deadline has passed.
    pub fn expire(&mut self, now: Time) -> Vec<Task> {
        self.remove_if(|it| it.deadline <= now)
    }

    /// Removes and returns a task, if it is waiting.
    pub fn remove(&mut self, id: u64) -> Option<Task> {
        self.remove_if(|it| it.id == id).pop()
    }

    /// Removes and returns all tasks.
    pub fn clear(&mut self) -> Vec<Task> {
        self.remove_if(|_| true)
    }

    fn remove_if(&mut self, matches: impl Fn(&Task) -> bool) -> Vec<Task> {
        let mut removed = Vec::new();
        for class in &mut self.waiting {
            if !class.iter().any(|(_, it)| matches(it)) {
                continue;
            }
            let (out, kept): (VecDeque<_>, VecDeque<_>) =
                class.drain(..).partition(|(_, it)| matches(it));
            *class = kept;
            removed.extend(out.into_iter().map(|(_, it)| it));
        }
        removed
    }
}
