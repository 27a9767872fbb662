use rand::{Rng, seq::SliceRandom};

use super::{Record, Roster, State};
use crate::{name::Name, time::Time};

/// Chooses which node to probe and keeps track of the pending probe.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    order: Vec<Name>,
    probe: Option<Probe>,
    last_number: u32,
}

/// A probe that has not been answered yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The name of the probed node.
    pub target: Name,
    /// The number of the ping.
    pub number: u32,
    /// When the ping was sent.
    pub sent: Time,
    /// Whether other nodes were asked to probe the target too.
    pub is_indirect: bool,
}

impl Detector {
    /// Creates a detector without a pending probe.
    pub fn new() -> Detector {
        Detector::default()
    }

    /// Returns an unused number for a ping.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Starts a probe of the next node. Nodes are probed in a random order that reaches each once
    /// before it is shuffled again. Returns the record of the node and the number of the ping, or
    /// nothing if there is no other node.
    pub fn start(
        &mut self,
        roster: &Roster,
        own: &Name,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<(Record, u32)> {
        let target = self.next_target(roster, own, rng)?;
        let number = self.next_number();
        let name = target.name.clone();
        self.probe = Some(Probe { target: name, number, sent: now, is_indirect: false });
        Some((target, number))
    }

    /// Returns the pending probe.
    pub fn probe(&mut self) -> Option<&mut Probe> {
        self.probe.as_mut()
    }

    /// Ends the pending probe and returns it.
    pub fn end(&mut self) -> Option<Probe> {
        self.probe.take()
    }

    /// Handles the answer to a ping. Returns whether it answers the pending probe.
    pub fn on_ack(&mut self, number: u32) -> bool {
        let answers = self.probe.as_ref().is_some_and(|it| it.number == number);
        if answers {
            self.probe = None;
        }
        answers
    }

    fn next_target(&mut self, roster: &Roster, own: &Name, rng: &mut impl Rng) -> Option<Record> {
        let is_target = |it: &&Record| it.state != State::Dead && it.name != *own;
        for _ in 0..2 {
            while let Some(name) = self.order.pop() {
                if let Some(record) = roster.get(&name).filter(is_target) {
                    return Some(record.clone());
                }
            }
            self.order = roster.records().filter(is_target).map(|it| it.name.clone()).collect();
            self.order.shuffle(rng);
        }
        None
    }
}
