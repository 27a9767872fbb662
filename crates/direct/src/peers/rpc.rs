use jsonrpsee::{
    core::{RpcResult, async_trait},
    proc_macros::rpc,
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use mimosabridge::feed::Update;
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

/// The calls that nodes make to one another to learn what is published.
#[rpc(client, server, namespace = "direct")]
pub trait Published {
    /// Returns what is published, as soon as this node knows more than the asker, or once the
    /// asker has waited long enough.
    #[method(name = "published")]
    async fn published(&self, question: Question) -> RpcResult<Reply>;
}

/// What the asker knows of what is published.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Question {
    /// The revision up to which it knows everything.
    pub revision: u64,
    /// Whether it believes that the store is away.
    pub is_away: bool,
    /// Milliseconds that it waits for something new.
    pub wait_millis: u64,
}

/// What a node knows of what is published.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reply {
    /// Milliseconds since the store answered the node.
    pub contact_age_millis: u64,
    /// Whether the node believes that the store is away.
    pub is_away: bool,
    /// What the asker lacks.
    pub told: Option<Update>,
}

/// A question to the thread that holds the beliefs, and where its answer goes.
pub type Asked = (Question, oneshot::Sender<Reply>);

/// Serves the calls of other nodes.
pub struct Server {
    questions: mpsc::Sender<Asked>,
}

impl Server {
    /// Creates a server that passes questions on.
    pub fn new(questions: mpsc::Sender<Asked>) -> Server {
        Server { questions }
    }
}

#[async_trait]
impl PublishedServer for Server {
    async fn published(&self, question: Question) -> RpcResult<Reply> {
        let (sender, answer) = oneshot::channel();
        let _ = self.questions.send((question, sender)).await;
        answer.await.map_err(|_| {
            ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, "the node is stopping", None::<()>)
        })
    }
}
