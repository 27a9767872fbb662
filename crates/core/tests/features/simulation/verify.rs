use std::collections::BTreeMap;

use mimosabridge::{
    name::Name,
    query::{Answer, Ending, Verdict},
    time::Time,
};

use super::{BUDGET, DEADLINE, QUERIES, Query, Simulation, TICK, VERSION, query_of};

/// The number of shards in the fixture.
const SHARDS: usize = 3;

impl Simulation {
    /// Returns every violation of the guarantees that the query tier gives.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        self.check_load(&mut violations);
        self.check_servers(&mut violations);
        self.check_gates(&mut violations);
        for number in 0..QUERIES {
            let mut of_query = Vec::new();
            self.check_query(number, &mut of_query);
            violations.extend(of_query.into_iter().map(|it| format!("query {number}: {it}")));
        }
        violations
    }

    /// Returns what is missing from the answers to queries that were not cancelled.
    pub fn incomplete_answers(&self) -> Vec<String> {
        let wanted = self.queries.iter().enumerate().filter(|(_, it)| !it.cancelled);
        let gaps = wanted.filter_map(|(number, query)| match query.answer() {
            Some(answer) if answer.verdict == Verdict::Complete => None,
            Some(answer) => Some(format!("query {number}: {:?}", answer.coverage.missing)),
            None => Some(format!("query {number}: {:?}", query.ending)),
        });
        gaps.collect()
    }

    fn check_query(&self, number: usize, violations: &mut Vec<String>) {
        let query = &self.queries[number];
        let starts = self.starts(number);
        if !self.idempotent && starts.values().any(|it| *it > 1) {
            violations.push(format!("not idempotent, but ran more than once: {starts:?}"));
        }
        if query.cancelled {
            return;
        }
        match &query.ending {
            None => violations.push("the caller got no answer".into()),
            Some(Ending::Settled { .. }) => check_answer(query, &starts, violations),
            Some(Ending::Restart { version }) => {
                if *version <= VERSION {
                    violations.push(format!("the restart goes back to version {version}"));
                }
                if !self.idempotent && !starts.is_empty() {
                    violations.push("not idempotent, but restarted after it ran".into());
                }
            }
            Some(Ending::Quarantine { servers }) => {
                if servers.len() < 2 {
                    violations.push(format!("quarantined after the crash of {servers:?}"));
                }
            }
        }
        let latest = DEADLINE.max(self.entry_paused_until) + TICK;
        if query.ended_at.is_some_and(|it| it > latest) {
            violations.push(format!("the answer came at {:?}", query.ended_at));
        }
    }

    fn check_load(&self, violations: &mut Vec<String>) {
        let starts = self.servers.values().map(|it| it.starts.len()).sum::<usize>();
        let first_attempts = QUERIES * SHARDS;
        let allowed = first_attempts + BUDGET as usize + first_attempts / 10;
        if starts > allowed {
            violations.push(format!("{starts} starts, but the budget allows {allowed}"));
        }
    }

    fn check_servers(&self, violations: &mut Vec<String>) {
        for (name, server) in &self.servers {
            let allowed = self.set.services["service"].cold_slots as usize;
            if server.peak_informed > allowed {
                violations.push(format!("cold server {name} got {} at once", server.peak_informed));
            }
            // A request may be in transit for long, so the time at which its gate sent it counts.
            let is_late = |closed: Time| server.starts.iter().any(|it| self.sent[&it.1] > closed);
            if server.closed_at.is_some_and(is_late) {
                violations
                    .push(format!("{name} got new requests after its data centre was closed"));
            }
        }
    }

    fn check_gates(&self, violations: &mut Vec<String>) {
        for (task, attempt) in &self.attempts {
            let Some(stopped) = self.gates[&attempt.route.gate].stopped_at else { continue };
            let is_new = self.offered.get(task).is_some_and(|it| *it > stopped);
            if is_new && self.sent.contains_key(task) {
                violations
                    .push(format!("{} accepted new requests after it stopped", attempt.route.gate));
            }
        }
    }

    /// Returns how many times the servers started each shard of a query.
    fn starts(&self, query: usize) -> BTreeMap<Name, usize> {
        let mut starts = BTreeMap::new();
        for (_, task, shard) in self.servers.values().flat_map(|it| &it.starts) {
            if query_of(*task) == query {
                *starts.entry(shard.clone()).or_default() += 1;
            }
        }
        starts
    }
}

impl Query {
    /// Returns the answer that the caller got, if the query was settled.
    pub fn answer(&self) -> Option<Answer> {
        let Some(Ending::Settled { replies, coverage, may_have_run }) = &self.ending else {
            return None;
        };
        Some(Answer::new(VERSION, replies.clone(), coverage.clone(), *may_have_run, false, 100))
    }
}

fn check_answer(query: &Query, starts: &BTreeMap<Name, usize>, violations: &mut Vec<String>) {
    let Some(Ending::Settled { replies, .. }) = &query.ending else { return };
    let Some(answer) = query.answer() else { return };
    if replies.iter().any(|(_, reply)| reply.snapshot != VERSION) {
        violations.push("the answer mixes snapshots".into());
    }
    let coverage = &answer.coverage;
    if coverage.total != SHARDS || coverage.answered + coverage.missing.len() != SHARDS {
        violations.push(format!("the coverage does not add up: {coverage:?}"));
    }
    let mut keys: Vec<_> = answer.hits.iter().map(|it| it.key.clone()).collect();
    let mut shards: Vec<_> = replies.iter().map(|(it, _)| it.to_string()).collect();
    keys.sort();
    shards.sort();
    if keys != shards || shards.len() != coverage.answered {
        violations.push(format!("hits of {keys:?} in an answer of {shards:?}"));
    }
    if answer.verdict == Verdict::NotRun && !starts.is_empty() {
        violations.push("the verdict is \"not run\", but the request ran".into());
    }
    for gap in coverage.missing.iter().filter(|it| it.reason.is_not_run()) {
        if starts.contains_key(&gap.shard) {
            violations.push(format!("{} ran, but its gap says that it was not run", gap.shard));
        }
    }
}
