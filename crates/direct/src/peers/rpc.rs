use jsonrpsee::{
    core::{RpcResult, async_trait},
    proc_macros::rpc,
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use mimosabridge::feed::Snapshot;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// The calls that nodes make to one another to catch up.
#[rpc(client, server, namespace = "direct")]
pub trait Published {
    /// Returns what is published, if this node knows more than the given revision.
    #[method(name = "published")]
    async fn published(&self, revision: u64) -> RpcResult<Reply>;
}

/// What a node knows of what is published.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reply {
    /// Milliseconds since the store answered the node.
    pub contact_age_millis: u64,
    /// What is published, if the node knows more than the asker.
    pub snapshot: Option<Snapshot>,
}

/// A question to the thread that holds the beliefs.
pub type Question = (u64, oneshot::Sender<Reply>);

/// Serves the calls of other nodes.
pub struct Server {
    questions: mpsc::Sender<Question>,
}

impl Server {
    /// Creates a server that passes questions on.
    pub fn new(questions: mpsc::Sender<Question>) -> Server {
        Server { questions }
    }
}

#[async_trait]
impl PublishedServer for Server {
    async fn published(&self, revision: u64) -> RpcResult<Reply> {
        let (sender, answer) = oneshot::channel();
        let _ = self.questions.send((revision, sender)).await;
        answer.await.map_err(|_| {
            ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the node is stopping", None::<()>)
        })
    }
}
