//! Updates of the published facts as nodes send them to one another.

use std::{io::Write, time::Duration};

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, write::DeflateEncoder};
use mimosabridge::{
    directory::Edition,
    feed::{Fact, Position, Progress, Snapshot, Update},
    name::Name,
    plan::{Limits, Repeat, Rule, Spec, Target},
};
use mimosabridge_direct::peers::{Question, Reply, UptimeAge, pack, unpack};

fn update(rules: usize) -> Update {
    let rule = |number| Rule {
        name: Name::new(format!("rule-{number}")),
        host: Name::new(format!("host-{}.example", number * 7_919 % 997)),
        prefix: Name::new(format!("/path{}/", number * 104_729 % 99_991)),
        repeat: Repeat::Idempotent,
        attempts: 2,
        timeout: Duration::from_secs(3),
        objective: Duration::from_millis(200),
        priority: 1,
        target: Target::One(Name::new("one")),
    };
    let rules = (0..rules).map(rule).collect();
    let spec = Spec { version: 7, limits: Limits::default(), rules, services: Vec::new() };
    let position = Position::new(0, 9);
    Update::Since(Snapshot { position, facts: vec![Fact::Plan(spec)] })
}

/// Bytes that a link of 20 Mbit/s carries in the second that docs/CAPACITY.md leaves for a reader's
/// answers to its followers.
const LINK_BYTES: usize = 20_000_000 / 8;

/// Guards against a large configuration that takes seconds to leave a reader.
#[test]
fn large_configuration() {
    let update = update(1_400);
    let packed = pack(&update).expect("the update is long");
    let bytes = 60 * packed.len();
    assert!(bytes <= LINK_BYTES, "{bytes} bytes for all followers");
    assert_eq!(unpack(&packed).expect("the update is valid"), update);
}

#[test]
fn short_update() {
    assert!(pack(&update(3)).is_none());
}

#[test]
fn invalid_text() {
    let packed = pack(&update(1_400)).expect("the update is long");
    for text in ["?", "", &packed[..packed.len() / 8 * 4], &packed[4..]] {
        assert!(unpack(text).is_err(), "{} characters", text.len());
    }
}

/// Guards against calls between nodes of two versions that fail: the earlier one knows no packed
/// updates.
#[test]
fn earlier_version() {
    let question = r#"{"progress":{"position":{"era":0,"revision":4},
        "urgent":{"era":0,"revision":4},"version":3},"is_away":false,"wait_millis":0}"#;
    let question: Question = serde_json::from_str(question).expect("the question is read");
    assert!(!question.accepts_packed);
    let reply = r#"{"contact_age_millis":4,"is_away":false,"told":null}"#;
    let reply: Reply = serde_json::from_str(reply).expect("the reply is read");
    assert!(reply.unpacked().expect("nothing is packed").told.is_none());
}

/// Guards against calls between nodes of two versions that fail: the later one adds fields and kinds of
/// facts.
#[test]
fn later_version() {
    let position = r#"{"era":0,"revision":4,"later":1}"#;
    let question = format!(
        r#"{{"later":[1],"progress":{{"position":{position},"urgent":{position},"version":3,"later":1}},
        "is_away":false,"wait_millis":0,"accepts_packed":true,"accepts_later":true}}"#
    );
    let question: Question = serde_json::from_str(&question).expect("the question is read");
    assert!(question.accepts_packed);
    let facts = r#"[{"Frozen":{"x":1}},{"Closed":"b"}]"#;
    let reply = format!(
        r#"{{"later":{{"x":1}},"contact_age_millis":4,"is_away":false,
        "told":{{"Since":{{"position":{position},"facts":{facts}}}}}}}"#
    );
    let reply: Reply = serde_json::from_str(&reply).expect("the reply is read");
    let told = reply.unpacked().expect("nothing is packed").told.expect("there is an update");
    let Update::Since(snapshot) = &told else { panic!("the update is a delta") };
    assert_eq!(snapshot.position, Position::new(0, 4));
    assert!(snapshot.facts.contains(&Fact::Closed(Name::new("b"))));
    assert_eq!(told.unknown(), 1);
}

/// Guards against a long update that is dropped because a later build has added a kind of fact.
#[test]
fn later_version_packed() {
    let known = r#"{"Closed":"b"}"#;
    let position = r#"{"era":0,"revision":4}"#;
    let json = format!(
        r#"{{"All":{{"position":{position},"later":1,"facts":[{{"Frozen":[1]}},{known},"Paused"]}}}}"#
    );
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(json.as_bytes()).expect("memory can be written");
    let text = STANDARD.encode(encoder.finish().expect("memory can be written"));
    let update = unpack(&text).expect("the update is read");
    assert_eq!(update.unknown(), 2);
    let Update::All(snapshot) = update else { panic!("the update holds all facts") };
    assert!(snapshot.facts.contains(&Fact::Closed(Name::new("b"))));
}

/// What this build asks and answers, as the build in production (commit ff76222) reads it.
#[test]
fn read_by_production() {
    #[derive(serde::Deserialize)]
    struct OldQuestion {
        progress: Progress,
        is_away: bool,
        wait_millis: u64,
    }
    #[derive(serde::Deserialize)]
    struct OldReply {
        contact_age_millis: u64,
        is_away: bool,
        told: Option<Update>,
    }
    let progress = Progress { version: 7, ..Progress::default() };
    let asked = Question { is_away: true, wait_millis: 9, ..Question::new(progress) };
    let question = Question { wants_removed: true, ..asked };
    let text = serde_json::to_string(&question).expect("the question can be written");
    let old: OldQuestion = serde_json::from_str(&text).expect("the question is read");
    assert_eq!((old.progress, old.is_away, old.wait_millis), (progress, true, 9));
    let told = Some(update(3));
    let uptime = Some(UptimeAge { since_millis: 9_000, until_millis: 4 });
    let told_whole = told.clone();
    let removed = vec![(Name::new("i-9"), Edition { born: 5, sequence: Some(4) })];
    let reply = Reply {
        contact_age_millis: 4,
        is_away: true,
        uptime,
        told: told_whole,
        packed: None,
        removed,
    };
    let text = serde_json::to_string(&reply).expect("the reply can be written");
    let old: OldReply = serde_json::from_str(&text).expect("the reply is read");
    assert_eq!((old.contact_age_millis, old.is_away, old.told), (4, true, told));
}
