//! Constructors of metrics, whose names get the prefix `mimosabridge_`.

use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Returns the options of a metric.
pub fn opts(name: &str, help: &str) -> Opts {
    Opts::new(format!("mimosabridge_{name}"), help)
}

/// Returns a counter.
pub fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::with_opts(opts(name, help)).expect("the name is valid")
}

/// Returns counters with labels.
pub fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(opts(name, help), labels).expect("the name is valid")
}

/// Returns a gauge.
pub fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::with_opts(opts(name, help)).expect("the name is valid")
}

/// Returns all metrics of a registry in the text format of Prometheus.
pub fn text(registry: &Registry) -> String {
    let mut text = String::new();
    // The encoder refuses only metrics without a name, and there are none.
    let _ = TextEncoder::new().encode_utf8(&registry.gather(), &mut text);
    text
}
