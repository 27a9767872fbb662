use std::{net::SocketAddr, str::FromStr, time::Duration};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use snafu::Snafu;
use tokio::time::Instant;

/// A fault that is injected periodically into a random server during the load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The server becomes cold without a restart.
    Chill,
    /// The process crashes and restarts cold.
    Crash,
    /// The open connections of the server stop responding.
    Silence,
}

/// The error for a text that names no fault.
#[derive(Debug, Snafu)]
#[snafu(display("\"{text}\" is not a fault; use chill, crash or silence"))]
pub struct FaultError {
    text: String,
}

impl FromStr for Fault {
    type Err = FaultError;

    fn from_str(text: &str) -> Result<Fault, FaultError> {
        match text {
            "chill" => Ok(Fault::Chill),
            "crash" => Ok(Fault::Crash),
            "silence" => Ok(Fault::Silence),
            _ => FaultSnafu { text }.fail(),
        }
    }
}

impl Fault {
    /// Injects the fault into a random server every `period`. Never returns.
    pub async fn repeat(
        self,
        http: reqwest::Client,
        servers: Vec<SocketAddr>,
        period: Duration,
        seed: u64,
    ) {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut due = Instant::now();
        loop {
            due += period;
            tokio::time::sleep_until(due).await;
            let server = servers[rng.random_range(0..servers.len())];
            let url = format!("http://{server}/control");
            // A server that is already down cannot be reached; its error is ignored.
            let _ = http.post(url).json(&self.control()).send().await;
        }
    }

    fn control(self) -> Value {
        match self {
            Fault::Chill => json!({ "chill": true }),
            Fault::Crash => json!({ "crash": true }),
            Fault::Silence => json!({ "silence": true }),
        }
    }
}
