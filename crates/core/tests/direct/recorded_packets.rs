//! Packets of the build in production, which runs beside this one while nodes are replaced.

use std::time::Duration;

use mimosabridge::{
    balance::{Sample, Tally},
    feed::{Position, Progress, Restriction},
    fingerprint::Fingerprint,
    member::{Kind, News, Packet},
    name::Name,
    quarantine::{Crash, Evidence, Weight},
};

use crate::fixture::record;

fn packet(kind: Kind, news: Vec<News>) -> Packet {
    let position = Position::new(2, 7_000);
    Packet {
        from: record(3, "a"),
        kind,
        config: None,
        progress: Some(Progress { position, urgent: position, version: 12 }),
        platform_age: 14,
        reach_age: Some(3),
        roster: 0x1234_5678,
        news,
    }
}

fn evidence(evidence: Evidence) -> News {
    News::Evidence { fingerprint: Fingerprint::new(&Name::new("rule"), b"content"), evidence }
}

fn packets() -> Vec<Packet> {
    let crash = Crash {
        server: Name::new("i-1"),
        service: 77,
        born: 1_700_000_000_123,
        age: Duration::from_millis(640),
        is_repeat: true,
        weight: Weight::PROVEN,
    };
    let closed = Restriction::Closed(Name::new("a"));
    let retired = Restriction::Retired { server: Name::new("i-2"), born: 5 };
    let restriction = |restriction| News::Restriction { restriction, left_millis: 9_000 };
    let sample = Sample { server: 99, tally: Tally { answers: 300, slow: 2, failures: 1 } };
    vec![
        packet(Kind::Ping(41), Vec::new()),
        packet(Kind::Ack(41), vec![News::Member(record(4, "b"))]),
        packet(Kind::PingFor { number: 8, target: record(5, "c") }, Vec::new()),
        packet(Kind::Push, vec![evidence(Evidence::Crash(crash))]),
        packet(Kind::Push, vec![evidence(Evidence::Cleared(77, Duration::from_millis(90)))]),
        packet(Kind::Push, vec![evidence(Evidence::Quarantined(Duration::from_secs(200)))]),
        packet(Kind::Push, vec![restriction(closed), restriction(retired)]),
        packet(Kind::Push, vec![News::Unlimited(vec![1, 2]), News::Seen(vec![sample])]),
    ]
}

/// Returns the bytes of a packet in hexadecimal digits.
pub fn hex(packet: &Packet) -> String {
    packet.encode().iter().map(|it| format!("{it:02x}")).collect()
}

/// Returns the bytes that hexadecimal digits stand for.
pub fn unhex(digits: &str) -> Vec<u8> {
    let byte = |it| u8::from_str_radix(&digits[2 * it..2 * it + 2], 16).expect("is hex");
    (0..digits.len() / 2).map(byte).collect()
}

/// The packets as commit ff76222 encodes them.
const RECORDED: [&str; 8] = [
    "04612d303301610100007f000001eb07007f000001d30f0100000029000102d83602d8360c0e0103f8acd191\
     0100",
    "04612d303301610100007f000001eb07007f000001d30f0100000129000102d83602d8360c0e0103f8acd191\
     01010004622d303401620100007f000001ec07007f000001d40f010000",
    "04612d303301610100007f000001eb07007f000001d30f010000020804632d303501630100007f000001ed07\
     007f000001d50f010000000102d83602d8360c0e0103f8acd1910100",
    "04612d303301610100007f000001eb07007f000001d30f01000003000102d83602d8360c0e0103f8acd19101\
     0104da9ad3c4f3e5ce819e010003692d314dfbd095ffbc3180050135",
    "04612d303301610100007f000001eb07007f000001d30f01000003000102d83602d8360c0e0103f8acd19101\
     0104da9ad3c4f3e5ce819e01014d5a",
    "04612d303301610100007f000001eb07007f000001d30f01000003000102d83602d8360c0e0103f8acd19101\
     0104da9ad3c4f3e5ce819e0102c09a0c",
    "04612d303301610100007f000001eb07007f000001d30f01000003000102d83602d8360c0e0103f8acd19101\
     0205000161a846050103692d3205a846",
    "04612d303301610100007f000001eb07007f000001d30f01000003000102d83602d8360c0e0103f8acd19101\
     0206020102070163ac020201",
];

/// Guards against a packet that the build in production can't read, or the other way round.
#[test]
fn packets_unchanged() {
    let packets = packets();
    assert_eq!(packets.len(), RECORDED.len());
    for (packet, recorded) in packets.iter().zip(RECORDED) {
        assert_eq!(hex(packet), recorded, "{:?}", packet.kind);
        assert_eq!(Packet::decode(&unhex(recorded)).as_ref(), Some(packet));
    }
}
