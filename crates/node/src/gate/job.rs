use std::sync::Arc;

use mimosabridge::{config::Class, fingerprint::Fingerprint, name::Name, time::Time, wire};
use serde_json::value::RawValue;
use tokio::{sync::mpsc, task::AbortHandle};

/// What the driver keeps of a task.
#[derive(Debug)]
pub struct Job {
    /// What the task shares with the others of its call.
    pub call: Arc<CallContext>,
    /// The number of the attempt within its query.
    pub attempt: u32,
    /// The server it runs on.
    pub server: Name,
    /// The shard it searches.
    pub shard: Name,
    /// When the gate was asked for it.
    pub offered: Time,
    /// Stops the exchange with the server, once it was sent.
    pub exchange: Option<AbortHandle>,
    /// Whether the entry was told the outcome.
    pub finished: bool,
}

/// What the tasks of a call share.
#[derive(Debug)]
pub struct CallContext {
    /// The identity of the call.
    pub id: u64,
    /// The fingerprint of the content.
    pub content: Fingerprint,
    /// The priority class.
    pub class: Class,
    /// The version of the index to answer from.
    pub snapshot: u64,
    /// The query as the caller wrote it.
    pub query: Arc<RawValue>,
    /// The trace context of the entry.
    pub trace: Option<String>,
    /// When the answer is of no more use.
    pub deadline: Time,
    /// Where outcomes go.
    pub items: mpsc::UnboundedSender<wire::Item>,
}

impl Job {
    /// Returns the identity of the request towards the server, unique in the fleet.
    pub fn request_id(&self) -> String {
        format!("{:016x}-{}", self.call.id, self.attempt)
    }
}
