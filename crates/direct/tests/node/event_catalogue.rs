//! The log events and their catalogue agree.

use std::collections::BTreeSet;

use mimosabridge_direct::events;

#[test]
fn all_listed() {
    let catalogue = include_str!("../../../../docs/EVENTS.md");
    for event in events::ALL {
        let level = event.level.to_string().to_lowercase();
        let row = format!("| {} | {level} | {} |", event.number, event.text);
        assert!(catalogue.contains(&row), "{row} is not in the catalogue");
    }
}

#[test]
fn own_numbers() {
    let numbers: BTreeSet<_> = events::ALL.iter().map(|it| it.number).collect();
    assert_eq!(numbers.len(), events::ALL.len());
}
