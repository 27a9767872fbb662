use xxhash_rust::xxh3::xxh3_64;

use crate::{
    config::{Server, Set},
    name::Name,
};

/// The maximum average number of servers in a block.
const BLOCK_SIZE: usize = 16;

/// A group of servers of one service in one data centre that share their ranking of gates.
///
/// The number of blocks per service and data centre is a power of two, so that growth splits
/// blocks in halves and moves no other servers.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Block {
    /// The data centre of the servers.
    pub data_centre: Name,
    /// The service of the servers.
    pub service: Name,
    /// The number of the block within its service and data centre.
    pub number: u64,
}

impl Block {
    /// Returns the block of a server, given the number of servers that share its service and
    /// data centre.
    pub fn of(server: &Server, siblings: usize) -> Block {
        let blocks = siblings.div_ceil(BLOCK_SIZE).max(1).next_power_of_two() as u64;
        Block {
            data_centre: server.data_centre.clone(),
            service: server.service.clone(),
            number: xxh3_64(server.name.as_str().as_bytes()) % blocks,
        }
    }

    /// Returns the block of every server of a configuration.
    pub fn all(set: &Set) -> std::collections::BTreeMap<Name, Block> {
        let mut siblings = std::collections::BTreeMap::new();
        for server in set.servers.values() {
            *siblings.entry((&server.service, &server.data_centre)).or_insert(0) += 1;
        }
        let block = |it: &Server| Block::of(it, siblings[&(&it.service, &it.data_centre)]);
        set.servers.values().map(|it| (it.name.clone(), block(it))).collect()
    }

    /// Returns a hash of the block, the same on every node.
    pub fn key(&self) -> u64 {
        let text = format!("{}/{}/{}", self.data_centre, self.service, self.number);
        xxh3_64(text.as_bytes())
    }
}
