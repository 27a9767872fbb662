use std::time::Duration;

use jsonrpsee::{
    core::{RpcResult, async_trait},
    proc_macros::rpc,
    types::{ErrorObjectOwned, error::INTERNAL_ERROR_CODE},
};
use mimosabridge::{
    directory::{Edition, Uptime},
    feed::{Progress, Update},
    name::Name,
    time::Time,
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use super::packed::{UnpackError, unpack};

/// The calls between nodes to obtain the published facts.
#[rpc(client, server, namespace = "direct")]
pub trait Published {
    /// Returns the published facts as soon as this node has an update for the caller, or once the
    /// wait of the question is over.
    #[method(name = "published")]
    async fn published(&self, question: Question) -> RpcResult<Reply>;
}

/// What a node that asks for an update knows.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Question {
    /// Up to where it knows the published facts.
    pub progress: Progress,
    /// Whether the store is unavailable to it.
    pub is_away: bool,
    /// How long it waits for an update, in milliseconds.
    pub wait_millis: u64,
    /// Whether it can read a packed update. Nodes of earlier versions say nothing.
    #[serde(default)]
    pub accepts_packed: bool,
    /// Whether it asks which entries were removed last. Nodes of earlier versions don't.
    #[serde(default)]
    pub wants_removed: bool,
}

impl Question {
    /// Creates the question of a node that knows the published facts up to a point and doesn't wait.
    pub fn new(progress: Progress) -> Question {
        let (is_away, wait_millis) = (false, 0);
        Question { progress, is_away, wait_millis, accepts_packed: true, wants_removed: false }
    }
}

/// The answer of a node to a question.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Reply {
    /// The time since the store answered the node, in milliseconds.
    pub contact_age_millis: u64,
    /// Whether the store is unavailable to the node.
    pub is_away: bool,
    /// When the store was last available, to the node or to others. Nodes of earlier versions send
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub uptime: Option<UptimeAge>,
    /// The update that the asking node lacks, if any.
    pub told: Option<Update>,
    /// The same update packed, in the place of a long one. Nodes of earlier versions send none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub packed: Option<String>,
    /// The entries that were removed last, if the question asks for them. Nodes of earlier versions send none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<(Name, Edition)>,
}

/// An uptime of the store, as ages: the clocks of nodes differ.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UptimeAge {
    /// The age of its beginning, in milliseconds.
    pub since_millis: u64,
    /// The age of its end, in milliseconds.
    pub until_millis: u64,
}

impl UptimeAge {
    /// Creates the ages of an uptime.
    pub fn new(uptime: Uptime, now: Time) -> UptimeAge {
        let age = |it: Time| now.since(it).as_millis() as u64;
        UptimeAge { since_millis: age(uptime.since), until_millis: age(uptime.until) }
    }

    /// Returns the uptime, if it has these ages now.
    pub fn uptime(self, now: Time) -> Uptime {
        let time = |millis| now.before(Duration::from_millis(millis));
        Uptime { since: time(self.since_millis), until: time(self.until_millis) }
    }
}

impl Reply {
    /// Replaces a packed update by the update itself. Fails if it can't be read.
    pub fn unpacked(mut self) -> Result<Reply, UnpackError> {
        if let Some(packed) = self.packed.take() {
            self.told = Some(unpack(&packed)?);
        }
        Ok(self)
    }
}

/// A question to the thread that holds the state, and the channel for its answer.
pub type PendingQuestion = (Question, oneshot::Sender<Reply>);

/// Serves the calls of other nodes.
pub struct Server {
    questions: mpsc::Sender<PendingQuestion>,
}

impl Server {
    /// Creates a server that forwards questions to a channel.
    pub fn new(questions: mpsc::Sender<PendingQuestion>) -> Server {
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
