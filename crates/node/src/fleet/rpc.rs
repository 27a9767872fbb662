use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use mimosabridge::{
    config::{Bundle, Stamp, Step},
    member::Record,
};
use serde::{Deserialize, Serialize};

/// The calls that nodes make to one another to catch up.
#[rpc(client, server, namespace = "peer")]
pub trait Peer {
    /// Exchanges whole rosters.
    #[method(name = "roster")]
    async fn roster(&self, own: Vec<Record>) -> RpcResult<Vec<Record>>;

    /// Returns the wanted configuration to a node that holds another, or none.
    #[method(name = "config")]
    async fn config(&self, wanted: Stamp, held: Option<Stamp>) -> RpcResult<ConfigReply>;
}

/// A configuration on its way to another node.
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
