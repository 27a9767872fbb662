use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use mimosabridge::{
    config::{Bundle, Stamp, Step},
    member::Record,
};
use serde::{Deserialize, Serialize};

/// The calls that nodes make to synchronise with one another.
#[rpc(client, server, namespace = "peer")]
pub trait Peer {
    /// Returns the records in the parts of the roster whose digests differ from those given.
    #[method(name = "roster")]
    async fn roster(&self, digests: Vec<u32>) -> RpcResult<RosterReply>;

    /// Merges records that the caller holds and this node may lack.
    #[method(name = "learn")]
    async fn learn(&self, records: Vec<Record>) -> RpcResult<()>;

    /// Returns the wanted configuration to a node that holds another, or none.
    #[method(name = "config")]
    async fn config(&self, wanted: Stamp, held: Option<Stamp>) -> RpcResult<ConfigReply>;
}

/// The difference between two rosters.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RosterReply {
    /// The digest of each part of this node's roster.
    pub digests: Vec<u32>,
    /// The records of this node in the parts that differ.
    pub records: Vec<Record>,
}

/// The reply to a request for a configuration.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigReply {
    /// The steps from the configuration that the other node holds.
    Steps(Vec<Step>),
    /// The whole configuration.
    Whole(Box<Bundle>),
    /// This node does not hold the wanted configuration.
    Unknown,
}
