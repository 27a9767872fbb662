use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::{Bundle, Change, Head, Stamp};

/// The most steps that are kept.
const MAX_STEPS: usize = 64;

/// The most objects that the kept steps change in total.
const MAX_OBJECTS: usize = 20_000;

/// Keeps the latest steps of the configuration for nodes that are a few versions behind.
#[derive(Clone, Debug, Default)]
pub struct History {
    steps: VecDeque<Step>,
}

/// The change from one configuration to the next.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Step {
    /// The stamp of the configuration that the change applies to.
    pub from: Stamp,
    /// The head of the configuration that the change leads to.
    pub head: Head,
    /// The change.
    pub change: Change,
}

impl History {
    /// Creates an empty history.
    pub fn new() -> History {
        History::default()
    }

    /// Adds the step from one configuration to the next.
    pub fn push(&mut self, old: &Bundle, new: &Bundle) {
        self.steps.push_back(Step::between(old, new));
        let touched = |it: &VecDeque<Step>| it.iter().map(|it| it.change.len()).sum::<usize>();
        while self.steps.len() > MAX_STEPS || touched(&self.steps) > MAX_OBJECTS {
            self.steps.pop_front();
        }
    }

    /// Returns the steps from a configuration to the latest one, if all of them are kept.
    pub fn since(&self, held: Stamp) -> Option<Vec<Step>> {
        let first = self.steps.iter().position(|it| it.from == held)?;
        Some(self.steps.iter().skip(first).cloned().collect())
    }
}

impl Step {
    /// Returns the step from one configuration to the next.
    pub fn between(old: &Bundle, new: &Bundle) -> Step {
        let change = Change::between(&old.set, &new.set);
        let head = Head { stamp: new.stamp, lineage: new.lineage.clone(), parts: 0 };
        Step { from: old.stamp, head, change }
    }
}
