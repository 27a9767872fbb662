use crate::scatter::Failure;

/// The most nodes that are asked to serve one request.
const MAX_SENDS: u32 = 3;

/// One request that other nodes serve in the place of this one.
///
/// Only a node that has not run the request is followed by another: a node may ask as many servers as
/// the rule allows, so that a second one would exceed the limit together with the first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Relay {
    sends: u32,
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

impl Ending {
    /// Classifies an answer with an HTTP status. `is_marked` says that the node calls the request not
    /// served, and `is_named` that the answer names the request.
    pub fn of_answer(status: u16, is_marked: bool, is_named: bool) -> Ending {
        match status {
            _ if is_marked => Ending::NotServed,
            // A planned stop has closed the connection before the node read the request.
            408 if !is_named => Ending::NotServed,
            503 => Ending::Refused,
            _ => Ending::Answered,
        }
    }
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
    pub fn new() -> Relay {
        Relay::default()
    }

    /// Handles the end of the request at a node.
    pub fn on_end(&mut self, ending: Ending) -> Step {
        self.sends += 1;
        match ending {
            Ending::Answered | Ending::Refused => Step::Pass,
            Ending::Silent => Step::Fail(Failure::TimedOut),
            Ending::Broken => Step::Fail(Failure::Broken),
            Ending::NotServed if self.sends < MAX_SENDS => Step::Another,
            Ending::NotServed => Step::Keep,
        }
    }
}
