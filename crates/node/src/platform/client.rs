use std::{net::SocketAddr, time::Duration};

use mimosabridge::config::{Bundle, BundleError, Change, Head};
use reqwest::StatusCode;
use snafu::{OptionExt, ResultExt, Snafu};

use super::{Entry, Vm};

/// How long a read may take in addition to its requested wait.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads the platform's configuration service and its list of VMs. Never writes.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    http: reqwest::Client,
}

/// The platform could not be read.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform did not answer.
    #[snafu(display("reading {key} failed: {source}"))]
    Transport {
        /// The key that was read.
        key: String,
        /// Why it failed.
        source: reqwest::Error,
    },
    /// The key does not exist.
    #[snafu(display("the key {key} does not exist"))]
    Missing {
        /// The key that was read.
        key: String,
    },
    /// The value cannot be parsed.
    #[snafu(display("the value of {key} is not valid: {source}"))]
    Format {
        /// The key that was read.
        key: String,
        /// Why the value cannot be parsed.
        source: serde_json::Error,
    },
    /// The values do not make up a configuration.
    #[snafu(transparent)]
    Content {
        /// What is wrong with them.
        source: BundleError,
    },
}

impl Client {
    /// Creates a client of the platform at an address.
    pub fn new(address: SocketAddr) -> Client {
        let http = reqwest::Client::builder().no_proxy().build();
        Client { address, http: http.expect("building a client without TLS does not fail") }
    }

    /// Waits up to `wait` for a head with a revision above `after`. Returns `None` if there is
    /// none in time.
    pub async fn watch_head(
        &self,
        after: u64,
        wait: Duration,
    ) -> Result<Option<(u64, Head)>, ReadError> {
        let query = format!("?after={after}&wait_ms={}", wait.as_millis());
        let entry = match self.read(Head::KEY, &query, wait).await {
            Ok(Some(entry)) => entry,
            Ok(None) | Err(ReadError::Missing { .. }) => return Ok(None),
            Err(error) => return Err(error),
        };
        let head = parse(Head::KEY, &entry.value)?;
        Ok(Some((entry.revision, head)))
    }

    /// Reads the configuration that a head names. Reads only the change to `base` if the head
    /// replaces it, else all parts.
    pub async fn bundle(&self, head: Head, base: Option<&Bundle>) -> Result<Bundle, ReadError> {
        let replaced = head.lineage.first().copied();
        if let Some(base) = base.filter(|it| Some(it.stamp) == replaced)
            && let Ok(text) = self.value(&head.change_key()).await
        {
            let change: Change = parse(&head.change_key(), &text)?;
            return Ok(base.advance(head, &change)?);
        }
        let mut parts = Vec::with_capacity(head.parts);
        for part in 0..head.parts {
            parts.push(self.value(&head.part_key(part)).await?);
        }
        Ok(Bundle::assemble(head, &parts)?)
    }

    /// Reads the list of VMs.
    pub async fn vms(&self) -> Result<Vec<Vm>, ReadError> {
        let key = "vms";
        let url = format!("http://{}/{key}", self.address);
        let response = self.http.get(url).timeout(READ_TIMEOUT).send().await;
        let response =
            response.and_then(|it| it.error_for_status()).context(TransportSnafu { key })?;
        response.json().await.context(TransportSnafu { key })
    }

    async fn value(&self, key: &str) -> Result<String, ReadError> {
        let entry = self.read(key, "", Duration::ZERO).await?;
        Ok(entry.context(MissingSnafu { key })?.value)
    }

    async fn read(
        &self,
        key: &str,
        query: &str,
        wait: Duration,
    ) -> Result<Option<Entry>, ReadError> {
        let url = format!("http://{}/keys/{key}{query}", self.address);
        let response = self.http.get(url).timeout(wait + READ_TIMEOUT).send().await;
        let response = response.context(TransportSnafu { key })?;
        match response.status() {
            StatusCode::NOT_MODIFIED => return Ok(None),
            StatusCode::NOT_FOUND => return MissingSnafu { key }.fail(),
            _ => {}
        }
        let response = response.error_for_status().context(TransportSnafu { key })?;
        let entry = response.json().await.context(TransportSnafu { key })?;
        Ok(Some(entry))
    }
}

fn parse<T: serde::de::DeserializeOwned>(key: &str, text: &str) -> Result<T, ReadError> {
    serde_json::from_str(text).context(FormatSnafu { key })
}
