use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use jsonrpsee::core::{RpcResult, async_trait};
use mimosabridge::{
    name::Name,
    outcome::Refusal,
    query::Answer,
    ticket::{Decision, Full, Table, Ticket},
    time::Time,
};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::{Coordinator, HomeClient, HomeServer, Request};

/// How long a ticket is kept after it is issued, and again after its run.
const TICKET_TTL: Duration = Duration::from_secs(600);

/// The number of tickets that one entry keeps.
const TICKET_CAPACITY: usize = 100_000;

/// How long to wait for an answer beyond the deadline of the request.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Runs requests that are not idempotent, each at most once, at the home of its ticket: the entry
/// that issued it.
#[derive(Clone)]
pub struct Home {
    name: Name,
    coordinator: Arc<Coordinator>,
    table: Arc<Mutex<Table>>,
    finished: Arc<Notify>,
}

impl Home {
    /// Creates the home for the tickets that the entry `name` issues in its process instance
    /// `boot`.
    pub fn new(name: Name, boot: u64, coordinator: Arc<Coordinator>) -> Home {
        let table = Table::new(name.clone(), boot, TICKET_TTL, TICKET_CAPACITY);
        Home { name, coordinator, table: Arc::new(Mutex::new(table)), finished: Arc::default() }
    }

    /// Issues a ticket, or returns an error if the home keeps as many tickets as it may.
    pub fn issue(&self) -> Result<Ticket, Full> {
        self.table().issue(self.coordinator.timer.now())
    }

    /// Returns the number of requests that are running.
    pub fn running(&self) -> usize {
        self.table().running()
    }

    /// Refuses requests that have not begun, and waits until no request is running.
    pub async fn drain(&self) {
        self.table().close();
        loop {
            let finished = self.finished.notified();
            if self.running() == 0 {
                return;
            }
            finished.await;
        }
    }

    /// Runs the request of a ticket at its home, or returns the answer of its run.
    pub async fn submit(&self, ticket: Ticket, request: Request) -> Answer {
        if ticket.home == self.name {
            return self.submit_here(ticket, request).await;
        }
        let (request, wait) = self.forward(request);
        let timeout = wait + ANSWER_GRACE;
        let Some(link) = self.coordinator.links.get(&ticket.home, &self.coordinator.view()) else {
            return Answer::unknown();
        };
        let Some(client) = link.connect().await else { return Answer::unknown() };
        match tokio::time::timeout(timeout, HomeClient::submit(&*client, ticket, request)).await {
            Ok(Ok(answer)) => answer,
            // Not retried: the home may have run the request.
            Ok(Err(_)) | Err(_) => Answer::unknown(),
        }
    }

    /// Returns a request as its home gets it, and how long the home may take. Only an entry that
    /// stops limits the time: otherwise the home decides, whose rules may be newer.
    fn forward(&self, request: Request) -> (Request, Duration) {
        let wait = request.budget.unwrap_or(self.deadline(&request));
        let deadline = self.coordinator.deadline(wait.min(self.coordinator.longest_deadline()));
        if !self.coordinator.is_closed() {
            return (request, wait);
        }
        let budget = self.coordinator.timer.now().until(deadline);
        (Request { budget: Some(budget), ..request }, budget)
    }

    /// Returns the answer of the run of a ticket from its home, if the run is finished.
    pub async fn answer(&self, ticket: Ticket) -> Option<Answer> {
        if ticket.home == self.name {
            return self.table().answer(&ticket).map(|it| (*it).clone());
        }
        let link = self.coordinator.links.get(&ticket.home, &self.coordinator.view())?;
        let client = link.connect().await?;
        HomeClient::answer(&*client, ticket).await.ok().flatten()
    }

    async fn submit_here(&self, ticket: Ticket, request: Request) -> Answer {
        let until = self.coordinator.timer.now()
            + request.budget.unwrap_or(self.deadline(&request))
            + ANSWER_GRACE;
        let begin = self.table().begin(&ticket, request.content(), self.coordinator.timer.now());
        match begin {
            Decision::Run => {
                self.run(&ticket, request);
                self.wait(&ticket, until).await
            }
            Decision::Running => self.wait(&ticket, until).await,
            Decision::Done(answer) => (*answer).clone(),
            Decision::OtherRequest => Answer::not_run(Refusal::TicketTaken),
            Decision::Closed => Answer::not_run(Refusal::HomeLeaving),
            Decision::Unknown => Answer::unknown(),
        }
    }

    /// Runs a request in its own task, which continues when the caller disconnects.
    fn run(&self, ticket: &Ticket, request: Request) {
        let home = self.clone();
        let serial = ticket.serial;
        tokio::spawn(async move {
            let answer = home.coordinator.serve(request, CancellationToken::new()).await;
            home.table().finish(serial, Arc::new(answer), home.coordinator.timer.now());
            home.finished.notify_waiters();
        });
    }

    async fn wait(&self, ticket: &Ticket, until: Time) -> Answer {
        let mut timeout = self.coordinator.timer.at(until);
        loop {
            let finished = self.finished.notified();
            if let Some(answer) = self.table().answer(ticket) {
                return (*answer).clone();
            }
            tokio::select! {
                () = finished => {}
                _ = &mut timeout => return Answer::unknown(),
            }
        }
    }

    /// Returns how long the rule of a request allows, or the longest of the rules if it is unknown.
    fn deadline(&self, request: &Request) -> Duration {
        let view = self.coordinator.view();
        let rule = view.set.rules.get(&request.rule);
        rule.map_or_else(|| self.coordinator.longest_deadline(), |it| it.deadline())
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().expect("no holder of the lock panics")
    }
}

#[async_trait]
impl HomeServer for Home {
    async fn submit(&self, ticket: Ticket, request: Request) -> RpcResult<Answer> {
        // A ticket that was sent to the wrong home is not forwarded again.
        if ticket.home != self.name {
            return Ok(Answer::unknown());
        }
        Ok(self.submit_here(ticket, request).await)
    }

    async fn answer(&self, ticket: Ticket) -> RpcResult<Option<Answer>> {
        Ok(self.table().answer(&ticket).map(|it| (*it).clone()))
    }
}
