use std::{net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::client::{Error, Subscription},
    ws_client::{WsClient, WsClientBuilder},
};
use mimosabridge::{
    name::Name,
    outcome::{Failure, Hint, Outcome, Refusal},
    time::Time,
    wire::{Call, Item},
};
use tokio::{
    sync::{Mutex, mpsc},
    time::timeout,
};

use crate::{events, gate::GateClient, rpc::MAX_MESSAGE_BYTES, timer};

/// How long opening a connection to another node may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a call may take to be accepted, and how long a connection may be silent while an
/// answer is due before it is probed.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a gate may take to answer a probe or a cancellation.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// The number of items that are buffered for one call.
const ITEM_BUFFER: usize = 16_384;

/// The number of calls that may wait for their acknowledgement on one connection.
const MAX_CALLS: usize = 100_000;

/// The connection of an entry to one other node. It opens when it is first used.
#[derive(Debug)]
pub struct Link {
    node: Name,
    address: SocketAddr,
    client: Mutex<Option<Arc<WsClient>>>,
}

/// The end of an attempt: its number, its outcome and what the gate reported about the server.
pub type Completion = (u32, Outcome, Option<Hint>);

impl Link {
    /// Creates a link that is not yet connected.
    pub fn new(node: Name, address: SocketAddr) -> Link {
        Link { node, address, client: Mutex::new(None) }
    }

    /// Returns the address that the node takes calls at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes a call and sends exactly one completion for each of its attempts.
    pub async fn call(
        &self,
        call: Call,
        deadline: Time,
        timer: &timer::Service,
        completions: mpsc::UnboundedSender<Completion>,
    ) {
        let mut waiting: Vec<u32> = call.subs.iter().map(|it| it.attempt).collect();
        let lost = self.exchange(call, deadline, timer, &mut waiting, &completions).await;
        for attempt in waiting {
            let _ = completions.send((attempt, lost.clone(), None));
        }
    }

    /// Cancels some attempts of a call, or all if none are named.
    pub async fn cancel(&self, call: u64, attempts: Vec<u32>) {
        let client = self.client.lock().await.clone();
        let Some(client) = client else { return };
        // If the cancellation is lost, the attempts end at their deadline.
        let _ = timeout(PROBE_TIMEOUT, client.cancel(call, attempts)).await;
    }

    /// Makes a call, and returns the outcome of the attempts that remain in `waiting`.
    async fn exchange(
        &self,
        mut call: Call,
        deadline: Time,
        timer: &timer::Service,
        waiting: &mut Vec<u32>,
        completions: &mpsc::UnboundedSender<Completion>,
    ) -> Outcome {
        let Some(client) = self.connect().await else {
            return Outcome::Refused(Refusal::GateUnreachable);
        };
        // The process may have been paused while it connected.
        let budget = timer.now().until(deadline);
        if budget.is_zero() {
            return Outcome::Refused(Refusal::Expired);
        }
        call.budget_micros = budget.as_micros() as u64;
        let lost = Outcome::Failed(Failure::GateLost);
        let mut items = match timeout(SILENCE_TIMEOUT, client.run(call)).await {
            Ok(Ok(items)) => items,
            Ok(Err(Error::Call(_))) => return Outcome::Refused(Refusal::GateLeaving),
            Ok(Err(_)) | Err(_) => {
                self.disconnect(&client).await;
                return lost;
            }
        };
        while !waiting.is_empty() {
            let Some(batch) = self.next(&client, &mut items).await else { return lost };
            for item in batch {
                waiting.retain(|it| *it != item.attempt);
                if completions.send((item.attempt, item.outcome, Some(item.hint))).is_err() {
                    return lost;
                }
            }
        }
        lost
    }

    /// Returns the next items of a call, or `None` if the connection to the gate is lost.
    async fn next(
        &self,
        client: &Arc<WsClient>,
        items: &mut Subscription<Vec<Item>>,
    ) -> Option<Vec<Item>> {
        loop {
            if let Ok(batch) = timeout(SILENCE_TIMEOUT, items.next()).await {
                return batch?.ok();
            }
            if !matches!(timeout(PROBE_TIMEOUT, client.ping()).await, Ok(Ok(()))) {
                self.disconnect(client).await;
                return None;
            }
        }
    }

    /// Returns the open connection, or opens one. Returns `None` if the node is unreachable.
    pub async fn connect(&self) -> Option<Arc<WsClient>> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref().filter(|it| it.is_connected()) {
            return Some(client.clone());
        }
        let url = format!("ws://{}", self.address);
        let client = WsClientBuilder::new()
            .connection_timeout(CONNECT_TIMEOUT)
            .max_buffer_capacity_per_subscription(ITEM_BUFFER)
            .max_concurrent_requests(MAX_CALLS)
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_tcp_no_delay(true)
            .build(url)
            .await;
        match client {
            Ok(client) => {
                events::GATE_CONNECTED.emit(&[("gate", &self.node), ("address", &self.address)]);
                *slot = Some(Arc::new(client));
            }
            Err(error) => {
                events::GATE_UNREACHABLE.emit(&[("gate", &self.node), ("reason", &error)]);
                *slot = None;
            }
        }
        slot.clone()
    }

    async fn disconnect(&self, client: &Arc<WsClient>) {
        let mut slot = self.client.lock().await;
        if slot.as_ref().is_some_and(|it| Arc::ptr_eq(it, client)) {
            events::GATE_UNREACHABLE.emit(&[("gate", &self.node), ("reason", &"silent")]);
            *slot = None;
        }
    }
}
