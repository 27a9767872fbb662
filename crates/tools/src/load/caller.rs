use std::{net::SocketAddr, time::Duration};

use mimosabridge_standin::site::Workload;
use rand::{Rng, RngExt};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::Tally;

/// The caller of one request.
pub struct Caller {
    /// The HTTP client.
    pub http: reqwest::Client,
    /// The address of the entry.
    pub entry: SocketAddr,
    /// The rule that serves the request.
    pub rule: String,
    /// A number that makes the content of the request unique.
    pub number: u64,
    /// When the request was due.
    pub due: Instant,
    /// The time after which the caller cancels, or `None` if it does not cancel.
    pub timeout: Option<Duration>,
    /// Where the outcome is counted.
    pub tally: Tally,
}

impl Caller {
    /// Sends the request and counts its outcome.
    pub async fn call(self) {
        let Some(timeout) = self.timeout else {
            let answer = self.send().await;
            self.count(answer);
            return;
        };
        match tokio::time::timeout(timeout, self.send()).await {
            Ok(answer) => self.count(answer),
            Err(_) => self.tally.record_cancelled(),
        }
    }

    async fn send(&self) -> Option<Value> {
        let url = format!("http://{}/v1/query", self.entry);
        let body = json!({ "rule": self.rule, "query": { "hits": 3, "number": self.number } });
        let response = self.http.post(url).json(&body).send().await.ok()?;
        response.json().await.ok()
    }

    fn count(&self, answer: Option<Value>) {
        let verdict = answer.as_ref().and_then(|it| it["verdict"].as_str()).unwrap_or("error");
        self.tally.record_answer(verdict, self.due.elapsed());
        let Some(answer) = &answer else { return };
        let coverage = &answer["coverage"];
        let number = |it: &Value| it.as_u64().unwrap_or_default();
        let missing = coverage["missing"].as_array().map_or(&[][..], |it| it);
        let reasons = missing.iter().map(|it| it["reason"].to_string());
        self.tally.record_coverage(
            number(&coverage["answered"]),
            number(&coverage["total"]),
            reasons,
        );
    }
}

/// Returns the time after which a caller cancels, or `None` if it does not cancel. The time is
/// random within the first tenth of the deadline, when most answers have not arrived yet.
pub fn timeout(workload: &Workload, rng: &mut impl Rng) -> Option<Duration> {
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
