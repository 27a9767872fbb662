use std::time::Duration;

use mimosabridge::{
    balance::Balancer,
    scatter::{Attempt, End, Run, Verdict},
    time::Time,
};

use crate::fixture::{Node, at, sends, verdict};

/// A caller of one node.
pub struct Caller {
    pub arrived: u64,
    /// The attempts under way.
    pub attempts: Vec<Attempt>,
    /// When the final answer came, in milliseconds, and which one.
    pub ended: Option<(u64, Verdict)>,
    run: Run,
    next: Time,
}

/// The callers of one node, whose servers take the same time for each request.
pub struct Callers {
    pub node: Node,
    pub all: Vec<Caller>,
    work: Duration,
}

impl Callers {
    pub fn new(node: Node, work: Duration) -> Callers {
        Callers { node, work, all: Vec::new() }
    }

    /// Has a caller arrive that waits for `timeout`. Returns its index.
    pub fn arrive(&mut self, name: &str, timeout: Duration, millis: u64) -> usize {
        let rule = self.node.rule(name);
        let mut context = self.node.context(at(millis));
        let mut run = Run::new(rule, timeout, &mut context);
        let actions = run.start(&mut context);
        let next = run.next_timer(at(millis));
        self.all.push(Caller {
            arrived: millis,
            attempts: sends(&actions),
            ended: verdict(&actions).map(|it| (millis, it)),
            run,
            next,
        });
        self.wake(millis);
        self.all.len() - 1
    }

    /// Ends attempts, runs timers and wakes requests at a time.
    pub fn step(&mut self, millis: u64) {
        let now = at(millis);
        for index in 0..self.all.len() {
            let work = self.work;
            let is_done = |it: &mut Attempt| it.sent + work <= now;
            let done: Vec<_> = self.all[index].attempts.extract_if(.., is_done).collect();
            for attempt in done {
                self.end_without_wake(index, attempt.number, End::Served, millis);
                self.wake(millis);
            }
            if self.all[index].ended.is_none() && self.all[index].next <= now {
                self.run_timer(index, millis);
            }
        }
        self.wake(millis);
    }

    /// Has a caller leave.
    pub fn leave(&mut self, index: usize, millis: u64) {
        self.all[index].run.abandon(false, &mut self.node.context(at(millis)));
        self.all[index].ended =
            Some((millis, Verdict::Fail(mimosabridge::scatter::Failure::TimedOut)));
        self.wake(millis);
    }

    /// Ends an attempt without waking the requests whose turn it is then.
    pub fn end_without_wake(&mut self, index: usize, number: usize, end: End, millis: u64) {
        let actions = self.all[index].run.on_end(number, end, &mut self.node.context(at(millis)));
        self.act(index, &actions, millis);
    }

    /// Runs the timer of a request.
    pub fn run_timer(&mut self, index: usize, millis: u64) {
        let actions = self.all[index].run.on_timer(&mut self.node.context(at(millis)));
        self.act(index, &actions, millis);
    }

    fn act(&mut self, index: usize, actions: &[mimosabridge::scatter::Action], millis: u64) {
        let caller = &mut self.all[index];
        caller.next = caller.run.next_timer(at(millis));
        caller.attempts.extend(sends(actions));
        if let Some(verdict) = verdict(actions) {
            caller.ended = Some((millis, verdict));
        }
    }

    /// Wakes the requests whose turn it is, the last one first: the order of the turns doesn't depend
    /// on the order of the wake-ups.
    pub fn wake(&mut self, millis: u64) {
        let Node { balancer, plan, .. } = &mut self.node;
        let called = Balancer::called(balancer, plan, at(millis));
        for number in called.iter().rev() {
            let caller = self.all.iter().position(|it| it.run.number() == *number);
            let index = caller.expect("a caller that has left waits no longer");
            self.run_timer(index, millis);
            assert!(!self.all[index].attempts.is_empty(), "a request whose turn it is is sent");
        }
    }
}
