//! The assignment of servers to blocks, and of blocks to gates.

use std::collections::{BTreeMap, BTreeSet};

use mimosabridge::{
    config::{Server, Set},
    name::Name,
    place::{self, Block},
};

fn servers(count: u16) -> Set {
    let mut set = Set::default();
    for number in 0..count {
        let name = Name::new(format!("s{number}"));
        let server = Server {
            name: name.clone(),
            service: Name::from("service"),
            data_centre: Name::from("a"),
            address: ([10, 0, 0, 1], 1 + number).into(),
        };
        set.servers.insert(name, server);
    }
    set
}

fn gates(count: usize) -> BTreeMap<Name, Name> {
    (0..count).map(|it| (Name::new(format!("g{it}")), Name::from("a"))).collect()
}

fn first(block: &Block, gates: &BTreeMap<Name, Name>) -> Name {
    place::gates(block, gates, 1).pop().expect("there are gates")
}

#[test]
fn blocks_bounded() {
    let mut sizes = BTreeMap::new();
    for block in Block::all(&servers(700)).into_values() {
        *sizes.entry(block).or_insert(0) += 1;
    }
    assert_eq!(sizes.len(), 64);
    assert!(sizes.values().all(|it| *it <= 32), "{sizes:?}");
}

#[test]
fn growth_splits_blocks() {
    let small = Block::all(&servers(100));
    let grown = Block::all(&servers(101));
    let moved = small.iter().filter(|(name, block)| grown[*name] != **block).count();
    assert_eq!(moved, 0, "one more server must not move others");
    let doubled = Block::all(&servers(200));
    for (name, block) in small {
        assert_eq!(doubled[&name].number % 8, block.number, "a block splits in two");
    }
}

#[test]
fn gate_removal() {
    let all = gates(9);
    let mut fewer = all.clone();
    fewer.remove("g4");
    for block in Block::all(&servers(700)).into_values().collect::<BTreeSet<_>>() {
        let before = first(&block, &all);
        if before.as_str() != "g4" {
            assert_eq!(first(&block, &fewer), before);
        }
    }
}

#[test]
fn even_distribution() {
    let all = gates(9);
    let mut counts = BTreeMap::new();
    let blocks: BTreeSet<_> = Block::all(&servers(15_000)).into_values().collect();
    for block in &blocks {
        *counts.entry(first(block, &all)).or_insert(0_usize) += 1;
    }
    let fair = blocks.len() / 9;
    assert!(counts.values().all(|it| *it > fair / 2 && *it < fair * 2), "{counts:?}");
}
