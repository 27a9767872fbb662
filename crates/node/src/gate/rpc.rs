use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use mimosabridge::wire::{Call, Item};

/// The calls that an entry makes to a gate.
#[rpc(client, server, namespace = "gate")]
pub trait Gate {
    /// Runs a call. The items come as the sub-requests end, several at once where they do.
    #[subscription(name = "run" => "items", unsubscribe = "leave", item = Vec<Item>)]
    async fn run(&self, call: Call) -> SubscriptionResult;

    /// Drops some attempts of a call, or all if none are named.
    #[method(name = "cancel")]
    async fn cancel(&self, call: u64, attempts: Vec<u32>) -> RpcResult<()>;

    /// Answers at once, to show that the connection works.
    #[method(name = "ping")]
    async fn ping(&self) -> RpcResult<()>;
}
