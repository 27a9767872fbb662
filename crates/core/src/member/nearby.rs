use rand::{Rng, seq::IteratorRandom};

use super::{Action, Kind, News, Peer, Record, State};

/// The most nodes of the same data centre that receive the news, whatever its size.
const MAX_NEARBY_TARGETS: usize = 24;

/// The fewest nodes that receive the news, if there are as many. In a small data centre, nodes of
/// other data centres make up the number.
const MIN_TARGETS: usize = 8;

impl Peer {
    /// Pushes news of short-lived use to nearby nodes, without queueing it for later packets.
    pub fn push_nearby(&self, news: News, rng: &mut impl Rng) -> Vec<Action> {
        let mut packet = self.empty_packet(Kind::Push);
        if packet.fill(std::iter::once(news)) == 0 {
            return Vec::new();
        }
        let others = || {
            let own = self.own();
            self.roster().records().filter(|it| it.state == State::Alive && it.name != own.name)
        };
        let is_near = |it: &&Record| it.data_centre == self.own().data_centre;
        let mut targets = others().filter(is_near).sample(rng, MAX_NEARBY_TARGETS);
        let rest = MIN_TARGETS.saturating_sub(targets.len());
        targets.extend(others().filter(|it| !is_near(it)).sample(rng, rest));
        targets.into_iter().map(|it| Action::Send(it.peer, Box::new(packet.clone()))).collect()
    }
}
