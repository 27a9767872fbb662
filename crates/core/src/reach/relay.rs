use crate::{plan::Repeat, scatter::Failure};

/// The most nodes that are asked to serve one request.
const MAX_SENDS: u32 = 3;

/// One request that other nodes serve in the place of this one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Relay {
    repeat: Repeat,
    sends: u32,
    may_have_run: bool,
}

/// How a node that was asked to serve a request ended it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// It answered.
    Answered,
    /// It answered that the request has not run, and when to come back.
    Refused,
    /// It can't serve the request, or has not read it.
    NotServed,
    /// The connection broke after the request may have been read.
    Broken,
    /// No answer arrived in time.
    Silent,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// Ask another node.
    Another,
    /// Pass the node's answer on.
    Pass,
    /// Fail the request: it may have run.
    Fail(Failure),
    /// Serve the request here: it has not run.
    Keep,
}

impl Relay {
    /// Creates the relay of a request that no node was asked to serve.
    pub fn new(repeat: Repeat) -> Relay {
        Relay { repeat, sends: 0, may_have_run: false }
    }

    /// Handles the end of the request at a node.
    pub fn on_end(&mut self, ending: Ending) -> Step {
        self.sends += 1;
        self.may_have_run |= matches!(ending, Ending::Broken | Ending::Silent);
        match ending {
            Ending::Answered => Step::Pass,
            Ending::Refused if self.may_have_run => Step::Fail(Failure::Broken),
            Ending::Refused => Step::Pass,
            Ending::Silent => Step::Fail(Failure::TimedOut),
            Ending::Broken if self.repeat == Repeat::Once => Step::Fail(Failure::Broken),
            Ending::Broken | Ending::NotServed if self.sends < MAX_SENDS => Step::Another,
            Ending::Broken | Ending::NotServed => self.give_up(),
        }
    }

    /// Handles that there is no other node to ask.
    pub fn give_up(&self) -> Step {
        if self.may_have_run { Step::Fail(Failure::Broken) } else { Step::Keep }
    }
}
