//! A node that no server answers tells a cut from servers that are down.

use std::net::SocketAddr;

use mimosabridge::{
    member::{Action, Kind, Packet, Peer},
    name::Name,
    reach::{Helper, Reach, Status},
};
use rand::{SeedableRng, rngs::StdRng};
use rstest::rstest;

use crate::fixture::{at, entry, record};

fn helper(name: &str, is_near: bool) -> Helper {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    Helper { name: Name::new(name), address, is_near }
}

/// Records that some servers have not answered.
fn fail(reach: &mut Reach, servers: u16, millis: u64) -> bool {
    let failures = (0..servers).map(|it| reach.on_failure(&entry(it, "one", "a").id, at(millis)));
    failures.fold(false, |is_lost, it| is_lost | it)
}

/// One server that fails, or all of them for a moment, is no cut.
#[rstest]
#[case(2, 1_000, false)]
#[case(3, 499, false)]
#[case(3, 500, true)]
fn loss_noticed(#[case] servers: u16, #[case] millis: u64, #[case] is_lost: bool) {
    let mut reach = Reach::new(at(0));
    assert_eq!(fail(&mut reach, servers, millis), is_lost);
    assert_eq!(reach.answered().is_none(), is_lost);
    assert!(!is_lost || !fail(&mut reach, servers, millis + 1), "a loss is told once");
}

#[test]
fn answer_ends_loss() {
    let mut reach = Reach::new(at(0));
    fail(&mut reach, 3, 500);
    assert_eq!(reach.on_answer(at(800)), Some(at(0).until(at(800))));
    assert_eq!(reach.on_answer(at(801)), None);
    assert_eq!(reach.status(at(801)), Status::Reached);
    assert!(!fail(&mut reach, 3, 1_200), "the silence begins anew");
}

/// No server answers any node.
#[test]
fn servers_down() {
    let mut reach = Reach::new(at(0));
    fail(&mut reach, 3, 500);
    assert_eq!(reach.status(at(500)), Status::Down);
    assert_eq!(reach.helper(&mut StdRng::seed_from_u64(1), at(500)), None);
}

#[test]
fn near_helper_first() {
    let (mut reach, mut rng) = (Reach::new(at(0)), StdRng::seed_from_u64(1));
    reach.set_helpers(vec![helper("far", false), helper("near", true)]);
    assert_eq!(reach.helper(&mut rng, at(0)), None, "this node reaches servers itself");
    fail(&mut reach, 3, 500);
    assert_eq!(reach.status(at(500)), Status::Stranded);
    assert_eq!(reach.helper(&mut rng, at(500)), Some(&helper("near", true)));
    reach.on_refusal(&Name::new("near"), at(500));
    assert_eq!(reach.helper(&mut rng, at(500)), Some(&helper("far", false)));
    reach.on_refusal(&Name::new("far"), at(600));
    assert_eq!(reach.status(at(600)), Status::Down, "nobody helps");
    assert_eq!(reach.helper(&mut rng, at(1_500)), Some(&helper("near", true)), "asked again");
}

/// A node that is being cut off sees all servers fail, and does not know yet that it is.
#[test]
fn no_witness() {
    let mut reach = Reach::new(at(0));
    fail(&mut reach, 2, 300);
    assert!(reach.is_witness(at(300)));
    fail(&mut reach, 3, 300);
    assert!(!reach.is_witness(at(300)));
    reach.on_answer(at(310));
    assert!(reach.is_witness(at(310)));
}

/// Returns a packet as a node sends it to another.
fn packet(from: &mut Peer, to: &Peer, millis: u64) -> Packet {
    let mut rng = StdRng::seed_from_u64(1);
    from.set_seeds([to.own().peer].into());
    let actions = from.tick(at(millis), &mut rng);
    let sent = actions.into_iter().find_map(|it| match it {
        Action::Send(_, packet) => Some(*packet),
        _ => None,
    });
    let packet = sent.expect("a node probes its seed");
    assert!(matches!(packet.kind, Kind::Ping(_)));
    packet
}

/// A node helps as long as a server has lately answered it.
#[rstest]
#[case(Some(1_000), 1_100, true)]
#[case(Some(1_000), 4_900, true)]
#[case(Some(1_000), 5_100, false)]
#[case(None, 1_100, false)]
fn helpers_reach_servers(#[case] reached: Option<u64>, #[case] now: u64, #[case] helps: bool) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut node = Peer::new(record(0, "a"), Default::default(), at(0));
    let mut other = Peer::new(record(1, "a"), Default::default(), at(0));
    other.set_reached(reached.map(at));
    let packet = packet(&mut other, &node, 1_050);
    node.on_packet(packet, at(1_050), &mut rng);
    assert_eq!(node.helpers(at(now)).len(), usize::from(helps));
}
