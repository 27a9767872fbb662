use std::{sync::Arc, time::Duration};

use mimosabridge::{
    config::{Intake, Set},
    name::Name,
    query::Route,
};

use super::{DEADLINE, Event, FAULTY, Simulation, Step, task_of};

/// How long a process is paused, unless it is paused until after the deadline.
const PAUSE: Duration = Duration::from_millis(150);

/// The time from the end of a pause to the first contact with a peer.
const CONTACT_DELAY: Duration = Duration::from_millis(5);

/// A fault that is injected at one step of the first attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    ServerCrash,
    ServerLeaves,
    ServerTurnsCold,
    ServerHidesCold,
    ServerDropsSnapshot,
    ServerAnswersOther,
    ConnectionSilent,
    GateCrash,
    GateStops,
    GatePauses,
    EntryPauses,
    DataCentreCloses,
    CallerCancels,
    Duplicated,
    Delayed,
}

impl Fault {
    /// All faults.
    pub const ALL: [Fault; 15] = [
        Fault::ServerCrash,
        Fault::ServerLeaves,
        Fault::ServerTurnsCold,
        Fault::ServerHidesCold,
        Fault::ServerDropsSnapshot,
        Fault::ServerAnswersOther,
        Fault::ConnectionSilent,
        Fault::GateCrash,
        Fault::GateStops,
        Fault::GatePauses,
        Fault::EntryPauses,
        Fault::DataCentreCloses,
        Fault::CallerCancels,
        Fault::Duplicated,
        Fault::Delayed,
    ];

    /// Returns whether the fault can occur at a step: messages can be delayed only in transit, and
    /// only replies can be duplicated.
    pub fn applies_at(self, step: Step) -> bool {
        match self {
            Fault::Duplicated => matches!(step, Step::FromServer | Step::ToEntry),
            Fault::Delayed => !matches!(step, Step::AtGate | Step::Running),
            _ => true,
        }
    }

    /// Returns whether the fault stays in effect instead of being injected once.
    pub fn is_permanent(self) -> bool {
        matches!(self, Fault::Duplicated | Fault::Delayed)
    }
}

impl Simulation {
    /// Injects the faults of a step when the first attempt of the faulty query reaches it.
    pub fn on_step(&mut self, step: Step, task: u64) {
        if task != task_of(FAULTY, 0) {
            return;
        }
        let is_due = |it: &(Fault, Step)| it.1 == step && !it.0.is_permanent();
        let (due, later): (Vec<_>, Vec<_>) = self.faults.drain(..).partition(is_due);
        self.faults = later;
        for (fault, _) in due {
            self.inject(fault, task);
        }
    }

    /// Returns whether a permanent fault applies to a step.
    pub fn has_fault(&self, fault: Fault, step: Step) -> bool {
        self.faults.contains(&(fault, step))
    }

    fn inject(&mut self, fault: Fault, task: u64) {
        let Route { server, gate } = self.attempts[&task].route.clone();
        match fault {
            Fault::ServerCrash => self.crash(&server),
            Fault::ServerLeaves => self.server(&server).is_leaving = true,
            Fault::ServerTurnsCold => self.server(&server).is_cold = true,
            Fault::ServerHidesCold => {
                self.server(&server).is_cold = true;
                self.server(&server).hides_cold = true;
            }
            Fault::ServerDropsSnapshot => self.server(&server).holds = vec![super::VERSION + 1],
            Fault::ServerAnswersOther => self.server(&server).reply_version = super::VERSION + 1,
            Fault::ConnectionSilent => self.server(&server).is_silent = true,
            Fault::GateCrash => {
                self.gate(&gate).is_down = true;
                self.lose_gate(&gate);
            }
            Fault::GateStops => {
                self.gate(&gate).gate.stop();
                self.gate(&gate).stopped_at = Some(self.now);
            }
            Fault::GatePauses => self.pause(&gate),
            Fault::EntryPauses => self.entry_paused_until = DEADLINE + PAUSE,
            Fault::DataCentreCloses => self.close_data_centre(&gate),
            Fault::CallerCancels => {
                self.queries[FAULTY].cancelled = true;
                let actions = self.queries[FAULTY].run.cancel();
                self.act(FAULTY, actions);
            }
            Fault::Duplicated | Fault::Delayed => {}
        }
    }

    fn crash(&mut self, server: &Name) {
        let now = self.now;
        let completions = self.server(server).crash(now);
        for (task, completion) in completions {
            let gate = self.attempts[&task].route.gate.clone();
            let delay = self.delay();
            self.after(delay, Event::Complete(gate, task, Box::new(completion)));
        }
    }

    fn pause(&mut self, gate: &Name) {
        let until = self.now + PAUSE;
        let fake = self.gate(gate);
        fake.paused_until = until;
        fake.gate.on_pause();
        self.after(PAUSE + CONTACT_DELAY, Event::Release(gate.clone()));
    }

    /// Closes the data centre of a gate, as operators do, and applies the new configuration to all
    /// gates.
    fn close_data_centre(&mut self, gate: &Name) {
        let closed = self.gates[gate].data_centre.clone();
        let mut set = Set::clone(&self.set);
        if let Some(data_centre) = set.data_centres.get_mut(&closed) {
            data_centre.intake = Intake::Closed;
        }
        self.set = Arc::new(set);
        self.table.reconfigure(self.set.clone());
        for name in self.gate_names() {
            let (set, now) = (self.set.clone(), self.now);
            let actions = self.gate(&name).reconfigure(set, now);
            self.act_gate(&name, actions);
        }
        let now = self.now;
        for (name, server) in &mut self.servers {
            if self.set.servers[name].data_centre == closed {
                server.closed_at = Some(now);
            }
        }
    }
}
