use std::{cell::RefCell, net::SocketAddr, time::Duration};

use jsonrpsee::{
    core::client::Error,
    ws_client::{WsClient, WsClientBuilder},
};
use mimosabridge_node::rpc::MAX_MESSAGE_BYTES;

use super::rpc::{PublishedClient, Question, Reply};

/// How long a peer may take to answer, beyond the time that it is asked to wait.
const TIMEOUT: Duration = Duration::from_millis(800);

/// How long a peer is asked to wait for something new. Shorter waits notice a frozen reader
/// earlier and cost a kilobyte each within the data centre.
const WAIT: Duration = Duration::from_millis(2_500);

/// Asks the node at an address for what is published after a revision. The connection is closed
/// after the call: catching up is rare.
pub async fn fetch(address: SocketAddr, question: Question) -> Result<Reply, Error> {
    connect(address, TIMEOUT).await?.published(question).await
}

/// A kept connection to the reader that this node follows.
#[derive(Default)]
pub struct Line {
    client: RefCell<Option<(SocketAddr, WsClient)>>,
}

impl Line {
    /// Creates a line that is not connected.
    pub fn new() -> Line {
        Line::default()
    }

    /// Waits until the node at an address knows more than this one, or for a few seconds. A line
    /// that fails, or whose wait is given up, is closed.
    pub async fn follow(
        &self,
        address: SocketAddr,
        revision: u64,
        is_away: bool,
    ) -> Result<Reply, Error> {
        let kept =
            self.client.borrow_mut().take().filter(|(to, it)| *to == address && it.is_connected());
        let client = match kept {
            Some((_, client)) => client,
            None => connect(address, WAIT + TIMEOUT).await?,
        };
        let question = Question { revision, is_away, wait_millis: WAIT.as_millis() as u64 };
        let reply = client.published(question).await?;
        *self.client.borrow_mut() = Some((address, client));
        Ok(reply)
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<WsClient, Error> {
    let builder = WsClientBuilder::new()
        .connection_timeout(TIMEOUT)
        .request_timeout(timeout)
        .max_response_size(MAX_MESSAGE_BYTES);
    builder.build(format!("ws://{address}")).await
}
