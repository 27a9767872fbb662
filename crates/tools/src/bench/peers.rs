use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use mimosabridge::{
    config::{Bundle, Change, Intake, Stamp},
    name::Name,
    place::Placement,
};
use mimosabridge_cli::Fault;
use mimosabridge_node::node::{Config, Node, Role};
use mimosabridge_standin::{platform::Platform, site::Site};
use serde_json::json;
use snafu::ResultExt;

use super::sample::{print, round};
use crate::usage::Usage;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
const DATA_CENTRES: usize = 11;

/// Nodes that are started without a pause between them, so that not all nodes join at once.
const BATCH_SIZE: usize = 25;

/// Changes of the configuration whose propagation is measured.
const CHANGES: u64 = 5;

/// Measures many nodes that exchange packets over loopback.
pub async fn run(count: usize, seconds: u64) -> Result<(), Fault> {
    let platform = Platform::start(local()).await.whatever_context("cannot start the platform")?;
    let first = Bundle::first(Site::riego().config(local()));
    let before = Usage::of_self();
    platform.store().publish(&first, &Change::default());
    let begun = Instant::now();
    let mut nodes: Vec<Node> = Vec::new();
    for number in 0..count {
        let seed = nodes.first().map(|it| it.record().peer);
        nodes.push(Node::start(config(number, &platform, seed)).await?);
        if number % BATCH_SIZE == BATCH_SIZE - 1 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    wait_until(&nodes, |it| it.view().borrow().nodes.len() == count).await;
    wait_until(&nodes, |it| stamp(it) == Some(first.stamp)).await;
    print(json!({ "name": "all know all", "nodes": count, "seconds": elapsed(begun) }));
    tokio::time::sleep(Duration::from_secs(20)).await;
    steady(&nodes, before, seconds, &platform).await;
    propagation(&nodes, &platform, first).await;
    crash(nodes, count).await;
    Ok(())
}

/// Measures the cost of the exchange in the steady state.
async fn steady(nodes: &[Node], before: Usage, seconds: u64, platform: &Platform) {
    let (begun, bytes, reads) = (Usage::of_self(), sent(nodes), platform.store().reads());
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    let ended = Usage::of_self();
    let per_node = |value: f64| value / seconds as f64 / nodes.len() as f64;
    let cpu = (ended.cpu - begun.cpu).as_secs_f64();
    let memory = (ended.resident - before.resident) as f64 / nodes.len() as f64 / 1e6;
    print(json!({
        "name": "steady",
        "nodes": nodes.len(),
        "bytes sent per node and second": round(per_node((sent(nodes) - bytes) as f64)),
        "percent of a core per node": round(per_node(cpu) * 100.0),
        "memory per node, MB": round(memory),
        "reads of the platform per second":
            round((platform.store().reads() - reads) as f64 / seconds as f64),
    }));
}

/// Measures the time until a change is in force on every node.
async fn propagation(nodes: &[Node], platform: &Platform, mut bundle: Bundle) {
    let mut times = Vec::new();
    let mut bytes = 0;
    for number in 0..CHANGES {
        let mut set = bundle.set.clone();
        if let Some(data_centre) = set.data_centres.values_mut().next() {
            data_centre.intake = if number % 2 == 0 { Intake::Closed } else { Intake::Open };
        }
        let next = bundle.next(set);
        let before = sent(nodes);
        let begun = Instant::now();
        platform.store().publish(&next, &Change::between(&bundle.set, &next.set));
        wait_until(nodes, |it| stamp(it) == Some(next.stamp)).await;
        times.push(elapsed(begun));
        bytes = sent(nodes) - before;
        bundle = next;
    }
    times.sort_by(f64::total_cmp);
    print(json!({
        "name": "change in force everywhere",
        "nodes": nodes.len(),
        "median seconds": times[times.len() / 2],
        "worst seconds": times[times.len() - 1],
        "bytes per node of the last": bytes / nodes.len() as u64,
    }));
}

/// Measures the time until every node has detected the crash of others.
async fn crash(mut nodes: Vec<Node>, count: usize) {
    for lost in [1, count / DATA_CENTRES] {
        let begun = Instant::now();
        eprintln!(
            "kill at {}",
            std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_millis()
                % 1000000
        );
        let before = nodes.len();
        for node in nodes.drain(before - lost..) {
            node.kill();
        }
        let remaining = nodes.len();
        let has_detected = |it: &Node| it.view().borrow().nodes.len() == remaining;
        let mut times = Vec::new();
        for percent in [50, 90, 99, 100] {
            while nodes.iter().filter(|it| has_detected(it)).count() * 100 < remaining * percent {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            times.push(elapsed(begun));
        }
        print(json!({
            "name": "crash known",
            "lost": lost,
            "nodes": remaining,
            "seconds until 50, 90, 99 and 100 percent know": times,
        }));
    }
}

fn config(number: usize, platform: &Platform, seed: Option<SocketAddr>) -> Config {
    Config {
        name: Name::new(format!("vm-{number}")),
        data_centre: Name::new(format!("dc-{}", number % DATA_CENTRES)),
        roles: vec![Role::Gate],
        http_listen: local(),
        rpc_listen: local(),
        peer_listen: local(),
        admin_listen: None,
        advertise: None,
        platform: platform.address(),
        seeds: seed.into_iter().collect(),
        drain: Duration::ZERO,
        trace_endpoint: None,
        trace_ratio: 0.0,
        placement: Placement::Primary,
        threads: None,
    }
}

async fn wait_until(nodes: &[Node], condition: impl Fn(&Node) -> bool) {
    while !nodes.iter().all(&condition) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn stamp(node: &Node) -> Option<Stamp> {
    let view: Arc<_> = node.view().borrow().clone();
    view.config.as_ref().map(|it| it.stamp)
}

fn sent(nodes: &[Node]) -> u64 {
    nodes.iter().map(|it| it.metrics().bytes_sent.get()).sum()
}

fn elapsed(begun: Instant) -> f64 {
    round(begun.elapsed().as_secs_f64())
}

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
