use std::{net::SocketAddr, time::Duration};

use jsonrpsee::{core::client::Error, ws_client::WsClientBuilder};
use mimosabridge_node::rpc::MAX_MESSAGE;

use super::rpc::{PublishedClient, Reply};

/// How long a peer may take to answer.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Asks the node at an address for what is published after a revision. The connection is closed
/// after the call: catching up is rare.
pub async fn fetch(address: SocketAddr, revision: u64) -> Result<Reply, Error> {
    let client = WsClientBuilder::new()
        .connection_timeout(TIMEOUT)
        .request_timeout(TIMEOUT)
        .max_response_size(MAX_MESSAGE)
        .build(format!("ws://{address}"))
        .await?;
    client.published(revision).await
}
