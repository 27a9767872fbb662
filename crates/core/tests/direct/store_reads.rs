//! When a node reads the store.

use std::time::Duration;

use mimosabridge::{
    feed::{Lag, Position, Progress, Reader, Step},
    time::Time,
};

use crate::fixture::at;

fn on(revision: u64) -> Position {
    Position::new(0, revision)
}

fn progress(revision: u64, urgent: u64) -> Progress {
    let urgent = Position::new(0, urgent);
    Progress { position: Position::new(0, revision), urgent, version: 0 }
}

/// Returns when the reader takes its next step, which must be within a second: a version must be in
/// force everywhere within 3 s.
fn next_step(reader: &Reader, millis: u64) -> Time {
    let Step::Pause(until) = reader.step(on(1), at(millis)) else { return at(millis) };
    assert!(until < at(millis + 1_000));
    until
}

#[test]
fn list_then_watch() {
    let mut reader = Reader::new(at(0));
    assert_eq!(reader.step(on(0), at(0)), Step::List);
    reader.on_list(at(1));
    assert!(
        matches!(reader.step(on(7), next_step(&reader, 1)), Step::Watch { after, .. } if after == on(7))
    );
}

#[test]
fn changes_batched() {
    let mut reader = Reader::new(at(0));
    reader.on_list(at(1));
    reader.on_watch(at(100));
    let Step::Pause(until) = reader.step(on(8), at(100)) else { panic!("no pause after a change") };
    assert!(until > at(400) && until < at(1_500), "in force within seconds");
    assert!(matches!(reader.step(on(8), until), Step::Watch { after, .. } if after == on(8)));
}

#[test]
fn peer_ahead() {
    let mut reader = Reader::new(at(0));
    reader.on_list(at(1));
    assert!(
        matches!(reader.step(on(9), next_step(&reader, 1)), Step::Watch { after, .. } if after == on(9))
    );
}

#[test]
fn history_expired() {
    let mut reader = Reader::new(at(0));
    reader.on_list(at(1));
    reader.on_history_expired(at(2));
    assert_eq!(reader.step(on(9), at(2)), Step::List);
    reader.on_list(at(3));
    assert!(
        matches!(reader.step(on(9), next_step(&reader, 3)), Step::Watch { after, .. } if after == on(9))
    );
}

/// Guards against a long watch while the store is unavailable: a VM that the store refused waited
/// in a watch of eight seconds and got a version from its peers after the limit of three seconds.
#[test]
fn short_probe_watch() {
    let mut reader = Reader::new(at(0));
    reader.on_list(at(1));
    reader.on_failure(0.5, at(2));
    assert!(reader.is_store_unavailable());
    let Step::Pause(until) = reader.step(on(7), at(2)) else { panic!("no pause after a failure") };
    let Step::Watch { wait, .. } = reader.step(on(7), until) else { panic!("no watch") };
    assert!(
        wait <= Duration::from_secs(1),
        "a watch of {wait:?} delays the detection of a recovered store"
    );
    reader.on_watch(until);
    assert!(!reader.is_store_unavailable());
}

/// Guards against one cut watch that counts as an outage of the store.
#[test]
fn cut_watch_harmless() {
    let mut reader = Reader::new(at(0));
    reader.on_list(at(1));
    assert!(!reader.on_cut(0.5, at(2_000)));
    assert!(!reader.is_store_unavailable());
    let Step::Pause(until) = reader.step(on(7), at(2_000)) else { panic!("no pause after a cut") };
    assert!(until <= at(2_250), "a store that has gone must be noticed soon");
    let Step::Watch { wait, .. } = reader.step(on(7), until) else { panic!("no watch") };
    assert!(wait <= Duration::from_millis(100), "only an answer shows that the store is available");
    assert!(reader.on_cut(0.5, until), "two cuts in a row are a failure");
    assert!(reader.is_store_unavailable());
    reader.on_watch(at(3_000));
    assert!(!reader.on_cut(0.5, at(5_000)), "a cut after an answer is the first again");
}

#[test]
fn backoff_bounded() {
    let mut reader = Reader::new(at(0));
    for _ in 0..40 {
        reader.on_failure(1.0, at(0));
    }
    let Step::Pause(until) = reader.step(on(0), at(0)) else { panic!("no pause after a failure") };
    assert!(
        until < at(1_500),
        "a node that starts while the store is down must read it soon after its recovery"
    );
}

/// Guards against a single attempt to catch up: a VM whose watch was stuck after a freeze asked one
/// peer that had nothing new, then waited for another to announce the version and got it 3.4 s
/// after its acknowledgement.
#[test]
fn repeated_catch_up() {
    let mut lag = Lag::new();
    let known = progress(7, 0);
    assert!(!lag.on_peer(progress(7, 0), &known, at(0)));
    assert_eq!(lag.due(&known, false), None);
    assert!(lag.on_peer(progress(9, 0), &known, at(100)));
    let due = lag.due(&known, false).expect("a peer is ahead");
    assert!(
        due > at(800) && due <= at(1_100),
        "the node's own watch gets time to deliver the change"
    );
    lag.on_peer(progress(10, 0), &known, at(900));
    assert_eq!(lag.due(&known, false), Some(due), "further changes must not extend the wait");
    lag.on_nothing_new(due);
    let again = lag.due(&known, false).expect("a peer is still ahead");
    assert!(again <= due + Duration::from_millis(300), "a peer is asked again at once");
    assert_eq!(lag.due(&progress(10, 0), false), None);
}

/// Guards against urgent changes that wait as long as others: a data centre whose reader hung asked
/// a peer 0.9 s after it had heard of a version.
#[test]
fn urgent_asked_early() {
    let mut lag = Lag::new();
    let known = progress(7, 5);
    lag.on_peer(progress(8, 5), &known, at(0));
    lag.on_peer(progress(9, 9), &known, at(200));
    let due = lag.due(&known, false).expect("a peer is ahead");
    assert!(due <= at(500), "a reader asks at once");
    let follower = lag.due(&known, true).expect("a peer is ahead");
    assert!(due < follower && follower <= at(800), "its reader is asked first");
    lag.on_read(at(400));
    let due = lag.due(&known, false).expect("a peer is ahead");
    assert!(due > at(400), "the store gets time to answer");
    assert!(due <= at(700), "it is asked soon");
    assert!(lag.due(&progress(9, 0), false).is_none());
}

/// Guards against a watch that hangs on a store that answers again: nodes noticed after 9.9 s that
/// the store had forgotten their watches.
#[test]
fn forgotten_watch() {
    let mut reader = Reader::new(at(0));
    reader.on_list(at(1));
    let Step::Watch { wait, .. } = reader.step(on(7), next_step(&reader, 1)) else {
        panic!("no watch")
    };
    assert!(wait <= Duration::from_secs(2), "a watch of {wait:?} outlives the store for too long");
}

/// Guards against asking for good for what no node has: the only node that knew a version may have
/// stopped after the store had lost it.
#[test]
fn nobody_has_it() {
    let mut lag = Lag::new();
    let known = progress(7, 0);
    lag.on_peer(Progress { version: 6, ..known }, &known, at(0));
    let mut asked = 0;
    while let Some(due) = lag.due(&known, false) {
        asked += 1;
        assert!(asked <= 20, "a peer is asked again and again");
        lag.on_nothing_new(due);
    }
    assert!(asked >= 5, "other peers may have it");
    assert!(lag.on_peer(Progress { version: 6, ..known }, &known, at(9_000)));
    assert!(lag.due(&known, false).is_some(), "a node that has it is asked");
}
