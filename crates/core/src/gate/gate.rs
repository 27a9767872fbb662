use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{Action, Completion, Rank, Report, ServerState, Settings, Task};
use crate::{
    config::Set,
    name::Name,
    outcome::{Hint, Outcome, Refusal},
    time::Time,
};

/// Decides when the tasks of a gate are sent to its servers.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: Settings,
    config: Arc<Set>,
    ranks: HashMap<Name, Rank>,
    servers: BTreeMap<Name, ServerState>,
    tasks: HashMap<u64, Name>,
    hold: Option<Hold>,
    stopping: bool,
}

/// The reason why a gate sends nothing for now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// The process was paused: the state of its servers may be outdated until it has had contact
    /// with a peer.
    Paused,
    /// The process has lost contact with the rest of the system.
    Isolated,
}

impl Gate {
    /// Creates a gate without servers.
    pub fn new(settings: Settings) -> Gate {
        Gate {
            settings,
            config: Arc::default(),
            ranks: HashMap::new(),
            servers: BTreeMap::new(),
            tasks: HashMap::new(),
            hold: None,
            stopping: false,
        }
    }

    /// Applies a configuration and the rank of this gate for each server that it is ranked for.
    pub fn reconfigure(
        &mut self,
        config: Arc<Set>,
        ranks: HashMap<Name, Rank>,
        now: Time,
    ) -> Vec<Action> {
        self.config = config;
        self.ranks = ranks;
        let mut actions = Vec::new();
        for (name, state) in &mut self.servers {
            let Some(server) = self.config.servers.get(name) else {
                actions.extend(state.refuse_all(Refusal::UnknownServer, now));
                continue;
            };
            if !self.config.is_open(&server.data_centre) {
                actions.extend(state.refuse_all(Refusal::DataCentreClosed, now));
            }
            if let Some(service) = self.config.services.get(&server.service) {
                state.set_share(service.slots, rank_of(&self.ranks, name));
            }
        }
        self.forget_refused(actions)
    }

    /// Returns the servers whose health this gate must poll: those that it is the primary of.
    pub fn servers_to_poll(&self) -> Vec<Name> {
        let primary = self.ranks.iter().filter(|(_, rank)| **rank == Rank::Primary);
        let mut names: Vec<_> = primary.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Queues, sends or refuses a task.
    pub fn offer(&mut self, task: Task, now: Time) -> Vec<Action> {
        if let Some(refusal) = self.refusal(&task.server) {
            let hint = self.hint(&task.server, now);
            return vec![Action::Finish(task.id, Outcome::Refused(refusal), hint)];
        }
        let server = task.server.clone();
        self.tasks.insert(task.id, server.clone());
        let Some(state) = self.server_state(&server) else { return Vec::new() };
        let actions = state.offer(task, now);
        self.dispatch(&server, actions, now)
    }

    /// Drops a task that the caller no longer wants.
    pub fn cancel(&mut self, id: u64, now: Time) -> Vec<Action> {
        self.with_task(id, now, |state, _| state.cancel(id, now))
    }

    /// Records the result of a task that was sent.
    pub fn complete(&mut self, id: u64, completion: Completion, now: Time) -> Vec<Action> {
        let actions =
            self.with_task(id, now, |it, settings| it.complete(id, completion, now, settings));
        self.tasks.remove(&id);
        actions
    }

    /// Records a health report of a server that was requested at `asked`.
    pub fn on_health(
        &mut self,
        server: &Name,
        report: &Report,
        asked: Time,
        now: Time,
    ) -> Vec<Action> {
        self.with_server(server, now, |it, settings| it.on_health(report, asked, now, settings))
    }

    /// Records that a health request could not reach a server.
    pub fn on_unreachable(&mut self, server: &Name, now: Time) -> Vec<Action> {
        self.with_server(server, now, |it, settings| it.on_unreachable(now, settings))
    }

    /// Records that a server is leaving, as seen by another node.
    pub fn on_leaving(&mut self, server: &Name, now: Time) -> Vec<Action> {
        self.with_server(server, now, |it, _| it.on_leaving(now))
    }

    /// Records that the process was paused: the limits of all servers start again and nothing is
    /// sent until [`Gate::release`].
    pub fn on_pause(&mut self) {
        self.hold = Some(Hold::Paused);
        for state in self.servers.values_mut() {
            state.restart_ramp();
        }
    }

    /// Stops sending until [`Gate::release`] and refuses waiting and new tasks.
    pub fn isolate(&mut self, now: Time) -> Vec<Action> {
        self.hold = Some(Hold::Isolated);
        self.refuse_all(&Refusal::Isolated, now)
    }

    /// Resumes sending after [`Gate::on_pause`] or [`Gate::isolate`].
    pub fn release(&mut self, now: Time) -> Vec<Action> {
        if self.hold.take().is_none() {
            return Vec::new();
        }
        self.tick(now)
    }

    /// Refuses new tasks from now on. Tasks that the gate already has are still completed.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether no task waits or runs.
    pub fn is_idle(&self) -> bool {
        self.servers.values().all(ServerState::is_idle)
    }

    /// Returns the state of a server to report to entries.
    pub fn hint(&self, server: &Name, now: Time) -> Hint {
        match self.servers.get(server) {
            Some(state) => state.hint(now),
            None => Hint::unknown(),
        }
    }

    /// Returns the servers that have been used, with their state.
    pub fn hints(&self, now: Time) -> Vec<(Name, Hint)> {
        self.servers.iter().map(|(name, it)| (name.clone(), it.hint(now))).collect()
    }

    /// Expires tasks, detects connections that stopped responding and sends tasks up to the limits.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let held = self.hold.is_some();
        for state in self.servers.values_mut() {
            actions.extend(state.tick(now, &self.settings));
            if !held {
                actions.extend(state.dispatch(now));
            }
        }
        self.servers.retain(|name, it| !it.is_idle() || self.config.servers.contains_key(name));
        self.forget_refused(actions)
    }

    fn refusal(&self, server: &Name) -> Option<Refusal> {
        if self.stopping {
            return Some(Refusal::GateLeaving);
        }
        if self.hold == Some(Hold::Isolated) {
            return Some(Refusal::Isolated);
        }
        let Some(server) = self.config.servers.get(server) else {
            return Some(Refusal::UnknownServer);
        };
        if !self.config.is_open(&server.data_centre) {
            return Some(Refusal::DataCentreClosed);
        }
        None
    }

    fn refuse_all(&mut self, refusal: &Refusal, now: Time) -> Vec<Action> {
        let servers = self.servers.values_mut();
        let actions = servers.flat_map(|it| it.refuse_all(refusal.clone(), now)).collect();
        self.forget_refused(actions)
    }

    fn server_state(&mut self, name: &Name) -> Option<&mut ServerState> {
        let server = self.config.servers.get(name)?;
        let service = self.config.services.get(&server.service)?;
        let rank = rank_of(&self.ranks, name);
        let create = || ServerState::new(name.clone(), service, rank, &self.settings);
        Some(self.servers.entry(name.clone()).or_insert_with(create))
    }

    fn with_task(
        &mut self,
        id: u64,
        now: Time,
        event: impl FnOnce(&mut ServerState, &Settings) -> Vec<Action>,
    ) -> Vec<Action> {
        let Some(server) = self.tasks.get(&id).cloned() else { return Vec::new() };
        self.with_server(&server, now, event)
    }

    fn with_server(
        &mut self,
        server: &Name,
        now: Time,
        event: impl FnOnce(&mut ServerState, &Settings) -> Vec<Action>,
    ) -> Vec<Action> {
        let settings = self.settings;
        if self.server_state(server).is_none() && !self.servers.contains_key(server) {
            return Vec::new();
        }
        let Some(state) = self.servers.get_mut(server) else { return Vec::new() };
        let actions = event(state, &settings);
        self.dispatch(server, actions, now)
    }

    fn dispatch(&mut self, server: &Name, mut actions: Vec<Action>, now: Time) -> Vec<Action> {
        if self.hold.is_none()
            && let Some(state) = self.servers.get_mut(server)
        {
            actions.extend(state.dispatch(now));
        }
        self.forget_refused(actions)
    }

    /// Forgets the tasks that were refused or closed, since no [`Gate::complete`] follows for them.
    fn forget_refused(&mut self, actions: Vec<Action>) -> Vec<Action> {
        for action in &actions {
            match action {
                Action::Finish(id, Outcome::Refused(_), _) | Action::Close(id) => {
                    self.tasks.remove(id);
                }
                _ => {}
            }
        }
        actions
    }
}

fn rank_of(ranks: &HashMap<Name, Rank>, server: &Name) -> Rank {
    ranks.get(server).copied().unwrap_or(Rank::Standby)
}
