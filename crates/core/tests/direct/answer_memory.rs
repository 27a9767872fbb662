//! The memory that the answers of a node take together.

use mimosabridge::memory::{Budget, Share};

/// A quarter of the memory of the smallest VM.
const MAX_BYTES: usize = 40_000_000;

/// What is read at a time.
const CHUNK_BYTES: usize = 16 * 1_024;

/// Reads a chunk of each answer in turn, as long as one is admitted, up to `length` bytes of each. Returns the bytes
/// of each.
fn read(budget: &mut Budget, shares: &mut [Share], length: usize) -> Vec<usize> {
    let mut read = vec![0; shares.len()];
    loop {
        let mut has_read = false;
        for (share, read) in shares.iter_mut().zip(&mut read) {
            if *read < length && budget.admits(share) {
                budget.take(share, CHUNK_BYTES);
                *read += CHUNK_BYTES;
                has_read = true;
            }
        }
        if !has_read {
            return read;
        }
    }
}

fn shares(count: usize) -> Vec<Share> {
    (0..count).map(|_| Share::default()).collect()
}

/// Guards against answers that are bounded one by one: with hundreds at a time, servers that sent bytes without end
/// filled the memory of all nodes.
#[test]
fn endless_bounded() {
    let mut budget = Budget::new();
    let all: usize = read(&mut budget, &mut shares(400), 1_000_000).iter().sum();
    assert!(all <= MAX_BYTES, "{all} bytes");
}

#[test]
fn long_answer_whole() {
    let mut budget = Budget::new();
    assert!(read(&mut budget, &mut shares(8), 1_000_000)[0] >= 1_000_000);
}

/// Sound answers are read to their end beside those that fill the memory.
#[test]
fn short_answers_spared() {
    let mut budget = Budget::new();
    let mut endless = shares(100);
    read(&mut budget, &mut endless, 1_000_000);
    let read = read(&mut budget, &mut shares(50), 64 * 1_024);
    assert!(read.iter().all(|it| *it >= 64 * 1_024), "{read:?}");
}

#[test]
fn given_back() {
    let mut budget = Budget::new();
    for _ in 0..3 {
        let mut endless = shares(100);
        read(&mut budget, &mut endless, 1_000_000);
        endless.iter_mut().for_each(|it| budget.give_back(it));
    }
    assert!(read(&mut budget, &mut shares(8), 1_000_000)[0] >= 1_000_000);
}
