use jsonrpsee::{
    core::{RpcResult, SubscriptionResult},
    proc_macros::rpc,
};
use mimosabridge::wire::{Call, Item};

/// The calls that an entry makes to a gate.
#[rpc(client, server, namespace = "gate")]
pub trait Gate {
    /// Runs a call. Sends each item when its sub-request ends, in batches if several end at once.
    #[subscription(name = "run" => "items", unsubscribe = "leave", item = Vec<Item>)]
    async fn run(&self, call: Call) -> SubscriptionResult;

    /// Cancels some attempts of a call, or all if none are named.
    #[method(name = "cancel")]
    async fn cancel(&self, call: u64, attempts: Vec<u32>) -> RpcResult<()>;

    /// Answers at once, to show that the connection works.
    #[method(name = "ping")]
    async fn ping(&self) -> RpcResult<()>;
}
