//! Metrics for Prometheus. `docs/OPERATIONS.md` lists them.

pub mod make;

use std::time::Duration;

use mimosabridge::{
    name::Name,
    outcome::{Failure, Outcome, Refusal},
    query::Answer,
};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
    core::Collector,
};

use self::make::{counter, counters, gauge, opts};

/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 14] =
    [0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1.0, 5.0];

/// The metrics of one node. Clones share the same values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    latency: HistogramVec,
    shards: IntCounterVec,
    attempts: IntCounterVec,
    tasks: IntCounterVec,
    /// The number of requests that an entry is running.
    pub under_way: IntGauge,
    /// The percentage of recent sub-requests that were refused because of overload.
    pub pressure_percent: IntGauge,
    /// The number of nodes in each state.
    pub nodes: IntGaugeVec,
    /// The version of the configuration in force.
    pub config_version: IntGauge,
    /// The number of configurations that were refused.
    pub config_refused: IntCounter,
    /// The number of packets sent to other nodes.
    pub packets_sent: IntCounter,
    /// The number of bytes in packets sent to other nodes.
    pub bytes_sent: IntCounter,
    /// The number of bytes in packets received from other nodes.
    pub bytes_received: IntCounter,
    /// The number of kinds, news items and fields that this build doesn't know and has passed over.
    pub unknown: IntCounter,
    /// The number of contents that are suspected of a crash.
    pub suspect_contents: IntGauge,
}

impl Metrics {
    /// Creates the metrics of a node, all zero.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        let metrics = Metrics {
            answers: counters("answers_total", "Answers to callers.", &["rule", "verdict"]),
            latency: HistogramVec::new(
                HistogramOpts::new("mimosabridge_answer_seconds", "Time from request to answer.")
                    .buckets(BUCKETS.to_vec()),
                &["rule"],
            )
            .expect("the name is valid"),
            shards: counters("shards_total", "Shards of answers.", &["rule", "covered"]),
            attempts: counters("attempts_total", "Attempts of an entry.", &["rule", "outcome"]),
            tasks: counters("tasks_total", "Sub-requests at a gate.", &["outcome"]),
            under_way: gauge("requests_under_way", "Requests under way at an entry."),
            pressure_percent: gauge("pressure_percent", "Sub-requests refused for want of room."),
            nodes: IntGaugeVec::new(opts("nodes", "Nodes by state."), &["state"])
                .expect("the name is valid"),
            config_version: gauge("config_version", "Version of the configuration in force."),
            config_refused: counter("config_refused_total", "Configurations refused."),
            packets_sent: counter("peer_packets_sent_total", "Packets to other nodes."),
            bytes_sent: counter("peer_bytes_sent_total", "Bytes to other nodes."),
            bytes_received: counter("peer_bytes_received_total", "Bytes from other nodes."),
            unknown: counter("unknown_total", "Unknown kinds and fields passed over."),
            suspect_contents: gauge("suspect_contents", "Contents held against a crash."),
            registry,
        };
        metrics.register();
        metrics
    }

    /// Counts an answer and its covered and missing shards, and records its latency.
    pub fn on_answer(&self, rule: &Name, answer: &Answer, latency: Duration) {
        let rule = rule.as_str();
        let verdict = format!("{:?}", answer.verdict).to_lowercase();
        self.answers.with_label_values(&[rule, &verdict]).inc();
        self.latency.with_label_values(&[rule]).observe(latency.as_secs_f64());
        let covered = answer.coverage.answered as u64;
        let missing = answer.coverage.total as u64 - covered;
        self.shards.with_label_values(&[rule, "yes"]).inc_by(covered);
        self.shards.with_label_values(&[rule, "no"]).inc_by(missing);
    }

    /// Counts the outcome of an attempt at an entry.
    pub fn on_attempt(&self, rule: &Name, outcome: &Outcome) {
        self.attempts.with_label_values(&[rule.as_str(), label(outcome)]).inc();
    }

    /// Counts an attempt that an entry cancelled.
    pub fn on_attempt_cancelled(&self, rule: &Name) {
        self.attempts.with_label_values(&[rule.as_str(), "cancelled"]).inc();
    }

    /// Counts the outcome of a sub-request at a gate.
    pub fn on_task(&self, outcome: &Outcome) {
        self.tasks.with_label_values(&[label(outcome)]).inc();
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        make::text(&self.registry)
    }

    fn register(&self) {
        let collectors: [Box<dyn Collector>; 15] = [
            Box::new(self.answers.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.shards.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.tasks.clone()),
            Box::new(self.under_way.clone()),
            Box::new(self.pressure_percent.clone()),
            Box::new(self.nodes.clone()),
            Box::new(self.config_version.clone()),
            Box::new(self.config_refused.clone()),
            Box::new(self.packets_sent.clone()),
            Box::new(self.bytes_sent.clone()),
            Box::new(self.bytes_received.clone()),
            Box::new(self.unknown.clone()),
            Box::new(self.suspect_contents.clone()),
        ];
        for collector in collectors {
            self.registry.register(collector).expect("every metric has its own name");
        }
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

/// Returns the name of an outcome in metrics and traces.
pub fn label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Served(_) => "served",
        Outcome::Refused(refusal) => refusal_label(refusal),
        Outcome::Failed(failure) => failure_label(*failure),
    }
}

fn refusal_label(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::QueueFull => "queue_full",
        Refusal::Expired => "expired",
        Refusal::Cancelled => "cancelled",
        Refusal::ServerLeaving => "server_leaving",
        Refusal::DataCentreClosed => "data_centre_closed",
        Refusal::NotHeld(_) => "not_held",
        Refusal::Shed => "shed",
        Refusal::Unreachable => "unreachable",
        Refusal::UnknownServer => "unknown_server",
        Refusal::GateLeaving => "gate_leaving",
        Refusal::GateUnreachable => "gate_unreachable",
        Refusal::Quarantined => "quarantined",
        Refusal::Overloaded => "overloaded",
        Refusal::NotConfigured => "not_configured",
        Refusal::TicketMissing => "ticket_missing",
        Refusal::TicketTaken => "ticket_taken",
        Refusal::HomeLeaving => "home_leaving",
        Refusal::Isolated => "isolated",
    }
}

fn failure_label(failure: Failure) -> &'static str {
    match failure {
        Failure::Broken => "broken",
        Failure::Crashed => "crashed",
        Failure::TimedOut => "timed_out",
        Failure::Silent => "silent",
        Failure::Cancelled => "cancelled",
        Failure::ServerError => "server_error",
        Failure::BadReply => "bad_reply",
        Failure::GateLost => "gate_lost",
    }
}
