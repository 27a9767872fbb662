use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use futures_util::{StreamExt, future::LocalBoxFuture, stream::FuturesUnordered};
use mimosabridge::{
    balance::Stated,
    fingerprint::Fingerprint,
    plan::{Plan, Target},
    scatter::{Action, Attempt, Context, End, Run, Verdict, merge},
    time::Time,
};

use super::{
    evidence,
    incoming::Query,
    notices::Notices,
    relay::relay,
    respond::{self, Answer},
    serve::Origin,
};
use crate::{
    backend::{Completion, Identity, LinkError, Notice, Outgoing, Reply, exchange},
    events,
    metrics::label,
    node::Shared,
};

/// How long attempts that are no longer needed may continue after the answer: most finish in this
/// time, so that their connection can be reused and the latency of their server is recorded.
const LINGER_TIMEOUT: Duration = Duration::from_millis(400);

/// One in this many fast successes is logged.
const LOG_ONE_IN: u64 = 64;

type Ended = (Attempt, Completion);

/// A request in progress with its I/O. Dropping it cancels the attempts.
struct Execution {
    shared: Rc<Shared>,
    plan: Arc<Plan>,
    run: Run,
    outgoing: Rc<Outgoing>,
    fingerprint: Fingerprint,
    id: String,
    started_at: Time,
    attempts: FuturesUnordered<LocalBoxFuture<'static, Ended>>,
    replies: HashMap<usize, Reply>,
    notices: Notices,
    /// Whether the content was reported as one that may end servers.
    is_reported: bool,
    is_answered: bool,
}

/// Serves a valid request and returns the answer to the caller.
pub async fn drive(
    shared: Rc<Shared>,
    plan: Arc<Plan>,
    query: Query,
    id: String,
    origin: Origin,
) -> Answer {
    let started_at = shared.now();
    let stops = shared.state.borrow().stop.map(|it| it.answers_due());
    let caller_timeout =
        stops.map_or(query.caller_timeout, |it| query.caller_timeout.min(started_at.until(it)));
    let deadline = started_at + caller_timeout.min(query.rule.timeout);
    if origin == Origin::Caller
        && let Some(answer) = relay(&shared, &query.rule, &query.outgoing, deadline).await
    {
        return answer;
    }
    let is_suspect = shared.is_suspect(query.fingerprint);
    let run = {
        let balancer = &mut shared.state.borrow_mut().balancer;
        let now = shared.now();
        let caller_timeout = caller_timeout.saturating_sub(now.since(started_at));
        let mut context = Context { balancer, plan: &plan, now };
        let run = Run::new(query.rule, caller_timeout, &mut context);
        if is_suspect { run.with_canary() } else { run }
    };
    let mut execution = Execution {
        shared,
        plan,
        run,
        outgoing: Rc::new(query.outgoing),
        fingerprint: query.fingerprint,
        id,
        started_at,
        attempts: FuturesUnordered::new(),
        replies: HashMap::new(),
        notices: Notices::default(),
        is_reported: false,
        is_answered: false,
    };
    let verdict = execution.execute().await;
    let mut answer = execution.answer(&verdict);
    execution.is_answered = true;
    if origin == Origin::Node {
        execution.notices.write(&mut answer, execution.shared.now());
    }
    if origin == Origin::Caller && matches!(verdict, Verdict::Refuse(_)) {
        let Execution { shared, run, outgoing, .. } = &execution;
        answer = relay(shared, run.rule(), outgoing, deadline).await.unwrap_or(answer);
    }
    if !execution.attempts.is_empty() {
        tokio::task::spawn_local(execution.linger());
    }
    answer
}

impl Execution {
    async fn execute(&mut self) -> Verdict {
        let shared = self.shared.clone();
        let mut answers_due = std::pin::pin!(shared.answers_due());
        let mut actions = self.decide(|run, context| run.start(context));
        loop {
            if let Some(verdict) = self.act(actions) {
                return verdict;
            }
            let next = self.shared.clock.instant(self.run.next_timer(self.shared.now()));
            actions = tokio::select! {
                Some(ended) = self.attempts.next() => self.on_ended(ended),
                () = tokio::time::sleep_until(next) => {
                    self.decide(|run, context| run.on_timer(context))
                }
                () = &mut answers_due => self.decide(|run, context| run.cut_short(context)),
            };
        }
    }

    /// Waits up to `LINGER_TIMEOUT` for the attempts that are no longer needed, then cancels them.
    async fn linger(mut self) {
        let end = tokio::time::sleep(LINGER_TIMEOUT);
        let mut end = std::pin::pin!(end);
        loop {
            tokio::select! {
                ended = self.attempts.next() => match ended {
                    Some(ended) => drop(self.on_ended(ended)),
                    None => return,
                },
                () = &mut end => break,
            }
        }
        self.give_up(true);
    }

    /// Gives up the attempts under way. `is_silent` says that their servers had time to answer.
    fn give_up(&mut self, is_silent: bool) {
        for attempt in self.run.under_way() {
            evidence::record_given_up(&self.shared, &self.plan, self.fingerprint, attempt);
        }
        self.decide(|run, context| run.abandon(is_silent, context));
    }

    fn decide<T>(&mut self, decision: impl FnOnce(&mut Run, &mut Context<'_>) -> T) -> T {
        let balancer = &mut self.shared.state.borrow_mut().balancer;
        let mut context = Context { balancer, plan: &self.plan, now: self.shared.now() };
        decision(&mut self.run, &mut context)
    }

    fn act(&mut self, actions: Vec<Action>) -> Option<Verdict> {
        for action in actions {
            match action {
                Action::Send(attempt) => self.send(attempt),
                Action::Finish(verdict) => return Some(verdict),
            }
        }
        None
    }

    fn send(&mut self, attempt: Attempt) {
        if attempt.is_hedge {
            self.shared.metrics.hedges.inc();
        }
        let (shared, outgoing) = (self.shared.clone(), self.outgoing.clone());
        self.attempts.push(Box::pin(async move {
            let Shared { pool, clock, headers, .. } = &*shared;
            let work = exchange(pool, *clock, headers, &attempt, &outgoing);
            let completion = tokio::time::timeout(attempt.budget, work).await;
            (attempt, completion.unwrap_or_else(|_| Completion::new(End::Silent)))
        }));
    }

    fn on_ended(&mut self, (attempt, completion): Ended) -> Vec<Action> {
        let mut completion = completion;
        if self.is_duplicate(completion.end, completion.reply.as_ref()) {
            completion.end = End::Invalid;
        }
        evidence::record(&self.shared, &self.plan, self.fingerprint, &attempt, &completion);
        let Completion { end, reply, error } = completion;
        self.shared.metrics.on_attempt(&attempt.server.service, end);
        if end != End::Served {
            self.log_attempt(&attempt, end, reply.as_ref(), error.as_ref());
        }
        if let Some(reply) = reply {
            self.record_stated(&attempt, end, &reply);
            self.record_notice(&attempt, end, &reply);
            self.replies.insert(attempt.number, reply);
        }
        let actions = self.decide(|run, context| run.on_end(attempt.number, end, context));
        if let Some(lost) = self.run.suspicious_loss().filter(|_| !self.is_reported) {
            self.shared.on_suspicious(self.fingerprint, lost);
            self.is_reported = true;
        }
        actions
    }

    /// Records what a server says of the requests that it takes. Only an answer that it has signed
    /// shows the end of a limit.
    fn record_stated(&self, attempt: &Attempt, end: End, reply: &Reply) {
        let Some(stated) = reply.stated else { return };
        let counts = match end {
            End::Served | End::Failed => true,
            End::Shed | End::Resting => stated != Stated::NoLimit,
            End::Misdirected | End::Unsent | End::Broken | End::Invalid | End::Silent => false,
        };
        let now = self.shared.now();
        let balancer = &mut self.shared.state.borrow_mut().balancer;
        let server = &attempt.server;
        if counts && balancer.on_stated(&server.id, stated, attempt.sent, now) {
            events::LIMIT.emit(&[
                ("server", &server.id),
                ("service", &server.service),
                ("stated", &format_args!("{stated:?}")),
                ("nodes", &balancer.nodes()),
            ]);
        }
    }

    /// Records what a server says of itself, if the answer is one to this request.
    fn record_notice(&mut self, attempt: &Attempt, end: End, reply: &Reply) {
        let name = &self.shared.headers.request_id;
        let is_named = Identity::new(&reply.headers, name, &self.outgoing.id) == Identity::Own;
        let is_own = match end {
            End::Served | End::Failed | End::Shed | End::Resting => true,
            // An answer that names this request, but can't be used.
            End::Invalid => is_named,
            End::Misdirected | End::Unsent | End::Broken | End::Silent => false,
        };
        if !is_own {
            return;
        }
        let notice = Notice { rest: reply.notice.rest.filter(|_| is_named), ..reply.notice };
        self.shared.on_notice(&attempt.server, notice, "answer");
        self.notices.add(&attempt.server.id, notice, self.shared.now());
    }

    /// Returns whether an answer has the same signature as an earlier one: a merged answer that
    /// names a signature twice would be wrong as a whole.
    fn is_duplicate(&self, end: End, reply: Option<&Reply>) -> bool {
        let Some(signature) = reply.and_then(|it| it.signature.as_ref()) else { return false };
        let mut known = self.replies.values().filter_map(|it| it.signature.as_ref());
        end == End::Served && known.any(|it| it == signature)
    }

    fn answer(&mut self, verdict: &Verdict) -> Answer {
        let latency = self.shared.now().since(self.started_at);
        self.log_verdict(verdict, latency);
        match verdict {
            Verdict::Pass(number) => match self.replies.remove(number) {
                Some(reply) => respond::pass(reply),
                None => respond::failed(mimosabridge::scatter::Failure::Broken),
            },
            Verdict::Merge { attempts, missing } => {
                let top = match &self.run.rule().target {
                    Target::All(gather) => gather.top,
                    Target::One(_) | Target::Split(_) => 0,
                };
                let parts: Vec<_> = attempts.iter().filter_map(|it| self.replies.get(it)).collect();
                let body = merge(parts.iter().map(|it| &it.body[..]), top);
                respond::merged(body, &parts, *missing, &self.shared.headers)
            }
            Verdict::Refuse(refusal) => {
                respond::refused(refusal.retry_after, "no server can take this request now")
            }
            Verdict::Fail(failure) => respond::failed(*failure),
        }
    }

    /// Returns whether all shards have answered with success.
    fn is_served_whole(&self, verdict: &Verdict) -> bool {
        match verdict {
            Verdict::Pass(number) => self.run.end(*number) == Some(End::Served),
            Verdict::Merge { missing, .. } => *missing == 0,
            Verdict::Refuse(_) | Verdict::Fail(_) => false,
        }
    }

    fn log_verdict(&self, verdict: &Verdict, latency: Duration) {
        let (event, outcome) = match verdict {
            _ if self.is_served_whole(verdict) => (events::SERVED, "served"),
            Verdict::Pass(_) => (events::FAILED, "server_failure"),
            Verdict::Merge { missing, .. } => {
                self.shared.metrics.missing_shards.inc_by(*missing as u64);
                (events::PARTIAL, "partial")
            }
            Verdict::Refuse(_) => (events::REFUSED, "refused"),
            Verdict::Fail(_) => (events::FAILED, "failed"),
        };
        let rule = self.run.rule();
        self.shared.metrics.on_answer(&rule.name, outcome, latency);
        let is_slow = latency > rule.objective;
        if outcome == "served" && !is_slow && !rand::random::<u64>().is_multiple_of(LOG_ONE_IN) {
            return;
        }
        let detail = format!("{verdict:?}");
        let missing = self.missing();
        event.emit(&[
            ("id", &self.id),
            ("rule", &rule.name),
            ("version", &self.plan.version()),
            ("outcome", &outcome),
            ("millis", &latency.as_millis()),
            ("sends", &self.run.sends()),
            ("detail", &detail),
            ("missing", &missing),
        ]);
    }

    /// Lists the services that are missing from the answer, with the state of their servers.
    fn missing(&self) -> String {
        let balancer = &mut self.shared.state.borrow_mut().balancer;
        let now = self.shared.now();
        let mut services = Vec::new();
        for service in self.run.missing() {
            let estimate = balancer.estimate(service, self.run.rule(), &self.plan, now);
            let known = balancer.directory().by_service(service).count();
            let availability = match estimate {
                None => "none with room".to_owned(),
                Some(it) if it.is_down => format!("unavailable for {:?}", it.answer),
                Some(it) => format!("answer expected in {:?}", it.answer),
            };
            services.push(format!("{service}: {known} known, {availability}"));
        }
        services.join("; ")
    }

    fn log_attempt(
        &self,
        attempt: &Attempt,
        end: End,
        reply: Option<&Reply>,
        error: Option<&LinkError>,
    ) {
        let error = error.map_or_else(String::new, ToString::to_string);
        let status = reply.map_or(0, |it| it.status.as_u16());
        let name = &self.shared.headers.request_id;
        let identity = reply.map(|it| Identity::new(&it.headers, name, &self.outgoing.id));
        let identity = identity.map_or_else(String::new, |it| it.to_string());
        events::ATTEMPT.emit(&[
            ("id", &self.id),
            ("rule", &self.run.rule().name),
            ("fingerprint", &self.fingerprint),
            ("server", &attempt.server.id),
            ("service", &attempt.server.service),
            ("end", &label(end)),
            ("status", &status),
            ("identity", &identity),
            ("error", &error),
            ("hedge", &attempt.is_hedge),
            ("millis", &self.shared.now().since(attempt.sent).as_millis()),
        ]);
    }
}

impl Drop for Execution {
    fn drop(&mut self) {
        if self.is_answered {
            return;
        }
        let millis = self.shared.now().since(self.started_at).as_millis();
        let event = if self.shared.is_ended() { events::CUT } else { events::LEFT };
        event.emit(&[
            ("id", &self.id),
            ("rule", &self.run.rule().name),
            ("millis", &millis),
            ("sends", &self.run.sends()),
        ]);
        self.give_up(false);
    }
}
