use std::{cell::RefCell, net::SocketAddr, time::Duration};

use jsonrpsee::{
    core::client::Error,
    ws_client::{WsClient, WsClientBuilder},
};
use mimosabridge::feed::Progress;
use mimosabridge_node::rpc::MAX_MESSAGE_BYTES;

use super::rpc::{PublishedClient, Question, Reply};

/// How long a peer may take to answer, beyond the requested wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a peer is asked to wait for an update. Shorter waits detect a frozen reader earlier
/// and cost a kilobyte each within the data centre.
const LONG_POLL_WAIT: Duration = Duration::from_millis(2_500);

/// Fetches what the asking node lacks from the node at an address. The connection is
/// closed after the call, since catching up is rare.
pub async fn fetch(address: SocketAddr, question: Question) -> Result<Reply, Error> {
    unpacked(connect(address, CALL_TIMEOUT).await?.published(question).await?)
}

fn unpacked(reply: Reply) -> Result<Reply, Error> {
    reply.unpacked().map_err(|it| Error::Custom(it.to_string()))
}

/// A persistent connection to the reader that this node follows.
#[derive(Default)]
pub struct Connection {
    client: RefCell<Option<(SocketAddr, WsClient)>>,
}

impl Connection {
    /// Creates a connection that is not open yet.
    pub fn new() -> Connection {
        Connection::default()
    }

    /// Waits until the node at an address has an update for this one, or for a few seconds. The
    /// connection is closed if the call fails or the future is dropped.
    pub async fn follow(
        &self,
        address: SocketAddr,
        progress: Progress,
        is_away: bool,
    ) -> Result<Reply, Error> {
        let open =
            self.client.borrow_mut().take().filter(|(to, it)| *to == address && it.is_connected());
        let client = match open {
            Some((_, client)) => client,
            None => connect(address, LONG_POLL_WAIT + CALL_TIMEOUT).await?,
        };
        let wait_millis = LONG_POLL_WAIT.as_millis() as u64;
        let question = Question { is_away, wait_millis, ..Question::new(progress) };
        let reply = client.published(question).await?;
        *self.client.borrow_mut() = Some((address, client));
        unpacked(reply)
    }
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<WsClient, Error> {
    let builder = WsClientBuilder::new()
        .connection_timeout(CALL_TIMEOUT)
        .request_timeout(timeout)
        .max_response_size(MAX_MESSAGE_BYTES);
    builder.build(format!("ws://{address}")).await
}
