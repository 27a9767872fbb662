use std::collections::HashSet;

use super::{Coverage, Gap, Hit, Missing};
use crate::{
    name::Name,
    outcome::{Failure, Reply},
};

/// Merges the hits of several shards, best first, and keeps the first `max_hits`.
///
/// With `deduplicate`, only the best hit of each key is kept. A shard whose hits cannot be parsed
/// counts as missing in `coverage`.
pub fn merge(
    replies: Vec<(Name, Reply)>,
    coverage: &mut Coverage,
    deduplicate: bool,
    max_hits: usize,
) -> Vec<Hit> {
    let mut hits: Vec<Hit> = Vec::new();
    for (shard, reply) in replies {
        match serde_json::from_str::<Vec<Hit>>(reply.hits.get()) {
            Ok(part) => hits.extend(part),
            Err(_) => {
                let reason = Missing::Unknown(Failure::BadReply);
                coverage.answered -= 1;
                coverage.missing.push(Gap { shard, reason });
            }
        }
    }
    hits.sort_by(|a, b| b.score.total_cmp(&a.score).then_with(|| a.key.cmp(&b.key)));
    if deduplicate {
        let mut seen = HashSet::new();
        hits.retain(|it| seen.insert(it.key.clone()));
    }
    hits.truncate(max_hits);
    hits
}
