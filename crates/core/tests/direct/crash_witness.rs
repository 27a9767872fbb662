//! Crashes told from connections that merely broke.

use mimosabridge::{fingerprint::Fingerprint, name::Name, quarantine::Witness};

use crate::fixture::at;

fn fingerprint(text: &str) -> Fingerprint {
    Fingerprint::new(&Name::new("rule"), text.as_bytes())
}

#[test]
fn crash_blamed() {
    let mut witness = Witness::new();
    witness.on_broken(fingerprint("a"), Name::new("i-1"), at(0));
    witness.on_broken(fingerprint("b"), Name::new("i-2"), at(0));
    let blamed = witness.on_unreachable(&Name::new("i-1"), at(100));
    assert_eq!(blamed, [fingerprint("a")]);
    assert!(witness.on_unreachable(&Name::new("i-1"), at(101)).is_empty(), "blamed once");
}

#[test]
fn break_forgotten() {
    let mut witness = Witness::new();
    witness.on_broken(fingerprint("a"), Name::new("i-1"), at(0));
    assert!(witness.on_unreachable(&Name::new("i-1"), at(1_600)).is_empty());
}
