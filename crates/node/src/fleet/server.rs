use jsonrpsee::{
    core::{RpcResult, async_trait},
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use mimosabridge::{config::Stamp, member::Record};
use tokio::sync::{mpsc, oneshot};

use super::{ConfigReply, Message, PeerServer, RosterReply};

/// Serves the calls of other nodes.
pub struct Server {
    actor: mpsc::UnboundedSender<Message>,
}

impl Server {
    /// Creates the server of the node whose fleet actor takes messages at `actor`.
    pub fn new(actor: mpsc::UnboundedSender<Message>) -> Server {
        Server { actor }
    }

    async fn ask<T>(&self, request: impl FnOnce(oneshot::Sender<T>) -> Message) -> RpcResult<T> {
        let (sender, answer) = oneshot::channel();
        let _ = self.actor.send(request(sender));
        answer.await.map_err(|_| {
            ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the node is stopping", None::<()>)
        })
    }
}

#[async_trait]
impl PeerServer for Server {
    async fn roster(&self, digests: Vec<u32>) -> RpcResult<RosterReply> {
        self.ask(|sender| Message::Roster(digests, sender)).await
    }

    async fn learn(&self, records: Vec<Record>) -> RpcResult<()> {
        let _ = self.actor.send(Message::RosterReceived(records));
        Ok(())
    }

    async fn config(&self, wanted: Stamp, held: Option<Stamp>) -> RpcResult<ConfigReply> {
        self.ask(|sender| Message::Config(wanted, held, sender)).await
    }
}
