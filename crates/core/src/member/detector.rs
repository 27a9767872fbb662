use rand::{Rng, seq::SliceRandom};

use super::{Record, Roster, State};
use crate::{name::Name, time::Time};

/// Chooses which node to probe, and remembers the probe that is under way.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    order: Vec<Name>,
    probe: Option<Probe>,
    next_number: u32,
}

/// A probe that was not answered yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Probe {
    /// The node that was probed.
    pub target: Name,
    /// The number of the ping.
    pub number: u32,
    /// When it was sent.
    pub sent: Time,
    /// Whether others were asked to help.
    pub helped: bool,
}

impl Detector {
    /// Creates a detector without a probe.
    pub fn new() -> Detector {
        Detector::default()
    }

    /// Returns a number for a ping.
    pub fn number(&mut self) -> u32 {
        self.next_number = self.next_number.wrapping_add(1);
        self.next_number
    }

    /// Starts the probe of the next node in a random order that reaches every node once in a
    /// turn. Returns its record, or nothing if there is no other node.
    pub fn start(
        &mut self,
        roster: &Roster,
        own: &Name,
        now: Time,
        rng: &mut impl Rng,
    ) -> Option<(Record, u32)> {
        let target = self.next(roster, own, rng)?;
        let number = self.number();
        let name = target.name.clone();
        self.probe = Some(Probe { target: name, number, sent: now, helped: false });
        Some((target, number))
    }

    /// Returns the probe that is under way.
    pub fn probe(&mut self) -> Option<&mut Probe> {
        self.probe.as_mut()
    }

    /// Ends the probe that is under way and returns it.
    pub fn end(&mut self) -> Option<Probe> {
        self.probe.take()
    }

    /// Takes the answer to a ping. Returns whether it answers the probe under way.
    pub fn on_ack(&mut self, number: u32) -> bool {
        let answers = self.probe.as_ref().is_some_and(|it| it.number == number);
        if answers {
            self.probe = None;
        }
        answers
    }

    fn next(&mut self, roster: &Roster, own: &Name, rng: &mut impl Rng) -> Option<Record> {
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
