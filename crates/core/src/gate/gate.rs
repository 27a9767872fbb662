use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use super::{Action, End, Rank, Report, Searcher, Settings, Task};
use crate::{
    config::Set,
    name::Name,
    outcome::{Hint, Outcome, Refusal},
    time::Time,
};

/// The decisions of a gate about all its servers.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: Settings,
    config: Arc<Set>,
    ranks: HashMap<Name, Rank>,
    searchers: BTreeMap<Name, Searcher>,
    tasks: HashMap<u64, Name>,
    hold: Option<Hold>,
    stopping: bool,
}

/// Why nothing is sent for now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hold {
    /// The process slept; its beliefs are old until it has heard from a peer.
    Paused,
    /// The process has lost contact with the rest of the system.
    Isolated,
}

impl Gate {
    /// Creates a gate that knows no server yet.
    pub fn new(settings: Settings) -> Gate {
        Gate {
            settings,
            config: Arc::default(),
            ranks: HashMap::new(),
            searchers: BTreeMap::new(),
            tasks: HashMap::new(),
            hold: None,
            stopping: false,
        }
    }

    /// Takes a configuration and the rank of this gate for each server that it is ranked for.
    pub fn reconfigure(
        &mut self,
        config: Arc<Set>,
        ranks: HashMap<Name, Rank>,
        now: Time,
    ) -> Vec<Action> {
        self.config = config;
        self.ranks = ranks;
        let mut actions = Vec::new();
        for (name, searcher) in &mut self.searchers {
            let Some(server) = self.config.servers.get(name) else {
                actions.extend(searcher.refuse_all(Refusal::UnknownServer, now));
                continue;
            };
            if !self.config.is_open(&server.data_centre) {
                actions.extend(searcher.refuse_all(Refusal::DataCentreClosed, now));
            }
            if let Some(service) = self.config.services.get(&server.service) {
                searcher.set_share(service.slots, rank_of(&self.ranks, name));
            }
        }
        self.finished(actions)
    }

    /// Returns the servers that this gate is the primary of and must poll for health.
    pub fn polled(&self) -> Vec<Name> {
        let primary = self.ranks.iter().filter(|(_, rank)| **rank == Rank::Primary);
        let mut names: Vec<_> = primary.map(|(name, _)| name.clone()).collect();
        names.sort();
        names
    }

    /// Takes a task: queues it, sends it or refuses it.
    pub fn offer(&mut self, task: Task, now: Time) -> Vec<Action> {
        if let Some(refusal) = self.refusal(&task.server) {
            let hint = self.hint(&task.server, now);
            return vec![Action::Finish(task.id, Outcome::Refused(refusal), hint)];
        }
        let server = task.server.clone();
        self.tasks.insert(task.id, server.clone());
        let Some(searcher) = self.searcher(&server) else { return Vec::new() };
        let actions = searcher.offer(task, now);
        self.pump(&server, actions, now)
    }

    /// Drops a task that the caller no longer wants.
    pub fn cancel(&mut self, id: u64, now: Time) -> Vec<Action> {
        self.with_task(id, now, |searcher, _| searcher.cancel(id, now))
    }

    /// Takes the end of a task that was sent.
    pub fn settle(&mut self, id: u64, end: End, now: Time) -> Vec<Action> {
        let actions = self.with_task(id, now, |it, settings| it.settle(id, end, now, settings));
        self.tasks.remove(&id);
        actions
    }

    /// Takes a health report of a server that was asked for at `asked`.
    pub fn on_health(
        &mut self,
        server: &Name,
        report: &Report,
        asked: Time,
        now: Time,
    ) -> Vec<Action> {
        self.with_server(server, now, |it, settings| it.on_health(report, asked, now, settings))
    }

    /// Takes note that a health request found no server.
    pub fn on_unreachable(&mut self, server: &Name, now: Time) -> Vec<Action> {
        self.with_server(server, now, |it, settings| it.on_unreachable(now, settings))
    }

    /// Takes note that a server is leaving, as others have seen it.
    pub fn on_leaving(&mut self, server: &Name, now: Time) -> Vec<Action> {
        self.with_server(server, now, |it, _| it.on_leaving(now))
    }

    /// Takes note that the process slept: every belief about servers is forgotten and nothing is
    /// sent until [`Gate::release`].
    pub fn on_pause(&mut self) {
        self.hold = Some(Hold::Paused);
        for searcher in self.searchers.values_mut() {
            searcher.doubt();
        }
    }

    /// Sends nothing until [`Gate::release`], and refuses what waits and what comes.
    pub fn isolate(&mut self, now: Time) -> Vec<Action> {
        self.hold = Some(Hold::Isolated);
        self.refuse_all(&Refusal::Isolated, now)
    }

    /// Sends again.
    pub fn release(&mut self, now: Time) -> Vec<Action> {
        if self.hold.take().is_none() {
            return Vec::new();
        }
        self.tick(now)
    }

    /// Takes no new task from now on; what it has is finished.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether nothing waits and nothing runs.
    pub fn is_idle(&self) -> bool {
        self.searchers.values().all(Searcher::is_idle)
    }

    /// Returns what to tell entries about a server.
    pub fn hint(&self, server: &Name, now: Time) -> Hint {
        match self.searchers.get(server) {
            Some(searcher) => searcher.hint(now),
            None => Hint::unknown(),
        }
    }

    /// Returns the servers that have been used, with what is believed of them.
    pub fn hints(&self, now: Time) -> Vec<(Name, Hint)> {
        self.searchers.iter().map(|(name, it)| (name.clone(), it.hint(now))).collect()
    }

    /// Expires tasks, finds silent connections and sends what has room.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let held = self.hold.is_some();
        for searcher in self.searchers.values_mut() {
            actions.extend(searcher.tick(now, &self.settings));
            if !held {
                actions.extend(searcher.pump(now));
            }
        }
        self.searchers.retain(|name, it| !it.is_idle() || self.config.servers.contains_key(name));
        self.finished(actions)
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
        let searchers = self.searchers.values_mut();
        let actions = searchers.flat_map(|it| it.refuse_all(refusal.clone(), now)).collect();
        self.finished(actions)
    }

    fn searcher(&mut self, name: &Name) -> Option<&mut Searcher> {
        let server = self.config.servers.get(name)?;
        let service = self.config.services.get(&server.service)?;
        let rank = rank_of(&self.ranks, name);
        let create = || Searcher::new(name.clone(), service, rank, &self.settings);
        Some(self.searchers.entry(name.clone()).or_insert_with(create))
    }

    fn with_task(
        &mut self,
        id: u64,
        now: Time,
        event: impl FnOnce(&mut Searcher, &Settings) -> Vec<Action>,
    ) -> Vec<Action> {
        let Some(server) = self.tasks.get(&id).cloned() else { return Vec::new() };
        self.with_server(&server, now, event)
    }

    fn with_server(
        &mut self,
        server: &Name,
        now: Time,
        event: impl FnOnce(&mut Searcher, &Settings) -> Vec<Action>,
    ) -> Vec<Action> {
        let settings = self.settings;
        if self.searcher(server).is_none() && !self.searchers.contains_key(server) {
            return Vec::new();
        }
        let Some(searcher) = self.searchers.get_mut(server) else { return Vec::new() };
        let actions = event(searcher, &settings);
        self.pump(server, actions, now)
    }

    fn pump(&mut self, server: &Name, mut actions: Vec<Action>, now: Time) -> Vec<Action> {
        if self.hold.is_none()
            && let Some(searcher) = self.searchers.get_mut(server)
        {
            actions.extend(searcher.pump(now));
        }
        self.finished(actions)
    }

    /// Forgets the tasks that were refused, since no [`Gate::settle`] follows for them.
    fn finished(&mut self, actions: Vec<Action>) -> Vec<Action> {
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
