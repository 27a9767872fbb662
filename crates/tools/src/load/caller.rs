use std::{net::SocketAddr, time::Duration};

use mimosabridge_standin::site::Workload;
use rand::{Rng, RngExt};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Tally;

/// One request that is due.
pub struct Caller {
    /// The HTTP client.
    pub http: reqwest::Client,
    /// The entry to ask.
    pub entry: SocketAddr,
    /// The rule to be served by.
    pub rule: String,
    /// A number that makes the content unlike any other.
    pub number: u64,
    /// When the request was due.
    pub due: Instant,
    /// After what time the caller cancels, if it does.
    pub patience: Option<Duration>,
    /// Where the outcome is counted.
    pub tally: Tally,
}

impl Caller {
    /// Sends the request and counts what comes of it.
    pub async fn call(self) {
        let Some(patience) = self.patience else {
            let answer = self.ask().await;
            self.count(answer);
            return;
        };
        match tokio::time::timeout(patience, self.ask()).await {
            Ok(answer) => self.count(answer),
            Err(_) => self.tally.cancelled(),
        }
    }

    async fn ask(&self) -> Option<Value> {
        let url = format!("http://{}/v1/query", self.entry);
        let body = json!({ "rule": self.rule, "query": { "hits": 3, "number": self.number } });
        let response = self.http.post(url).json(&body).send().await.ok()?;
        response.json().await.ok()
    }

    fn count(&self, answer: Option<Value>) {
        let verdict = answer.as_ref().and_then(|it| it["verdict"].as_str()).unwrap_or("error");
        self.tally.answered(verdict, self.due.elapsed());
        let Some(answer) = &answer else { return };
        let coverage = &answer["coverage"];
        let number = |it: &Value| it.as_u64().unwrap_or_default();
        let missing = coverage["missing"].as_array().map_or(&[][..], |it| it);
        let reasons = missing.iter().map(|it| it["reason"].to_string());
        self.tally.covered(number(&coverage["answered"]), number(&coverage["total"]), reasons);
    }
}

/// Returns after what time a caller cancels, if it does: at a random part of the first tenth of
/// the deadline, when most answers are still on their way.
pub fn patience(workload: &Workload, rng: &mut impl Rng) -> Option<Duration> {
    if !rng.random_bool(workload.cancelled) {
        return None;
    }
    Some(workload.deadline.mul_f64(rng.random_range(0.0..0.1)))
}

/// Returns the time to the next request of a Poisson process.
pub fn interval(rate: f64, rng: &mut impl Rng) -> Duration {
    let uniform: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-uniform.ln() / rate)
}
