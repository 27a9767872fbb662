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

/// Records that connections to some servers broke. Returns whether others must be checked.
fn fail(reach: &mut Reach, servers: u16, millis: u64) -> bool {
    let failures = (0..servers).map(|it| reach.on_failure(&entry(it, "one", "a").id, at(millis)));
    failures.fold(false, |is_due, it| is_due | it)
}

/// Records that some servers do not answer in time. Returns whether others must be checked.
fn delay(reach: &mut Reach, servers: u16, millis: u64) -> bool {
    let delays = (0..servers).map(|it| reach.on_silence(&entry(it, "one", "a").id, at(millis)));
    delays.fold(false, |is_due, it| is_due | it)
}

/// Lets this node lose the servers.
fn lose(reach: &mut Reach, millis: u64) {
    assert!(fail(reach, 3, millis));
    assert!(reach.on_checks(0, at(millis)));
}

/// Old connections may answer while new ones are refused.
#[test]
fn failures_checked() {
    let mut reach = Reach::new(at(0));
    reach.on_answer(at(100));
    assert!(!fail(&mut reach, 2, 100));
    assert!(fail(&mut reach, 3, 110));
    assert!(!fail(&mut reach, 9, 120), "the check is under way");
    assert_eq!(reach.answered(), Some(at(100)), "not before the check has ended");
    assert!(reach.on_checks(0, at(200)));
    assert!(reach.is_lost() && reach.answered().is_none());
    assert!(!fail(&mut reach, 9, 210));
}

/// Some servers are down, and others answer.
#[test]
fn answered_check() {
    let mut reach = Reach::new(at(0));
    assert!(fail(&mut reach, 3, 100));
    assert!(!reach.on_checks(1, at(200)));
    assert!(!fail(&mut reach, 3, 699), "not checked again at once");
    assert!(fail(&mut reach, 3, 700));
}

#[test]
fn old_failures() {
    let mut reach = Reach::new(at(0));
    assert!(!fail(&mut reach, 2, 100));
    let other = entry(9, "one", "a").id;
    assert!(!reach.on_failure(&other, at(2_100)), "the first two count no more");
}

/// Slow servers answer late, but some do.
#[test]
fn slow_servers() {
    let mut reach = Reach::new(at(0));
    for millis in (400..4_000).step_by(400) {
        assert!(!delay(&mut reach, 9, millis));
        reach.on_answer(at(millis));
    }
    assert!(delay(&mut reach, 9, 4_500));
}

/// Late answers over old connections do not end a loss, nor does a single check.
#[test]
fn checks_end_loss() {
    let mut reach = Reach::new(at(0));
    lose(&mut reach, 500);
    reach.on_answer(at(700));
    assert!(reach.is_lost());
    assert_eq!(reach.on_check(true, at(800)), None);
    assert_eq!(reach.on_check(false, at(810)), None);
    assert_eq!(reach.on_check(true, at(820)), None);
    assert_eq!(reach.on_check(true, at(900)), Some(at(500).until(at(900))));
    assert_eq!(reach.status(at(900)), Status::Reached);
    assert_eq!(reach.on_check(true, at(950)), None, "told once");
}

/// A node that starts while the servers are down does not count as reaching them.
#[test]
fn never_answered() {
    let mut reach = Reach::new(at(0));
    assert_eq!(reach.answered(), None);
    reach.on_answer(at(100));
    assert_eq!(reach.answered(), Some(at(100)));
}

/// No server answers any node.
#[test]
fn servers_down() {
    let mut reach = Reach::new(at(0));
    lose(&mut reach, 500);
    assert_eq!(reach.status(at(500)), Status::Down);
    assert_eq!(reach.helper(&mut StdRng::seed_from_u64(1), at(500)), None);
}

#[test]
fn near_helper_first() {
    let (mut reach, mut rng) = (Reach::new(at(0)), StdRng::seed_from_u64(1));
    reach.set_helpers(vec![helper("far", false), helper("near", true)]);
    assert_eq!(reach.helper(&mut rng, at(0)), None, "this node reaches servers itself");
    lose(&mut reach, 500);
    assert_eq!(reach.status(at(500)), Status::Stranded);
    assert_eq!(reach.helper(&mut rng, at(500)), Some(&helper("near", true)));
    reach.on_refusal(&Name::new("near"), at(500));
    assert_eq!(reach.helper(&mut rng, at(500)), Some(&helper("far", false)));
    reach.on_refusal(&Name::new("far"), at(600));
    assert_eq!(reach.status(at(600)), Status::Down, "nobody helps");
    assert_eq!(reach.helper(&mut rng, at(1_500)), Some(&helper("near", true)), "asked again");
}

/// Guards against requests that meet the closed connections of a node that stops, though others help.
#[test]
fn leaving_helper_last() {
    let (mut reach, mut rng) = (Reach::new(at(0)), StdRng::seed_from_u64(1));
    let (near, far) = (helper("near", true), helper("far", false));
    reach.set_helpers(vec![far.clone(), near.clone()]);
    lose(&mut reach, 500);
    reach.on_helped(&near.name, true, at(600));
    assert_eq!(reach.helper(&mut rng, at(600)), Some(&far));
    reach.on_refusal(&far.name, at(600));
    assert_eq!(reach.helper(&mut rng, at(600)), Some(&near), "it still serves");
    reach.on_helped(&far.name, true, at(1_700));
    assert_eq!(reach.helper(&mut rng, at(1_700)), Some(&near), "the near one of two that stop");
    reach.on_helped(&far.name, false, at(1_800));
    assert_eq!(reach.helper(&mut rng, at(1_800)), Some(&far), "its successor has answered");
    assert_eq!(reach.helper(&mut rng, at(10_600)), Some(&near), "its stop is over");
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

/// Guards against a node that doesn't know whether it could serve the callers of one that has lost the servers.
#[test]
fn quiet_node_checked() {
    let mut reach = Reach::new(at(0));
    reach.on_answer(at(100));
    assert!(!reach.begin_check(at(3_000)), "no node needs it");
    reach.set_needed(true);
    assert!(!reach.begin_check(at(2_000)), "a server has answered lately");
    assert!(reach.begin_check(at(2_200)));
    assert!(!reach.begin_check(at(2_900)), "the last check is under way");
    reach.on_answer(at(2_950));
    assert!(!reach.begin_check(at(4_900)));
    assert!(reach.begin_check(at(5_000)));
    lose(&mut reach, 6_000);
    assert!(!reach.begin_check(at(9_000)), "it needs help itself");
}

/// A node needs others as long as it says that it has lost the servers. One that has not been answered yet, or for long,
/// needs none.
#[rstest]
#[case::answered(Some(1_000), true, 1_100, false)]
#[case::not_answered(None, true, 1_100, false)]
#[case::lost(None, false, 1_100, true)]
#[case::lost_lately(None, false, 5_000, true)]
#[case::lost_before(None, false, 5_100, false)]
fn others_need_help(
    #[case] reached: Option<u64>,
    #[case] may_reach: bool,
    #[case] now: u64,
    #[case] is_needed: bool,
) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut node = Peer::new(record(0, "a"), Default::default(), at(0));
    let mut other = Peer::new(record(1, "a"), Default::default(), at(0));
    other.set_reached(reached.map(at));
    other.set_may_reach(may_reach);
    let packet = packet(&mut other, &node, 1_050);
    node.on_packet(packet, at(1_050), &mut rng);
    assert_eq!(node.is_needed(at(now)), is_needed);
    assert_eq!(node.helpers(at(now)).len(), usize::from(reached.is_some()));
}

/// Guards against checks of all quiet nodes in a fleet without requests, each of which seemed to need the others.
#[test]
fn quiet_fleet() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut node = Peer::new(record(0, "a"), Default::default(), at(0));
    let mut other = Peer::new(record(1, "a"), Default::default(), at(0));
    other.set_reached(Some(at(0)));
    let packet = packet(&mut other, &node, 60_000);
    node.on_packet(packet, at(60_000), &mut rng);
    assert!(!node.is_needed(at(60_000)), "it was answered long ago, and has lost nothing");
    assert!(node.helpers(at(60_000)).is_empty());
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
