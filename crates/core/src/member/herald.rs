use std::{collections::HashMap, net::SocketAddr, time::Duration};

use super::{Action, Kind, Peer, Record, State};
use crate::{name::Name, time::Time};

/// How many nodes of each data centre an announcement is sent to: the first alive ones by name, of
/// which the first reads the store for the others.
const HEADS: usize = 2;

/// How often an announcement is sent to a node that does not acknowledge it.
const MAX_SENDS: u32 = 4;

/// How long a node may take to acknowledge an announcement before it is repeated.
const ACK_TIMEOUT: Duration = Duration::from_millis(140);

/// The announcements of this node that have not been acknowledged yet.
#[derive(Clone, Debug, Default)]
pub(super) struct Herald {
    pending: Vec<Pending>,
}

#[derive(Clone, Debug)]
struct Pending {
    target: SocketAddr,
    /// The number of the ping that carries the announcement.
    number: u32,
    sends: u32,
    sent: Time,
}

impl Herald {
    /// Creates a herald without announcements.
    pub fn new() -> Herald {
        Herald::default()
    }

    /// Handles the answer to a ping. Returns whether it acknowledges an announcement.
    pub fn on_ack(&mut self, number: u32) -> bool {
        let before = self.pending.len();
        self.pending.retain(|it| it.number != number);
        self.pending.len() < before
    }

    /// Records that an announcement is sent to a node. It replaces earlier ones.
    fn start(&mut self, target: SocketAddr, number: u32, now: Time) {
        self.pending.retain(|it| it.target != target);
        self.pending.push(Pending { target, number, sends: 1, sent: now });
    }

    /// Returns the targets and numbers of the announcements to repeat now.
    fn due(&mut self, now: Time) -> Vec<(SocketAddr, u32)> {
        let is_overdue = |it: &Pending| now.since(it.sent) >= ACK_TIMEOUT;
        self.pending.retain(|it| it.sends < MAX_SENDS || !is_overdue(it));
        let mut due = Vec::new();
        for pending in self.pending.iter_mut().filter(|it| is_overdue(it)) {
            pending.sends += 1;
            pending.sent = now;
            due.push((pending.target, pending.number));
        }
        due
    }
}

impl Peer {
    /// Announces the progress of this node to the first nodes of each data centre, and repeats it
    /// until they acknowledge it. The other nodes learn it from them or with any later packet.
    pub fn announce_progress(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        for target in self.heads() {
            let number = self.detector.next_number();
            self.herald.start(target, number, now);
            actions.push(self.send_announcement(target, number));
        }
        actions
    }

    /// Repeats the announcements that were not acknowledged in time.
    pub(super) fn repeat_announcements(&mut self, now: Time) -> Vec<Action> {
        let due = self.herald.due(now);
        due.into_iter().map(|(target, number)| self.send_announcement(target, number)).collect()
    }

    fn send_announcement(&self, target: SocketAddr, number: u32) -> Action {
        Action::Send(target, Box::new(self.empty_packet(Kind::Ping(number))))
    }

    /// Returns the addresses of the first live nodes of each data centre, without this node.
    fn heads(&self) -> Vec<SocketAddr> {
        let mut counts: HashMap<&Name, usize> = HashMap::new();
        let is_live = |it: &&Record| it.state == State::Alive && it.name != self.own().name;
        let live = self.roster().records().filter(is_live);
        let heads = live.filter(|it| {
            let count = counts.entry(&it.data_centre).or_default();
            *count += 1;
            *count <= HEADS
        });
        heads.map(|it| it.peer).collect()
    }
}
