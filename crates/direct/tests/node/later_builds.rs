//! A node among nodes of a later build, which send what it doesn't know.

use mimosabridge::{
    member::{Incarnation, Kind, Packet, Record, Roles, State},
    name::Name,
};
use tokio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::env::{Behavior, Node, Server, get, run};

/// A kind of news that this build doesn't know.
const UNKNOWN_NEWS: &[u8] = &[8, 1, 2, 3];

/// Returns a packet of a later build with unknown news.
fn extended(from: Record, kind: Kind) -> Vec<u8> {
    let news = Vec::new();
    let (config, progress, reach_age) = (None, None, None);
    let packet =
        Packet { from, kind, config, progress, platform_age: 0, reach_age, roster: 0, news };
    let mut bytes = packet.encode();
    assert_eq!(bytes.pop(), Some(0), "the packet ends with the number of its news");
    bytes.push(1);
    bytes.extend(UNKNOWN_NEWS);
    bytes.extend(0_u16.to_le_bytes());
    let hash = xxh3_64(&bytes);
    bytes.extend(hash.to_le_bytes());
    bytes
}

/// Guards against a node that leaves the probes of a later build unanswered.
#[test]
fn probe_answered() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
        let own = socket.local_addr().expect("a bound socket has an address");
        let record = Record {
            name: Name::new("later"),
            data_centre: Name::new("a"),
            roles: Roles { entry: true, gate: false },
            peer: own,
            rpc: own,
            incarnation: Incarnation { boot: 1, refutation: 0 },
            state: State::Alive,
        };
        let ping = extended(record, Kind::Ping(41));
        socket.send_to(&ping, node.peer).await.expect("the packet is sent");
        let mut buffer = [0; 2_048];
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await.expect("a packet comes");
            let packet = Packet::decode(&buffer[..length]).expect("the packet is read");
            if packet.kind == Kind::Ack(41) {
                break;
            }
        }
        let metrics = get(node.metrics, "/metrics").await.expect("the node answers").body;
        assert!(metrics.contains("mimosabridge_unknown_total{message=\"packet\"} 1"), "{metrics}");
    });
}
