//! A test environment: a small fleet in one process, with stand-ins for servers and platform.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

use mimosabridge::{
    config::{Bundle, Change, Document, Set, Stamp},
    name::Name,
    place::Placement,
};
use mimosabridge_node::node::{Config, Node, Role};
use mimosabridge_standin::{
    collector::Collector,
    platform::Platform,
    server::{Server, Spec, Stats},
};
use serde_json::{Value, json};

/// How long a wait may take before its test fails. It is no bound on speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The data centres of the fleet.
pub const DATA_CENTRES: [&str; 2] = ["a", "b"];

/// A fleet: in each data centre one entry, one gate and one server for each of three shards.
pub struct Fleet {
    pub platform: Platform,
    pub servers: BTreeMap<String, Server>,
    pub nodes: BTreeMap<String, Node>,
    pub bundle: Bundle,
    pub collector: Option<Collector>,
    http: reqwest::Client,
}

impl Fleet {
    /// Starts a fleet whose servers all follow `spec`, and waits until it is ready.
    pub async fn start(spec: Spec) -> Fleet {
        Fleet::start_traced(spec, None).await
    }

    /// Starts a fleet that sends its traces to a collector, if there is one.
    pub async fn start_traced(spec: Spec, collector: Option<Collector>) -> Fleet {
        let mut servers = BTreeMap::new();
        for data_centre in DATA_CENTRES {
            for number in 1..=3 {
                let server = Server::start(local(), spec.clone()).await;
                let server = server.expect("a free port is found");
                servers.insert(format!("{data_centre}{number}"), server);
            }
        }
        let bundle = Bundle::first(config(&servers));
        let platform = Platform::start(local()).await.expect("a free port is found");
        let http = reqwest::Client::builder().no_proxy().build().expect("no TLS is needed");
        let nodes = BTreeMap::new();
        let mut fleet = Fleet { platform, servers, nodes, bundle, collector, http };
        fleet.publish(&fleet.bundle, &Change::default());
        for data_centre in DATA_CENTRES {
            fleet.start_node(&format!("gate-{data_centre}"), data_centre, Role::Gate).await;
            fleet.start_node(&format!("entry-{data_centre}"), data_centre, Role::Entry).await;
        }
        fleet.wait_in_force(fleet.bundle.stamp).await;
        fleet
    }

    /// Starts a node and adds it to the fleet.
    pub async fn start_node(&mut self, name: &str, data_centre: &str, role: Role) {
        let seeds = self.nodes.values().map(|it| it.record().peer).collect();
        let config = Config {
            name: Name::from(name),
            data_centre: Name::from(data_centre),
            roles: vec![role],
            http_listen: local(),
            rpc_listen: local(),
            peer_listen: local(),
            admin_listen: Some(local()),
            advertise: None,
            platform: self.platform.address(),
            seeds,
            drain: Duration::from_millis(200),
            trace_endpoint: self.collector.as_ref().map(Collector::url),
            trace_ratio: 1.0,
            placement: Placement::Primary,
            threads: None,
        };
        let node = Node::start(config).await.expect("free ports are found");
        self.nodes.insert(name.to_owned(), node);
    }

    /// Publishes a configuration, as operators do.
    pub fn publish(&self, bundle: &Bundle, change: &Change) {
        assert!(self.platform.store().publish(bundle, change), "every value is small enough");
    }

    /// Changes the configuration, publishes it and returns it.
    pub fn change(&mut self, change: impl FnOnce(&mut Set)) -> Bundle {
        let mut set = self.bundle.set.clone();
        change(&mut set);
        let next = self.bundle.next(set);
        let change = Change::between(&self.bundle.set, &next.set);
        self.publish(&next, &change);
        self.bundle = next.clone();
        next
    }

    /// Returns the stamp of the configuration that a node has in force.
    pub fn in_force(&self, node: &str) -> Option<Stamp> {
        self.nodes[node].view().borrow().config.as_ref().map(|it| it.stamp)
    }

    /// Waits until a configuration is in force everywhere and every node has discovered all
    /// others.
    pub async fn wait_in_force(&self, stamp: Stamp) {
        let everywhere = |it: &Fleet| it.nodes.keys().all(|node| it.in_force(node) == Some(stamp));
        self.wait("the configuration is in force everywhere", everywhere).await;
        self.wait("the nodes discover one another", |it| it.all_discovered()).await;
    }

    /// Waits until a condition holds.
    pub async fn wait(&self, what: &str, holds: impl Fn(&Fleet) -> bool) {
        let waiting = async {
            while !holds(self) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "timed out waiting until {what}");
    }

    /// Returns the statistics of a server.
    pub fn stats(&self, server: &str) -> Stats {
        self.servers[server].model().stats()
    }

    /// Returns the sum of a count over all servers.
    pub fn total(&self, count: impl Fn(&Stats) -> u64) -> u64 {
        self.servers.values().map(|it| count(&it.model().stats())).sum()
    }

    /// Sends a query to an entry and returns the status and the answer.
    pub async fn query(&self, entry: &str, query: Value) -> (u16, Value) {
        self.post(entry, json!({ "rule": "rule", "query": query })).await
    }

    /// Sends a request to an entry and returns the status and the body.
    pub async fn post(&self, entry: &str, body: Value) -> (u16, Value) {
        let response = self.http.post(self.url(entry, "query")).json(&body).send().await;
        let response = response.expect("the entry answers");
        let status = response.status().as_u16();
        (status, response.json().await.expect("the answer is JSON"))
    }

    /// Requests a ticket from an entry.
    pub async fn ticket(&self, entry: &str) -> String {
        let response = self.http.post(self.url(entry, "tickets")).send().await;
        let issued: Value = response.expect("the entry answers").json().await.expect("it is JSON");
        issued["ticket"].as_str().expect("a ticket is issued").to_owned()
    }

    /// Returns the URL of a resource of an entry.
    pub fn url(&self, entry: &str, path: &str) -> String {
        let address = self.nodes[entry].http_address().expect("the node is an entry");
        format!("http://{address}/v1/{path}")
    }

    /// Reads a page for operators.
    pub async fn page(&self, node: &str, path: &str) -> String {
        let address = self.nodes[node].admin_address().expect("the node serves operators");
        let response = self.http.get(format!("http://{address}/{path}")).send().await;
        response.expect("the node answers").text().await.expect("the page is text")
    }

    fn all_discovered(&self) -> bool {
        self.nodes.values().all(|it| it.view().borrow().nodes.len() == self.nodes.len())
    }
}

fn local() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

fn config(servers: &BTreeMap<String, Server>) -> Set {
    let mut text = String::from(
        r#"
        [[service]]
        name = "service"
        index = "index"
        slots = 3
        connections = 30
        connect_cost_ms = 6

        [[snapshot]]
        name = "s1"
        index = "index"
        version = 1
        shards = ["shard1", "shard2", "shard3"]

        [[rule]]
        name = "rule"
        index = "index"
        services = ["service"]
        class = "interactive"
        deadline_ms = 10000
        "#,
    );
    for data_centre in DATA_CENTRES {
        text.push_str(&format!("[[data_centre]]\nname = \"{data_centre}\"\nregion = \"r\"\n"));
    }
    for (name, server) in servers {
        text.push_str(&format!(
            "[[server]]\nname = \"{name}\"\nservice = \"service\"\ndata_centre = \"{}\"\n\
             address = \"{}\"\n",
            &name[..1],
            server.address()
        ));
    }
    for number in 1..=3 {
        text.push_str(&format!(
            "[[shard]]\nname = \"shard{number}\"\nservice = \"service\"\n\
             replicas = [\"a{number}\", \"b{number}\"]\n"
        ));
    }
    Document::parse(&text).expect("the fixture is valid TOML").change.put
}
