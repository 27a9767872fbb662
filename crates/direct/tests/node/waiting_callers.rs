//! Callers that wait for a connection of their node.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, time::Duration};

use mimosabridge::feed::{Fact, Position, Snapshot};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use crate::env::{Behavior, Node, Server, entry, facts, get, request, run, wait_until};

/// The number of servers, to each of which the node may open one connection.
const SERVERS: usize = 5;

/// Long enough for callers to wait in a slow test run.
const OBJECTIVE: Duration = Duration::from_secs(60);

/// A node that waits for the answers of all its servers.
struct Busy {
    node: Node,
    servers: Vec<Server>,
    /// The callers whose requests the servers have.
    _callers: Vec<TcpStream>,
}

impl Busy {
    async fn start() -> Busy {
        let mut servers = Vec::new();
        for number in 0..SERVERS {
            servers.push(Server::start(&format!("i-{number}"), "one", Behavior::Held).await);
        }
        let mut facts = facts(servers.iter().map(|it| Fact::Server(entry(it))));
        if let Fact::Plan(spec) = &mut facts[0] {
            spec.services.iter_mut().for_each(|it| it.connections = 1);
            for rule in &mut spec.rules {
                (rule.objective, rule.timeout) = (OBJECTIVE, OBJECTIVE);
            }
        }
        let published = Rc::new(RefCell::new(Snapshot { position: Position::new(0, 5), facts }));
        let node = Node::start_with("node", published, BTreeSet::new()).await;
        let mut callers = Vec::new();
        for number in 0..SERVERS {
            callers.push(arrive(&node, &format!("busy{number}")).await);
        }
        wait_until(|| servers.iter().all(|it| it.arrivals() == 1)).await;
        Busy { node, servers, _callers: callers }
    }

    /// Has the first server answer, and all that it gets then.
    fn release_one(&self) {
        self.servers[0].behavior.set(Behavior::Correct);
    }

    /// Returns which of the callers that wait have reached the first server, in this order.
    fn sent(&self) -> Vec<usize> {
        let requests = self.servers[0].requests.borrow();
        let waiting = |it: &String| (0..SERVERS).find(|number| it.contains(&id(*number)));
        requests.iter().filter_map(waiting).collect()
    }
}

/// Returns the identity of the request of a caller that waits.
fn id(number: usize) -> String {
    format!("waiting{number}")
}

/// Has a caller send a request, and returns once the node has read it.
async fn arrive(node: &Node, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(node.front).await.expect("the node listens");
    let text = request("POST", "/one/a", id, "x").replace("15000", "60000");
    caller.write_all(text.as_bytes()).await.expect("the node reads");
    // Requests that came later are answered.
    for _ in 0..2 {
        get(node.front, "/unknown").await.expect("the node answers");
    }
    caller
}

async fn is_served(caller: &mut TcpStream) -> bool {
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.expect("the answer is whole");
    answer.starts_with("HTTP/1.1 200 ")
}

/// Guards against a connection that goes to a later caller than the one that waits for it first.
#[test]
fn oldest_first() {
    run(async {
        let busy = Busy::start().await;
        let mut callers = Vec::new();
        for number in 0..4 {
            callers.push(arrive(&busy.node, &id(number)).await);
        }
        busy.release_one();
        for caller in &mut callers {
            assert!(is_served(caller).await);
        }
        assert_eq!(busy.sent(), [0, 1, 2, 3]);
    });
}

/// Guards against callers that are forgotten because the one before them has left.
#[test]
fn first_one_leaves() {
    run(async {
        let busy = Busy::start().await;
        let first = arrive(&busy.node, &id(0)).await;
        let mut second = arrive(&busy.node, &id(1)).await;
        busy.release_one();
        drop(first);
        assert!(is_served(&mut second).await);
    });
}
