//! A fleet in the middle of a replacement: nodes of a later build send what this build doesn't know.

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use mimosabridge::{
    fingerprint::Fingerprint,
    member::{Action, Content, Datagram, News, Packet, Peer, Record, State},
    name::Name,
    quarantine::Evidence,
};
use rand::{SeedableRng, rngs::StdRng};

use crate::{
    fixture::{at, record},
    later_build::{UNKNOWN_NEWS, extend, item, with_news},
};

const NODES: u16 = 6;

/// Nodes with an even number are of a later build.
struct Fleet {
    peers: Vec<Peer>,
    packets: VecDeque<(SocketAddr, Vec<u8>)>,
    rng: StdRng,
    delivered: Vec<(SocketAddr, News)>,
    deaths: Vec<Record>,
}

impl Fleet {
    fn new() -> Fleet {
        let records: Vec<_> = (0..NODES).map(|it| record(it, "a")).collect();
        let seeds = records.iter().map(|it| it.peer).collect::<std::collections::BTreeSet<_>>();
        let peer = |record: Record| {
            let mut peer = Peer::new(record, Default::default(), at(0));
            peer.set_seeds(seeds.clone());
            peer
        };
        Fleet {
            peers: records.into_iter().map(peer).collect(),
            packets: VecDeque::new(),
            rng: StdRng::seed_from_u64(1),
            delivered: Vec::new(),
            deaths: Vec::new(),
        }
    }

    fn play(&mut self, seconds: u64) {
        for step in 0..seconds * 10 {
            let now = at(step * 100);
            for index in 0..self.peers.len() {
                let actions = self.peers[index].tick(now, &mut self.rng);
                self.act(index, actions);
            }
            while let Some((to, bytes)) = self.packets.pop_front() {
                let index = self.peers.iter().position(|it| it.own().peer == to);
                let index = index.expect("the node exists");
                let Some(packet) = Packet::decode(&bytes) else { continue };
                let actions = self.peers[index].on_packet(packet, now, &mut self.rng);
                self.act(index, actions);
            }
            for peer in &self.peers {
                let lost = peer.roster().records().filter(|it| it.state != State::Alive);
                self.deaths.extend(lost.cloned());
            }
        }
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => {
                    let is_later = index.is_multiple_of(2);
                    let bytes = if is_later { later(&packet) } else { packet.encode() };
                    self.packets.push_back((to, bytes));
                }
                Action::Deliver(news, _) => {
                    self.delivered.push((self.peers[index].own().peer, news));
                }
                Action::Sync(rpc) => {
                    let actions = self.peers[index].send_roster(rpc);
                    self.act(index, actions);
                }
                Action::Changed | Action::Progress(..) => {}
            }
        }
    }
}

/// Returns a packet as the later build sends it, with unknown kinds at both places.
fn later(packet: &Packet) -> Vec<u8> {
    let news: Vec<_> = packet.news.iter().map(item).collect();
    let mut news: Vec<_> = news.iter().map(|it| &it[..]).collect();
    news.push(UNKNOWN_NEWS);
    extend(with_news(packet, &news), &[UNKNOWN_NEWS])
}

/// Guards against nodes that take peers of a later build for dead, whose packets they can't read whole.
#[test]
fn all_stay_alive() {
    let mut fleet = Fleet::new();
    fleet.play(20);
    for peer in &fleet.peers {
        let live = peer.roster().records().filter(|it| it.state == State::Alive).count();
        assert_eq!(live, usize::from(NODES), "at {}", peer.own().name);
    }
    assert_eq!(fleet.deaths, []);
}

/// Guards against news of a later build that is lost because of other news in the packet.
#[test]
fn known_news_delivered() {
    let mut fleet = Fleet::new();
    fleet.play(10);
    let fingerprint = Fingerprint::new(&Name::new("rule"), b"content");
    let evidence = Evidence::Quarantined(Duration::from_secs(200));
    let news = News::Evidence { fingerprint, evidence };
    let actions = fleet.peers[0].push_now(vec![news.clone()], &mut fleet.rng);
    fleet.act(0, actions);
    fleet.play(1);
    for peer in &fleet.peers[1..] {
        let expected = (peer.own().peer, news.clone());
        assert!(fleet.delivered.contains(&expected), "at {}", peer.own().name);
    }
}

/// Guards against peers that count as dead while they send packets of a kind that this build doesn't
/// know, and against lost news in them.
#[test]
fn unknown_kind_of_packet() {
    let mut peer = Peer::new(record(1, "a"), Default::default(), at(0));
    let fingerprint = Fingerprint::new(&Name::new("rule"), b"content");
    let evidence = Evidence::Quarantined(Duration::from_secs(200));
    let news = News::Evidence { fingerprint, evidence };
    let sender = record(2, "b");
    let content = Content::News(vec![news.clone()]);
    let datagram = Datagram { sender: sender.clone(), content, unknown: 1 };
    let rng = &mut StdRng::seed_from_u64(1);
    let actions = peer.on_datagram(datagram, at(500), rng);
    assert_eq!(peer.last_received(), Some(at(500)));
    assert_eq!(peer.roster().get(&sender.name), Some(&sender));
    assert!(actions.contains(&Action::Deliver(news, sender.rpc)), "{actions:?}");
}
