//! Entries, rules and nodes that tests share.

use std::{sync::Arc, time::Duration};

use mimosabridge::{
    balance::{Balancer, Settings},
    directory::{Entry, WRITE_INTERVAL},
    feed::{Fact, Mirror, Position, Snapshot},
    member::{Incarnation, Record, Roles, State},
    name::Name,
    plan::{Gather, Limits, Plan, Repeat, Rule, Service, Spec, Target},
    scatter::{Action, Attempt, Context, Verdict},
    time::Time,
};

/// Returns a time some milliseconds after the start.
pub fn at(millis: u64) -> Time {
    Time::from_millis(10_000 + millis)
}

/// Returns the entry of a server in a data centre, with a name and an address made of its number.
pub fn entry(number: u16, service: &str, data_centre: &str) -> Entry {
    Entry {
        id: Name::new(format!("i-{number}")),
        service: Name::new(service),
        address: ([127, 0, 0, 1], 10_000 + number).into(),
        data_centre: Name::new(data_centre),
        slots: 6,
        is_draining: false,
        cold: Duration::ZERO,
        born: 1,
        sequence: None,
    }
}

/// Returns the record of a live node in a data centre, with a name and addresses made of its
/// number.
pub fn record(number: u16, data_centre: &str) -> Record {
    Record {
        name: Name::new(format!("{data_centre}-{number:02}")),
        data_centre: Name::new(data_centre),
        roles: Roles { entry: true, gate: false },
        peer: ([127, 0, 0, 1], 1_000 + number).into(),
        rpc: ([127, 0, 0, 1], 2_000 + number).into(),
        incarnation: Incarnation { boot: 1, refutation: 0 },
        state: State::Alive,
    }
}

/// Returns a rule whose requests may be repeated, with an objective of 200 ms.
pub fn rule(name: &str, target: Target) -> Rule {
    Rule {
        name: Name::new(name),
        host: Name::new("search.example"),
        prefix: Name::new(format!("/{name}/")),
        repeat: Repeat::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(200),
        priority: 1,
        target,
    }
}

/// Returns a rule for the service `one` whose requests may run only once.
pub fn once() -> Rule {
    Rule { repeat: Repeat::Once, ..rule("once", Target::One(Name::new("one"))) }
}

/// Returns a rule over the shards `s0`, `s1` and so on.
pub fn gather(shards: usize, least: f64) -> Rule {
    let shards = (0..shards).map(|it| Name::new(format!("s{it}"))).collect();
    rule("all", Target::All(Gather { shards, top: 5, least }))
}

/// Returns a service whose servers accept 46 connections, and `cold_rate` requests per second while
/// they are cold.
pub fn service(name: &str, cold_rate: f64) -> Service {
    Service {
        name: Name::new(name),
        health_path: Name::new("/health"),
        connections: 46,
        warm_up: Duration::from_secs(3),
        cold_rate,
    }
}

pub fn settings() -> Settings {
    Settings {
        data_centre: Name::new("a"),
        extra_ratio: 0.2,
        extra_burst: 58.0,
        cold_factor: 1.5,
        cold_slack: 5.0,
        drain_time: Duration::from_secs(3),
        write_interval: WRITE_INTERVAL,
        assumed_nodes: 1,
    }
}

/// The state of a node on which its decisions depend.
pub struct Node {
    pub balancer: Balancer,
    pub mirror: Mirror,
    pub plan: Arc<Plan>,
}

impl Node {
    /// Creates a node that knows some rules, services and servers.
    pub fn new(rules: Vec<Rule>, services: Vec<Service>, entries: Vec<Entry>) -> Node {
        let mut balancer = Balancer::new(settings(), 7);
        let mut mirror = Mirror::new();
        let spec = Spec { version: 1, limits: Limits::default(), rules, services };
        let facts = std::iter::once(Fact::Plan(spec)).chain(entries.into_iter().map(Fact::Server));
        let snapshot = Snapshot { position: Position::new(0, 10), facts: facts.collect() };
        mirror.replace(snapshot, &mut balancer, at(0));
        let plan = mirror.plan().expect("a plan was published").clone();
        Node { balancer, mirror, plan }
    }

    pub fn context(&mut self, now: Time) -> Context<'_> {
        Context { balancer: &mut self.balancer, plan: &self.plan, now }
    }

    pub fn rule(&self, name: &str) -> Arc<Rule> {
        let path = format!("/{name}/x");
        self.plan.find("search.example", &path).expect("the rule exists").clone()
    }

    pub fn extend(&mut self, revision: u64, facts: Vec<Fact>, now: Time) {
        let after = self.mirror.position();
        self.mirror.extend(
            after,
            Snapshot { position: Position::new(0, revision), facts },
            &mut self.balancer,
            now,
        );
    }
}

/// Returns the number of seeds to play: that of an environment variable, for runs by hand, or
/// `default`.
pub fn seeds(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// Returns the attempts among the actions.
pub fn sends(actions: &[Action]) -> Vec<Attempt> {
    let attempt = |it: &Action| match it {
        Action::Send(attempt) => Some(attempt.clone()),
        Action::Finish(_) => None,
    };
    actions.iter().filter_map(attempt).collect()
}

/// Returns the final answer among the actions, if there is one.
pub fn verdict(actions: &[Action]) -> Option<Verdict> {
    let verdict = |it: &Action| match it {
        Action::Finish(verdict) => Some(verdict.clone()),
        Action::Send(_) => None,
    };
    actions.iter().find_map(verdict)
}
