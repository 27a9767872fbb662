//! Updates of later builds, which hold fields and facts that this build doesn't know.

use mimosabridge::{
    balance::Balancer,
    feed::{Fact, Mirror, Position, Progress, Snapshot, Update},
    name::Name,
};
use rstest::rstest;

use crate::{
    fixture::{at, entry, settings},
    old_codecs, production,
};

fn on(revision: u64) -> Position {
    Position::new(0, revision)
}

/// Returns the text of an update with some known facts and facts of unknown kinds among them.
fn later(kind: &str) -> String {
    let server = production::write(&Fact::Server(entry(1, "one", "a")));
    format!(
        r#"{{"{kind}":{{"position":{{"era":0,"revision":9}},"facts":[
            {{"Frozen":{{"server":"i-9","facts":[1,{{"Plan":2}}]}}}},{{"Closed":"b"}},"Paused",{server}]}}}}"#
    )
}

fn read(text: &str) -> Update {
    serde_json::from_str(text).expect("the update is read")
}

/// Guards against an update that is dropped because a later build has added a kind of fact.
#[rstest]
#[case::all("All")]
#[case::delta("Since")]
fn unknown_facts(#[case] kind: &str) {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let empty = Snapshot { position: on(5), facts: Vec::new() };
    mirror.replace(empty, &mut balancer, at(0));
    mirror.apply(on(5), read(&later(kind)), &mut balancer, at(1));
    assert_eq!(mirror.position(), on(9));
    let known = [Fact::Closed(Name::new("b")), Fact::Server(entry(1, "one", "a"))];
    assert_eq!(mirror.snapshot(&balancer).facts, known);
}

#[test]
fn counted() {
    assert_eq!(read(&later("Since")).unknown(), 2);
    assert_eq!(read(&later("All")).unknown(), 2);
    assert_eq!(old_codecs::update().unknown(), 0);
}

/// What a node doesn't know, it doesn't pass on.
#[test]
fn not_passed_on() {
    let (mut mirror, mut balancer) = (Mirror::new(), Balancer::new(settings(), 1));
    let empty = Snapshot { position: on(5), facts: Vec::new() };
    mirror.replace(empty, &mut balancer, at(0));
    mirror.apply(on(5), read(&later("Since")), &mut balancer, at(1));
    let follower = Progress { position: on(5), ..Progress::default() };
    let update = mirror.update_since(&follower, &balancer);
    let facts = vec![Fact::Closed(Name::new("b")), Fact::Server(entry(1, "one", "a"))];
    assert_eq!(update, Some(Update::Since(Snapshot { position: on(9), facts })));
    production::write(&update);
}

#[test]
fn unknown_fields() {
    let mut text = production::write(&old_codecs::update());
    let fields =
        ["era", "facts", "limits", "head_bytes", "host", "top", "weight", "health_path", "slots"];
    for field in fields {
        let known = format!("\"{field}\":");
        assert!(text.contains(&known), "{field}");
        text = text.replace(&known, &format!("\"later\":{{\"x\":[1]}},{known}"));
    }
    assert_eq!(read(&text), old_codecs::update());
}

/// A fact of a known kind must not be missing without a sign: the node asks elsewhere for it.
#[test]
fn unreadable_facts() {
    let Update::Since(snapshot) = old_codecs::update() else { panic!("the update is a delta") };
    for fact in snapshot.facts {
        // A kind that is added here belongs into the update, too.
        match fact {
            Fact::Plan(_) | Fact::Server(_) | Fact::Gone(_) => {}
            Fact::Lapsed(_) | Fact::Closed(_) | Fact::Opened(_) => {}
            Fact::Unknown(_) => panic!("the kind is known"),
        }
        let text = production::write(&fact);
        let kind = text.split('"').nth(1).expect("a fact has a kind");
        let text = later("Since").replace("Frozen", kind);
        assert!(serde_json::from_str::<Update>(&text).is_err(), "{kind}");
    }
}
