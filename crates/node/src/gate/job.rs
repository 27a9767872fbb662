use std::sync::Arc;

use mimosabridge::{config::Class, fingerprint::Fingerprint, name::Name, time::Time, wire};
use serde_json::value::RawValue;
use tokio::{sync::mpsc, task::AbortHandle};

/// The state that the actor keeps for a task.
#[derive(Debug)]
pub struct Job {
    /// The data that all tasks of the call share.
    pub call: Arc<CallContext>,
    /// The number of the attempt within its query.
    pub attempt: u32,
    /// The server it runs on.
    pub server: Name,
    /// The shard it searches.
    pub shard: Name,
    /// When the gate received the task.
    pub offered: Time,
    /// Whether the attempt is made after a server has crashed with the content of the call.
    pub is_repeat: bool,
    /// Aborts the exchange with the server, once the task was sent.
    pub exchange: Option<AbortHandle>,
    /// Whether the outcome was sent to the entry.
    pub finished: bool,
}

/// The data that the tasks of a call share.
#[derive(Debug)]
pub struct CallContext {
    /// The ID of the call.
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
    /// When the answer becomes useless.
    pub deadline: Time,
    /// Receives the outcomes.
    pub items: mpsc::UnboundedSender<wire::Item>,
}

impl Job {
    /// Returns the ID of the request to the server, unique in the fleet.
    pub fn request_id(&self) -> String {
        format!("{:016x}-{}", self.call.id, self.attempt)
    }
}
