//! Merging the records of several shards.

use mimosabridge::scatter::merge;
use proptest::prelude::*;

fn record(byte: u8) -> Vec<u8> {
    vec![byte; 16]
}

#[test]
fn greatest_first() {
    let parts = [[record(1), record(9)].concat(), [record(5), record(7)].concat()];
    let merged = merge(parts.iter().map(|it| &it[..]), 3);
    assert_eq!(merged, [record(9), record(7), record(5)].concat());
}

#[test]
fn remainder_dropped() {
    let part = [record(1), vec![255; 15]].concat();
    assert_eq!(merge([&part[..]].into_iter(), 5), record(1));
}

#[test]
fn no_records_requested() {
    assert!(merge([&record(1)[..]].into_iter(), 0).is_empty());
}

proptest! {
    #[test]
    fn matches_sorting(parts in prop::collection::vec(prop::collection::vec(0_u8..4, 0..200), 0..6), top in 0_usize..20) {
        let merged = merge(parts.iter().map(|it| &it[..]), top);
        let mut all: Vec<_> = parts.iter().flat_map(|it| it.chunks_exact(16)).collect();
        all.sort_by(|a, b| b.cmp(a));
        all.truncate(top);
        prop_assert_eq!(merged, all.concat());
    }
}
