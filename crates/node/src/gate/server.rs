use std::{io, net::SocketAddr};

use jsonrpsee::{
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
    core::{RpcResult, SubscriptionResult, async_trait, to_json_raw_value},
    server::{ServerBuilder, ServerConfig, ServerHandle},
};
use mimosabridge::wire::{Call, Item};
use tokio::sync::mpsc;

use super::{GateServer, Message};

/// The most bytes of a message between an entry and a gate.
pub const MAX_MESSAGE: u32 = 64 * 1024 * 1024;

/// Entries that may be connected at once.
const MAX_CONNECTIONS: u32 = 10_000;

/// Calls that one entry may have under way.
const MAX_CALLS: u32 = 100_000;

/// Messages that may wait for one connection.
const MESSAGE_BUFFER: u32 = 16_384;

/// Serves the calls of entries.
pub struct Server {
    actor: mpsc::UnboundedSender<Message>,
}

impl Server {
    /// Starts to serve on an address. Returns where it listens.
    pub async fn start(
        address: SocketAddr,
        actor: mpsc::UnboundedSender<Message>,
    ) -> io::Result<(SocketAddr, ServerHandle)> {
        let config = ServerConfig::builder()
            .max_connections(MAX_CONNECTIONS)
            .max_request_body_size(MAX_MESSAGE)
            .max_response_body_size(MAX_MESSAGE)
            .max_subscriptions_per_connection(MAX_CALLS)
            .set_message_buffer_capacity(MESSAGE_BUFFER)
            .set_tcp_no_delay(true)
            .ws_only()
            .build();
        let server = ServerBuilder::with_config(config).build(address).await?;
        let address = server.local_addr()?;
        Ok((address, server.start(Server { actor }.into_rpc())))
    }
}

#[async_trait]
impl GateServer for Server {
    async fn run(&self, pending: PendingSubscriptionSink, call: Call) -> SubscriptionResult {
        let id = call.id;
        let expected = call.subs.len();
        let (sender, items) = mpsc::unbounded_channel();
        let sink = pending.accept().await?;
        let _ = self.actor.send(Message::Call(call, sender));
        if !forward(&sink, items, expected).await {
            let _ = self.actor.send(Message::Cancel(id, Vec::new()));
        }
        Ok(())
    }

    async fn cancel(&self, call: u64, attempts: Vec<u32>) -> RpcResult<()> {
        let _ = self.actor.send(Message::Cancel(call, attempts));
        Ok(())
    }

    async fn ping(&self) -> RpcResult<()> {
        Ok(())
    }
}

/// Sends the items of a call as they come. Returns false if the entry has gone before the last.
async fn forward(
    sink: &SubscriptionSink,
    mut items: mpsc::UnboundedReceiver<Item>,
    mut expected: usize,
) -> bool {
    let mut batch = Vec::new();
    while expected > 0 {
        let count = tokio::select! {
            count = items.recv_many(&mut batch, expected) => count,
            () = sink.closed() => return false,
        };
        if count == 0 {
            return true;
        }
        expected -= count;
        let Ok(message) = to_json_raw_value(&batch) else { return false };
        if sink.send(SubscriptionMessage::from(message)).await.is_err() {
            return expected == 0;
        }
        batch.clear();
    }
    true
}
