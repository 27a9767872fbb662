use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use jsonrpsee::{
    core::client::Error,
    ws_client::{WsClient, WsClientBuilder},
};
use mimosabridge::{
    config::{Bundle, BundleError, Stamp, Step},
    member::{Record, Roster},
};
use snafu::Snafu;

use super::{ConfigReply, PeerClient};

/// How long a call to another node may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The size limit of a reply. A whole configuration may have several megabytes.
const MAX_REPLY_BYTES: u32 = 64 * 1024 * 1024;

/// Synchronises this node with another one. The connection is closed after each call, since
/// synchronisation is rare.
#[derive(Clone, Copy, Debug)]
pub struct Client {
    address: SocketAddr,
}

/// The call to another node failed, or its reply is invalid.
#[derive(Debug, Snafu)]
pub enum FetchError {
    /// The call failed.
    #[snafu(transparent)]
    Call {
        /// Why it failed.
        source: Error,
    },
    /// The steps do not lead to the configuration that they name.
    #[snafu(transparent)]
    Content {
        /// What is wrong with them.
        source: BundleError,
    },
}

impl Client {
    /// Creates a client of the node that serves calls at an address.
    pub fn new(address: SocketAddr) -> Client {
        Client { address }
    }

    /// Exchanges the parts of the rosters that differ, and returns the other node's records.
    pub async fn roster(&self, own: &Roster) -> Result<Vec<Record>, FetchError> {
        let client = self.connect().await?;
        let reply = client.roster(own.digests()).await?;
        let theirs: HashMap<_, _> = reply.records.iter().map(|it| (&it.name, it)).collect();
        let is_newer = |it: &Record| theirs.get(&it.name).is_none_or(|known| it.supersedes(known));
        let mut ours = own.differing(&reply.digests);
        ours.retain(is_newer);
        client.learn(ours).await?;
        Ok(reply.records)
    }

    /// Fetches the wanted configuration, as steps from the one that this node holds if possible.
    /// Returns `None` if the other node does not hold it.
    pub async fn config(
        &self,
        wanted: Stamp,
        held: Option<Arc<Bundle>>,
    ) -> Result<Option<Bundle>, FetchError> {
        let client = self.connect().await?;
        let reply = client.config(wanted, held.as_ref().map(|it| it.stamp)).await?;
        match (reply, held) {
            (ConfigReply::Steps(steps), Some(held)) => Ok(Some(advance(&held, steps)?)),
            (ConfigReply::Whole(bundle), _) => Ok(Some(bundle.verify()?)),
            (ConfigReply::Steps(_) | ConfigReply::Unknown, _) => Ok(None),
        }
    }

    async fn connect(&self) -> Result<WsClient, Error> {
        WsClientBuilder::new()
            .connection_timeout(CALL_TIMEOUT)
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MAX_REPLY_BYTES)
            .max_response_size(MAX_REPLY_BYTES)
            .build(format!("ws://{}", self.address))
            .await
    }
}

fn advance(held: &Bundle, steps: Vec<Step>) -> Result<Bundle, BundleError> {
    let mut bundle = held.clone();
    for step in steps {
        bundle = bundle.advance(step.head, &step.change)?;
    }
    Ok(bundle)
}
