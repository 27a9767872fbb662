use std::{collections::BTreeSet, fmt, time::Duration};

use mimosabridge_cli::Event;
use mimosabridge_direct::events::{
    ATTEMPT, CLOSED, CRASH, FAILED, LEFT, NODES, PARTIAL, PAUSED, PLAN, QUARANTINED, REFUSED,
    REJECTED, SERVED, SERVER, STORE_BACK, STORE_LOST, SUSPECT, UPSTREAM,
};

use super::Line;

/// Events that end a request.
const ENDS: &[Event] = &[SERVED, PARTIAL, REFUSED, FAILED, REJECTED, LEFT];

/// State changes that affect every request: configuration, closed data centres, the store, the
/// process itself.
const COMMON: &[Event] = &[PAUSED, PLAN, CLOSED, STORE_LOST, STORE_BACK, NODES, UPSTREAM];

/// State changes of one server.
const OF_SERVER: &[Event] = &[SERVER, CRASH, SUSPECT];

/// The outcome of one request and the state changes before it.
#[derive(Clone, Debug, PartialEq)]
pub struct Explanation {
    /// The lines of the request, ordered by time.
    pub lines: Vec<Line>,
    /// State changes that the node recorded before the end of the request, about its servers, its
    /// content and in general, ordered by time.
    pub state_changes: Vec<Line>,
    /// The cause of the outcome in one sentence.
    pub cause: String,
}

impl Explanation {
    /// Creates the explanation of a request from the lines of all nodes. Returns `None` if no line
    /// has the ID. State changes are included from the time `before` the end of the request.
    pub fn new(id: &str, lines: &[Line], before: Duration) -> Option<Explanation> {
        let has_id = |it: &&Line| it.text("id").as_deref() == Some(id);
        let mut own: Vec<_> = lines.iter().filter(has_id).cloned().collect();
        own.sort_by(|a, b| a.time.cmp(&b.time));
        let end = own.iter().rfind(|it| it.is_any(ENDS)).or(own.last())?.clone();
        let servers: BTreeSet<_> = own.iter().filter_map(|it| it.text("server")).collect();
        let from = seconds(&end.time).map(|it| it - before.as_secs_f64());
        let content = end.text("fingerprint");
        let is_crash_of_content =
            |it: &Line| it.is_any(&[CRASH, QUARANTINED]) && it.text("fingerprint") == content;
        let is_state_change = |it: &&Line| {
            let names_server = || {
                let summary = it.summary();
                servers.iter().any(|server| summary.contains(server))
            };
            let is_near = from.is_none_or(|from| seconds(&it.time).is_some_and(|at| at >= from));
            it.node == end.node
                && it.time <= end.time
                && (is_near && (it.is_any(COMMON) || it.is_any(OF_SERVER) && names_server())
                    || content.is_some() && is_crash_of_content(it))
        };
        let mut state_changes: Vec<_> = lines.iter().filter(is_state_change).cloned().collect();
        state_changes.sort_by(|a, b| a.time.cmp(&b.time));
        let cause = cause(&end, &own);
        Some(Explanation { lines: own, state_changes, cause })
    }
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{} {} {}", line.time, line.node, line.summary())?;
        }
        if !self.state_changes.is_empty() {
            writeln!(f, "\nWhat the node learned before:")?;
        }
        for line in &self.state_changes {
            writeln!(f, "{} {}", line.time, line.summary())?;
        }
        write!(f, "\nCause: {}", self.cause)
    }
}

/// Returns the cause of the end of a request in one sentence.
fn cause(end: &Line, own: &[Line]) -> String {
    let field = |name: &str| end.text(name).unwrap_or_default();
    let missing = field("missing");
    match end.kind() {
        Some(SERVED) => {
            format!("served after {} ms with {} sends", field("millis"), field("sends"))
        }
        Some(PARTIAL) => format!(
            "answered after {} ms without {missing}{}",
            field("millis"),
            attempts(own, &missing)
        ),
        Some(REFUSED) if field("reason").is_empty() => {
            format!("refused, it has not run; the node believed: {missing}{}", attempts(own, ""))
        }
        Some(REFUSED) => format!("refused, it has not run: {}", field("reason")),
        Some(FAILED) => format!(
            "failed as {} after {} ms; it may have run{}",
            field("detail"),
            field("millis"),
            attempts(own, "")
        ),
        Some(REJECTED) => format!("rejected with {}: {}", field("status"), field("reason")),
        Some(LEFT) => format!("the caller left after {} ms", field("millis")),
        _ => format!("no line tells of its end; see the other nodes{}", attempts(own, "")),
    }
}

/// Returns how the attempts at the named services ended, or all attempts if none is named.
fn attempts(own: &[Line], services: &str) -> String {
    let is_relevant = |it: &&Line| {
        let service = it.text("service").unwrap_or_default();
        it.is(ATTEMPT) && (services.is_empty() || services.contains(&service))
    };
    let endings = own.iter().filter(is_relevant).map(|it| {
        let field = |name: &str| it.text(name).unwrap_or_default();
        let error = field("error");
        let error = if error.is_empty() { error } else { format!(" ({error})") };
        format!(
            "{} of {} ended {} after {} ms{error}",
            field("server"),
            field("service"),
            field("end"),
            field("millis")
        )
    });
    let endings: Vec<_> = endings.collect();
    if endings.is_empty() { String::new() } else { format!("; {}", endings.join("; ")) }
}

/// Returns the seconds since midnight of an RFC 3339 time. Explanations that cross midnight show
/// fewer state changes.
fn seconds(time: &str) -> Option<f64> {
    let (_, clock) = time.trim_end_matches('Z').split_once('T')?;
    let mut parts = clock.split(':').map(|it| it.parse::<f64>());
    let mut next = || parts.next()?.ok();
    Some(next()? * 3_600.0 + next()? * 60.0 + next()?)
}
