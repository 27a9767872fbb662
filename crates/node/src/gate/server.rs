use jsonrpsee::{
    PendingSubscriptionSink, SubscriptionMessage, SubscriptionSink,
    core::{RpcResult, SubscriptionResult, async_trait, to_json_raw_value},
    types::{ErrorObject, error::CALL_EXECUTION_FAILED_CODE},
};
use mimosabridge::{
    outcome::Refusal,
    wire::{Call, Item},
};
use tokio::sync::mpsc;

use super::{GateServer, Message};

/// Serves the calls of entries.
pub struct Server {
    actor: mpsc::UnboundedSender<Message>,
}

impl Server {
    /// Creates the server of the gate whose actor takes messages at `actor`.
    pub fn new(actor: mpsc::UnboundedSender<Message>) -> Server {
        Server { actor }
    }
}

#[async_trait]
impl GateServer for Server {
    async fn run(&self, pending: PendingSubscriptionSink, call: Call) -> SubscriptionResult {
        let id = call.id;
        let expected = call.subs.len();
        let (sender, items) = mpsc::unbounded_channel();
        if self.actor.send(Message::Call(call, sender)).is_err() {
            let refusal = Refusal::GateLeaving.to_string();
            pending
                .reject(ErrorObject::owned::<()>(CALL_EXECUTION_FAILED_CODE, refusal, None))
                .await;
            return Ok(());
        }
        let sink = match pending.accept().await {
            Ok(sink) => sink,
            Err(error) => {
                let _ = self.actor.send(Message::Cancel(id, Vec::new()));
                return Err(error.into());
            }
        };
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

/// Forwards the items of a call as they arrive. Returns false if the entry disconnects before the
/// last one.
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
