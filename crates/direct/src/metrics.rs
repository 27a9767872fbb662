//! Metrics for Prometheus, listed in `docs/OPERATIONS.md`.

use std::time::Duration;

use mimosabridge::{name::Name, scatter::End};
use mimosabridge_node::metrics::make::{self, counter, counters, gauge};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Registry, core::Collector,
    proto::LabelPair,
};

/// The upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 12] = [0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.2, 0.4, 0.8, 2.0, 10.0];

/// The metrics of one node. Clones share the same values.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    latency: HistogramVec,
    attempts: IntCounterVec,
    crashes: IntCounterVec,
    /// The number of shards missing from answers.
    pub missing_shards: IntCounter,
    /// The number of requests refused because their content crashes servers.
    pub quarantine_refusals: IntCounter,
    /// The requests relayed to other nodes, by outcome.
    pub relayed: IntCounterVec,
    /// Whether no server answers this node.
    pub has_lost_servers: IntGauge,
    /// The number of contents with at least one crash.
    pub suspect_contents: IntGauge,
    /// The number of servers that have said in an answer that they leave.
    pub leaving_servers: IntCounter,
    /// The number of times that a server has said that it wants no requests for some time.
    pub rests: IntCounter,
    /// The number of hedged attempts.
    pub hedges: IntCounter,
    /// The number of requests in progress.
    pub under_way: IntGauge,
    /// The version of the configuration in force.
    pub plan_version: IntGauge,
    /// The number of known backend servers.
    pub servers: IntGauge,
    /// The estimated number of nodes that share the servers.
    pub nodes: IntGauge,
    /// The era of the platform's store, once it has come back from an older copy.
    pub store_era: IntGauge,
    /// The number of calls to the platform's store.
    pub store_calls: IntCounter,
    /// The number of failed calls to the platform's store.
    pub store_failures: IntCounter,
    /// The number of bytes in packets to other nodes.
    pub peer_bytes: IntCounter,
    /// What this build doesn't know and has passed over, by the kind of message.
    pub unknown: IntCounterVec,
}

impl Metrics {
    /// Creates the metrics of a node, all zero.
    pub fn new() -> Metrics {
        let metrics = Metrics {
            registry: Registry::new(),
            answers: counters("answers_total", "Answers to callers.", &["rule", "outcome"]),
            latency: HistogramVec::new(
                HistogramOpts::new("mimosabridge_answer_seconds", "Time from request to answer.")
                    .buckets(BUCKETS.to_vec()),
                &["rule"],
            )
            .expect("the name is valid"),
            attempts: counters("attempts_total", "Attempts at servers.", &["service", "end"]),
            crashes: counters("crashes_total", "Crashes of servers by a content.", &["source"]),
            quarantine_refusals: counter(
                "quarantine_refusals_total",
                "Requests refused because their content crashes servers.",
            ),
            relayed: counters("relayed_total", "Requests relayed to other nodes.", &["outcome"]),
            has_lost_servers: gauge("lost_servers", "1 while no server answers this node."),
            suspect_contents: gauge("suspect_contents", "Contents held against a crash."),
            missing_shards: counter("missing_shards_total", "Shards that answers lacked."),
            leaving_servers: counter(
                "leaving_servers_total",
                "Servers that said in an answer that they leave.",
            ),
            rests: counter("rests_total", "Rests of servers that wanted no requests."),
            hedges: counter("hedges_total", "Second attempts beside one that was late."),
            under_way: gauge("requests_under_way", "Requests under way."),
            plan_version: gauge("config_version", "Version of the configuration in force."),
            servers: gauge("servers", "Backend servers that are known."),
            nodes: gauge("nodes", "Nodes that share the servers."),
            store_era: gauge("store_era", "Era of the platform's store."),
            store_calls: counter("store_calls_total", "Calls to the platform's store."),
            store_failures: counter("store_failures_total", "Store calls that failed."),
            peer_bytes: counter("peer_bytes_sent_total", "Bytes to other nodes."),
            unknown: counters(
                "unknown_total",
                "Unknown kinds and fields passed over in messages of other nodes.",
                &["message"],
            ),
        };
        metrics.register();
        metrics
    }

    /// Records an answer to a caller with its latency.
    pub fn on_answer(&self, rule: &Name, outcome: &str, latency: Duration) {
        self.answers.with_label_values(&[rule.as_str(), outcome]).inc();
        self.latency.with_label_values(&[rule.as_str()]).observe(latency.as_secs_f64());
    }

    /// Records the end of an attempt.
    pub fn on_attempt(&self, service: &Name, end: End) {
        self.attempts.with_label_values(&[service.as_str(), label(end)]).inc();
    }

    /// Records that a content crashed a server. `source` says who observed it.
    pub fn on_crash(&self, source: &str) {
        self.crashes.with_label_values(&[source]).inc();
    }

    /// Drops the series of rules and services that the configuration no longer has.
    pub fn retain(&self, has_rule: impl Fn(&str) -> bool, has_service: impl Fn(&str) -> bool) {
        for [rule, outcome] in labels(&self.answers, ["rule", "outcome"]) {
            if !has_rule(&rule) {
                // The series was just found.
                let _ = self.answers.remove_label_values(&[&rule, &outcome]);
            }
        }
        for [rule] in labels(&self.latency, ["rule"]) {
            if !has_rule(&rule) {
                let _ = self.latency.remove_label_values(&[&rule]);
            }
        }
        for [service, end] in labels(&self.attempts, ["service", "end"]) {
            if !has_service(&service) {
                let _ = self.attempts.remove_label_values(&[&service, &end]);
            }
        }
    }

    /// Returns the metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        make::text(&self.registry)
    }

    fn register(&self) {
        let collectors: [Box<dyn Collector>; 21] = [
            Box::new(self.answers.clone()),
            Box::new(self.latency.clone()),
            Box::new(self.attempts.clone()),
            Box::new(self.crashes.clone()),
            Box::new(self.quarantine_refusals.clone()),
            Box::new(self.relayed.clone()),
            Box::new(self.has_lost_servers.clone()),
            Box::new(self.suspect_contents.clone()),
            Box::new(self.missing_shards.clone()),
            Box::new(self.leaving_servers.clone()),
            Box::new(self.rests.clone()),
            Box::new(self.hedges.clone()),
            Box::new(self.under_way.clone()),
            Box::new(self.plan_version.clone()),
            Box::new(self.servers.clone()),
            Box::new(self.nodes.clone()),
            Box::new(self.store_era.clone()),
            Box::new(self.store_calls.clone()),
            Box::new(self.store_failures.clone()),
            Box::new(self.peer_bytes.clone()),
            Box::new(self.unknown.clone()),
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

/// Returns the values of some labels of each series of a metric.
fn labels<const N: usize>(metric: &impl Collector, names: [&str; N]) -> Vec<[String; N]> {
    let families = metric.collect();
    let series = families.iter().flat_map(|it| it.get_metric());
    let value = |pairs: &[LabelPair], name| {
        let pair = pairs.iter().find(|it| it.name() == name);
        pair.map_or_else(String::new, |it| it.value().to_owned())
    };
    series.map(|it| names.map(|name| value(it.get_label(), name))).collect()
}

/// Returns the label of the end of an attempt in metrics and logs.
pub fn label(end: End) -> &'static str {
    match end {
        End::Served => "served",
        End::Failed => "failed",
        End::Shed => "shed",
        End::Resting => "resting",
        End::Misdirected => "misdirected",
        End::Unsent => "unsent",
        End::Broken => "broken",
        End::Invalid => "invalid",
        End::Silent => "silent",
    }
}
