//! The choice of the index version that a query is pinned to.

use mimosabridge::{
    config::{Set, Snapshot},
    name::Name,
    snapshot::{Chooser, Holdings},
    time::Time,
};

use crate::simulation;

const NOW: Time = Time::from_millis(1_000);

/// Returns the fixture with version 8 published in addition to version 7.
fn rolling() -> Set {
    let mut set = simulation::config();
    let old = set.snapshots["s7"].clone();
    let new = Snapshot { name: Name::from("s8"), version: 8, ..old };
    set.snapshots.insert(new.name.clone(), new);
    set
}

fn choice(set: &Set, holdings: &Holdings) -> u64 {
    let rule = &set.rules["rule"];
    Chooser::new().choose(set, rule, holdings, NOW).expect("the index has snapshots").version
}

fn all_hold(set: &Set, versions: &[u64]) -> Holdings {
    let mut holdings = Holdings::new();
    for server in set.servers.keys() {
        holdings.record(server, versions.to_vec(), NOW);
    }
    holdings
}

#[test]
fn nothing_known() {
    assert_eq!(choice(&rolling(), &Holdings::new()), 7, "a roll-out starts from the old version");
}

#[test]
fn newest_with_majority() {
    let set = rolling();
    assert_eq!(choice(&set, &all_hold(&set, &[7, 8])), 8);
    assert_eq!(choice(&set, &all_hold(&set, &[8])), 8);
    assert_eq!(choice(&set, &all_hold(&set, &[7])), 7);
}

#[test]
fn one_shard_behind() {
    let set = rolling();
    let mut holdings = all_hold(&set, &[7, 8]);
    holdings.record(&Name::from("a2"), vec![7], NOW);
    assert_eq!(choice(&set, &holdings), 7, "half of the replicas of a shard are not a majority");
}

#[test]
fn expired_reports() {
    let set = rolling();
    let mut holdings = Holdings::new();
    for server in set.servers.keys() {
        holdings.record(server, vec![8], Time::ZERO);
    }
    let rule = &set.rules["rule"];
    let late = Time::from_millis(61_000);
    let chosen = Chooser::new().choose(&set, rule, &holdings, late);
    assert_eq!(chosen.map(|it| it.version), Some(7), "a report expires after a minute");
}

#[test]
fn choice_reused() {
    let set = rolling();
    let rule = &set.rules["rule"];
    let mut chooser = Chooser::new();
    let at = |ms| Time::from_millis(ms);
    let known = all_hold(&set, &[8]);
    let version = |it: Option<&Snapshot>| it.map(|it| it.version);
    assert_eq!(version(chooser.choose(&set, rule, &Holdings::new(), at(1_000))), Some(7));
    assert_eq!(version(chooser.choose(&set, rule, &known, at(1_199))), Some(7));
    assert_eq!(version(chooser.choose(&set, rule, &known, at(1_200))), Some(8));
}
