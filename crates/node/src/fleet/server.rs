use jsonrpsee::{
    core::{RpcResult, async_trait},
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use mimosabridge::{config::Stamp, member::Record};
use tokio::sync::{mpsc, oneshot};

use super::{ConfigReply, Message, PeerServer, RosterReply};

/// Serves the calls of other nodes.
pub struct Server {
    keeper: mpsc::UnboundedSender<Message>,
}

impl Server {
    /// Creates the server of the node whose keeper takes messages at `keeper`.
    pub fn new(keeper: mpsc::UnboundedSender<Message>) -> Server {
        Server { keeper }
    }

    async fn ask<T>(&self, question: impl FnOnce(oneshot::Sender<T>) -> Message) -> RpcResult<T> {
        let (sender, answer) = oneshot::channel();
        let _ = self.keeper.send(question(sender));
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
        let _ = self.keeper.send(Message::RosterFetched(records));
        Ok(())
    }

    async fn config(&self, wanted: Stamp, held: Option<Stamp>) -> RpcResult<ConfigReply> {
        self.ask(|sender| Message::Config(wanted, held, sender)).await
    }
}
