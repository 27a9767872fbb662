use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use mimosabridge::{query::Answer, ticket::Ticket};

use super::Request;

/// The calls that an entry makes to the home of a ticket.
#[rpc(client, server, namespace = "home")]
pub trait Home {
    /// Runs the request of a ticket, or returns the answer of its run.
    #[method(name = "submit")]
    async fn submit(&self, ticket: Ticket, request: Request) -> RpcResult<Answer>;

    /// Returns the answer of the run of a ticket, if the run is finished.
    #[method(name = "answer")]
    async fn answer(&self, ticket: Ticket) -> RpcResult<Option<Answer>>;
}
