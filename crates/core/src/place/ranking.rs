use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Block;
use crate::name::Name;

/// Ranks candidates for a key by rendezvous hashing and returns the first `count`, best first.
///
/// Every node that sees the same candidates gets the same ranking, and the loss of a candidate
/// moves only the keys for which it ranked first.
pub fn rank<'a>(
    key: u64,
    candidates: impl IntoIterator<Item = &'a Name>,
    count: usize,
) -> Vec<Name> {
    let mut scored: Vec<_> = candidates
        .into_iter()
        .map(|it| (xxh3_64_with_seed(it.as_str().as_bytes(), key), it))
        .collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().take(count).map(|(_, it)| it.clone()).collect()
}

/// Returns the first `count` gates of a block, best first.
///
/// `gates` maps each live gate to its data centre. Gates in the data centre of the block are
/// ranked; if there is none, all gates are.
pub fn gates(block: &Block, gates: &BTreeMap<Name, Name>, count: usize) -> Vec<Name> {
    let near = gates.iter().filter(|(_, data_centre)| **data_centre == block.data_centre);
    let ranked = rank(block.key(), near.map(|(name, _)| name), count);
    if ranked.is_empty() { rank(block.key(), gates.keys(), count) } else { ranked }
}
