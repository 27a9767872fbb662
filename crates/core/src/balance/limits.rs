use std::time::Duration;

use rand::RngExt;

use super::{Balancer, Quota, Server, Stated};
use crate::{name::Name, time::Time};

/// The most ended limits in one report to other nodes: as many as fit in a packet.
const MAX_UNLIMITED: usize = 50;

/// How long ago this node must have received the statement of a limit for another node's word that
/// it has ended: reports are sent several times a second, and may be late.
const MIN_STATED_AGE: Duration = Duration::from_secs(1);

impl Balancer {
    /// Records what a server stated in the answer to a request that was sent at `sent`. Returns
    /// whether it newly has or no longer has a limit. An answer to a request that was sent before
    /// the last statement shows nothing of the end of the limit.
    pub fn on_stated(&mut self, id: &Name, stated: Stated, sent: Time, now: Time) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let quota = server.quota_mut();
        match (stated, &mut *quota) {
            (Stated::Limit(limit), Some(quota)) => {
                quota.on_stated(limit, self.nodes, now);
                false
            }
            (Stated::Limit(limit), None) => {
                *quota = Some(Quota::new(limit, self.rng.random(), now));
                true
            }
            (Stated::NoLimit, Some(known)) if sent >= known.stated() => {
                *quota = None;
                self.unlimited.push(id.key());
                true
            }
            (Stated::NoLimit, _) => false,
        }
    }

    /// Takes the servers whose limits have ended since the last call, as this node observed.
    pub fn take_unlimited(&mut self) -> Vec<u32> {
        let count = self.unlimited.len().min(MAX_UNLIMITED);
        self.unlimited.drain(..count).collect()
    }

    /// Ends the limits of servers that another node has observed to have ended, unless this node
    /// has lately received a statement itself.
    pub fn on_unlimited(&mut self, servers: &[u32], now: Time) {
        for key in servers {
            let server = self.keys.get(key).and_then(|it| self.servers.get_mut(it));
            let Some(quota) = server.map(Server::quota_mut) else { continue };
            quota.take_if(|it| now.since(it.stated()) >= MIN_STATED_AGE);
        }
    }
}
