//! What nodes of the build in production and of this build send to one another, in both directions.

use std::time::Duration;

use mimosabridge::{
    balance::{Sample, Tally},
    config::{Digest, Stamp},
    directory::Entry,
    feed::{Fact, Position, Progress, Restriction, Snapshot, Update},
    fingerprint::Fingerprint,
    member::{Kind, Mark, News, Packet, Record, State},
    name::Name,
    plan::{Gather, Limits, Repeat, Rule, Service, Share, Spec, Target},
    quarantine::{Crash, Evidence, Weight},
};

use crate::{
    fixture::{entry, gather, once, record, rule, service},
    production,
    recorded_packets::{hex, unhex},
};

fn stamp() -> Stamp {
    Stamp { version: 300, digest: Digest::from_u128(u128::MAX / 3) }
}

/// Returns news of every kind.
fn news() -> Vec<News> {
    let crash = Crash {
        server: Name::new("i-1"),
        service: 77,
        born: 1_700_000_000_123,
        age: Duration::from_millis(640),
        is_repeat: false,
        weight: Weight::new(0.5).with_proof(),
    };
    let evidence = [
        Evidence::Crash(crash),
        Evidence::Cleared(77, Duration::from_millis(90)),
        Evidence::Quarantined(Duration::from_secs(200)),
    ];
    let fingerprint = Fingerprint::new(&Name::new("rule"), b"content");
    let evidence = evidence.map(|evidence| News::Evidence { fingerprint, evidence });
    let restrictions = [
        Restriction::Closed(Name::new("a")),
        Restriction::Retired { server: Name::new("i-2"), born: 5 },
    ];
    let restrictions =
        restrictions.map(|restriction| News::Restriction { restriction, left_millis: 9_000 });
    let in_state = |state| Record { state, ..record(4, "b") };
    let states = [State::Alive, State::Suspect, State::Leaving, State::Dead];
    let marks = states.map(|it| News::State(Mark::new(&in_state(it))));
    let sample = Sample { server: 99, tally: Tally { answers: 300, slow: 2, failures: 1 } };
    let rest = [
        News::Member(in_state(State::Leaving)),
        News::Config { stamp: stamp(), in_force: true },
        News::Leaving { server: Name::new("i-3"), round: 2 },
        News::Unlimited(vec![1, u32::MAX]),
        News::Seen(vec![sample]),
    ];
    evidence.into_iter().chain(restrictions).chain(marks).chain(rest).collect()
}

fn packets() -> Vec<Packet> {
    let kinds = [
        Kind::Ping(41),
        Kind::Ack(u32::MAX),
        Kind::PingFor { number: 8, target: record(5, "c") },
        Kind::Push,
    ];
    let position = Position::new(2, 7_000);
    let progress = Progress { position, urgent: Position::new(2, 6_000), version: 12 };
    let packet = |kind| Packet {
        from: record(3, "a"),
        kind,
        config: Some(stamp()),
        progress: Some(progress),
        platform_age: u16::MAX,
        reach_age: Some(3),
        roster: 0x1234_5678,
        news: news(),
    };
    kinds.into_iter().map(packet).collect()
}

fn rules() -> Vec<Rule> {
    let share = |service: &str, weight| Share { service: Name::new(service), weight };
    let split = Target::Split(vec![share("one", 0.25), share("two", 3.0)]);
    let all = Target::All(Gather { shards: vec![Name::new("s0")], top: 5, least: 0.9 });
    let once = Rule { repeat: Repeat::Once, ..once() };
    vec![once, rule("split", split), rule("all", all), gather(3, 0.75)]
}

/// Returns an update with facts of every kind.
pub fn update() -> Update {
    let services: Vec<Service> = vec![service("one", 5.0), service("two", 0.0)];
    let spec = Spec { version: 12, limits: Limits::default(), rules: rules(), services };
    let cold =
        Entry { cold: Duration::from_millis(1_500), is_draining: true, ..entry(2, "two", "b") };
    let facts = vec![
        Fact::Plan(spec),
        Fact::Server(entry(1, "one", "a")),
        Fact::Server(cold),
        Fact::Gone(Name::new("i-3")),
        Fact::Lapsed(Name::new("i-4")),
        Fact::Closed(Name::new("a")),
        Fact::Opened(Name::new("b")),
    ];
    Update::Since(Snapshot { position: Position::new(2, 7_000), facts })
}

/// A push with news of every kind, and an update with facts of every kind, as commit ff76222 wrote them.
const RECORDED_PUSH: &str = include_str!("production/push.hex");
const RECORDED_UPDATE: &str = include_str!("production/update.json");

/// Guards against a change of what stands on the wire, which the build in production can't read.
#[test]
fn recorded_push() {
    let recorded: String = RECORDED_PUSH.split_whitespace().collect();
    let push = packets().pop().expect("there are packets");
    assert_eq!(push.kind, Kind::Push);
    assert_eq!(hex(&push), recorded);
    assert_eq!(Packet::decode(&unhex(&recorded)), Some(push));
}

#[test]
fn recorded_update() {
    let recorded = RECORDED_UPDATE.trim();
    assert_eq!(production::write(&update()), recorded);
    let read: Update = serde_json::from_str(recorded).expect("the update is read");
    assert_eq!(read, update());
}

#[test]
fn packets_both_ways() {
    for packet in packets() {
        let bytes = packet.encode();
        let old = production::decode(&bytes).expect("the build in production reads the packet");
        assert_eq!(production::encode(&old), bytes);
        assert_eq!(Packet::decode(&production::encode(&old)), Some(packet));
    }
}

#[test]
fn updates_both_ways() {
    let Update::Since(snapshot) = update() else { panic!("the update is a delta") };
    for update in [Update::All(snapshot.clone()), Update::Since(snapshot)] {
        let text = production::write(&update);
        let old: production::Update =
            production::read(&text).expect("the build in production reads the update");
        let text = production::write(&old);
        let read: Update = serde_json::from_str(&text).expect("the update is read");
        assert_eq!(read, update);
    }
}
