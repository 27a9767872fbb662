use std::{
    collections::{BTreeMap, BTreeSet, HashSet},
    net::SocketAddr,
    time::Duration,
};

use rand::{Rng, RngExt, seq::IteratorRandom};

use super::{
    Action, Detector, Incarnation, Kind, Mark, News, Outbox, Packet, Record, Roster, Settings,
    State, detector::Probe, helpers::MAX_REACH_AGE, herald::Herald, roster::Effect,
};
use crate::{config::Stamp, feed::Progress, name::Name, time::Time};

/// The unit of [`Packet::platform_age`].
const PLATFORM_AGE_UNIT: Duration = Duration::from_millis(100);

/// The unit of [`Packet::reach_age`].
const REACH_AGE_UNIT: Duration = Duration::from_millis(100);

/// An exchange of rosters that changes more than one record in this many resets the wait until the
/// next exchange to its minimum.
const SYNC_RESET_DIVISOR: usize = 20;

/// How many nodes get news that must not miss any node and is passed on once: of those of a large
/// fleet, one in 400 is missed.
const URGENT_FANOUT: usize = 6;

/// Runs the membership protocol of this node.
#[derive(Clone, Debug)]
pub struct Peer {
    settings: Settings,
    own: Record,
    roster: Roster,
    pub(super) detector: Detector,
    pub(super) herald: Herald,
    outbox: Outbox,
    seeds: BTreeSet<SocketAddr>,
    config: Option<Stamp>,
    progress: Option<Progress>,
    /// When a server last answered this node, while it reaches them.
    reached: Option<Time>,
    /// Whether this node sends to servers, and has not lost them.
    may_reach: bool,
    /// When a server last answered other nodes, as they told.
    pub(super) reached_by: BTreeMap<Name, Time>,
    /// When other nodes last said that they have lost the servers.
    pub(super) lacking: BTreeMap<Name, Time>,
    relays: Vec<Relay>,
    next_round: Time,
    last_received: Option<Time>,
    last_platform_read: Time,
    /// The time of the latest event, for the age in the packets that it causes.
    now: Time,
    last_sync: Option<Time>,
    sync_wait: Duration,
    differing_packets: u32,
    /// The room that probes and their answers keep for news that the driver adds, in bytes.
    reserve: usize,
}

/// A ping that was sent on behalf of another node.
#[derive(Clone, Debug)]
struct Relay {
    number: u32,
    requester: SocketAddr,
    requested_number: u32,
    sent: Time,
}

impl Peer {
    /// Creates the peer of the node with the record `own`.
    pub fn new(own: Record, settings: Settings, now: Time) -> Peer {
        let mut roster = Roster::new();
        roster.merge(own.clone(), now);
        let mut outbox = Outbox::new();
        outbox.push(News::Member(own.clone()));
        Peer {
            settings,
            own,
            roster,
            detector: Detector::new(),
            herald: Herald::new(),
            outbox,
            seeds: BTreeSet::new(),
            config: None,
            progress: None,
            reached: None,
            may_reach: false,
            reached_by: BTreeMap::new(),
            lacking: BTreeMap::new(),
            relays: Vec::new(),
            next_round: now,
            last_received: None,
            last_platform_read: now,
            now,
            last_sync: None,
            sync_wait: settings.min_sync_interval,
            differing_packets: 0,
            reserve: 0,
        }
    }

    /// Sets the room that probes and their answers keep for news that the driver adds, in bytes.
    pub fn set_reserve(&mut self, bytes: usize) {
        self.reserve = bytes;
    }

    /// Returns the record of this node.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the roster of all known nodes.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Sets the addresses at which other nodes may be found.
    pub fn set_seeds(&mut self, seeds: BTreeSet<SocketAddr>) {
        self.seeds = seeds;
        self.seeds.remove(&self.own.peer);
    }

    /// Records the configuration that this node has in force.
    pub fn set_config(&mut self, stamp: Stamp) {
        self.config = Some(stamp);
    }

    /// Records up to where this node knows the published facts.
    pub fn set_progress(&mut self, progress: Progress) {
        self.progress = Some(progress);
    }

    /// Records when a server last answered this node, or nothing if it reaches none.
    pub fn set_reached(&mut self, reached: Option<Time>) {
        self.reached = reached;
    }

    /// Records whether this node sends to servers and has not lost them, although none may have answered it yet.
    pub fn set_may_reach(&mut self, may_reach: bool) {
        self.may_reach = may_reach;
    }

    /// Records that this node has read the platform.
    pub fn on_platform_read(&mut self, now: Time) {
        self.last_platform_read = now;
    }

    /// Returns whether this node is isolated and cannot know what operators have published: neither
    /// it nor any node in reach has read the platform lately, and it reaches no other node or only
    /// a minority of the fleet.
    pub fn is_isolated(&self, now: Time) -> bool {
        let timeout = self.settings.platform_timeout;
        let is_stale = now.since(self.last_platform_read) >= timeout;
        is_stale && (self.is_alone(now) || self.roster.is_minority())
    }

    fn is_alone(&self, now: Time) -> bool {
        let others = self.roster.records().any(|it| it.name != self.own.name);
        let received = self.last_received.unwrap_or_default();
        (others || !self.seeds.is_empty()) && now.since(received) >= self.settings.isolation_timeout
    }

    /// Returns when a packet from another node was last received.
    pub fn last_received(&self) -> Option<Time> {
        self.last_received
    }

    /// Queues news for the other nodes, and pushes it at once if it is urgent.
    pub fn announce(&mut self, news: News, rng: &mut impl Rng) -> Vec<Action> {
        self.outbox.push(news.clone());
        if news.is_urgent() { self.push(vec![news], None, rng) } else { Vec::new() }
    }

    /// Pushes news at once, without queueing it: its sender repeats it in other ways.
    pub fn push_now(&mut self, news: Vec<News>, rng: &mut impl Rng) -> Vec<Action> {
        let targets = self.random_targets(URGENT_FANOUT, None, rng);
        self.push_to(targets, news)
    }

    /// Announces that this node stops.
    pub fn leave(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        self.now = now;
        self.own.state = State::Leaving;
        self.roster.merge(self.own.clone(), now);
        let mut actions = self.announce(News::State(Mark::new(&self.own)), rng);
        actions.push(Action::Changed);
        actions
    }

    /// Records that this process was paused. Missing answers say nothing about other nodes then, so
    /// the pending probe is dropped and the suspicion timeouts start again.
    pub fn on_pause(&mut self, now: Time) {
        self.now = now;
        self.detector.end();
        self.relays.clear();
        self.roster.reset_suspicions(now);
        self.last_received = None;
    }

    /// Merges the records of an exchanged roster.
    pub fn on_roster(&mut self, records: Vec<Record>, now: Time) -> Vec<Action> {
        let live = self.roster.live_count();
        let effects = records.into_iter().map(|it| self.merge_record(it, now));
        let changed = effects.filter(|it| *it == Effect::Change).count();
        if changed * SYNC_RESET_DIVISOR > live {
            self.sync_wait = self.settings.min_sync_interval;
        }
        if changed > 0 { vec![Action::Changed] } else { Vec::new() }
    }

    /// Handles a packet from another node.
    pub fn on_packet(&mut self, packet: Packet, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        self.now = now;
        if packet.from.name == self.own.name {
            return Vec::new();
        }
        self.last_received = Some(now);
        let age = PLATFORM_AGE_UNIT * u32::from(packet.platform_age);
        self.last_platform_read = self.last_platform_read.max(now.before(age));
        let reached = packet.reach_age.map(|it| now.before(REACH_AGE_UNIT * u32::from(it)));
        let (reaching, other) = match reached {
            Some(_) => (&mut self.reached_by, &mut self.lacking),
            None => (&mut self.lacking, &mut self.reached_by),
        };
        reaching.insert(packet.from.name.clone(), reached.unwrap_or(now));
        other.remove(&packet.from.name);
        let sender = packet.from.clone();
        let mut actions = self.on_sender(&packet, now);
        actions.extend(self.on_news(packet.news, &sender, now, rng));
        match packet.kind {
            Kind::Ping(number) => {
                actions.push(self.send(sender.peer, Kind::Ack(number)));
            }
            Kind::Ack(number) => actions.extend(self.on_ack(number)),
            Kind::PingFor { number, target } => {
                actions.push(self.relay_ping(sender.peer, number, &target, now));
            }
            Kind::Push => {}
        }
        actions
    }

    /// Handles what could be read of a packet of an unknown kind.
    pub(super) fn on_unknown_kind(
        &mut self,
        sender: &Record,
        news: Vec<News>,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        self.now = now;
        if sender.name == self.own.name {
            return Vec::new();
        }
        self.last_received = Some(now);
        let effect = self.merge_record(sender.clone(), now);
        let mut actions = self.on_news(news, sender, now, rng);
        if effect == Effect::Change {
            actions.push(Action::Changed);
        }
        actions
    }

    /// Runs the probes and timeouts that are due. Call it several times per
    /// [`Settings::ack_timeout`].
    pub fn tick(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        self.now = now;
        let mut actions = self.request_indirect_probes(now, rng);
        actions.extend(self.repeat_announcements(now));
        if now < self.next_round {
            return actions;
        }
        self.next_round = now + self.settings.probe_interval;
        self.relays.retain(|it| now.since(it.sent) < self.settings.probe_interval);
        actions.extend(self.suspect_unanswered(now, rng));
        actions.extend(self.expire_suspects(now, rng));
        self.roster.remove_dead(self.settings.dead_retention, now);
        self.reached_by.retain(|_, it| now.since(*it) < MAX_REACH_AGE);
        self.lacking.retain(|_, it| now.since(*it) < MAX_REACH_AGE);
        actions.extend(self.probe(now, rng));
        actions
    }

    fn on_sender(&mut self, packet: &Packet, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let is_new = self.roster.get(&packet.from.name).is_none();
        if self.merge_record(packet.from.clone(), now) == Effect::Change {
            actions.push(Action::Changed);
        }
        if self.needs_sync(packet, is_new, now) {
            actions.push(Action::Sync(packet.from.rpc));
        }
        if let Some(stamp) = packet.config.filter(|it| Some(*it) != self.config) {
            actions.push(Action::Deliver(News::Config { stamp, in_force: true }, packet.from.rpc));
        }
        if let Some(progress) = packet.progress.filter(|it| Some(*it) != self.progress) {
            actions.push(Action::Progress(progress, packet.from.rpc));
        }
        actions
    }

    /// Returns whether to exchange rosters with the sender of a packet: with the first node that is
    /// discovered, and when the digests of several packets in a row have differed.
    fn needs_sync(&mut self, packet: &Packet, is_new: bool, now: Time) -> bool {
        if packet.roster == self.roster.digest() {
            self.differing_packets = 0;
            self.sync_wait = self.settings.min_sync_interval;
            return false;
        }
        self.differing_packets += 1;
        let is_first = is_new && self.last_sync.is_none();
        let has_waited = self.last_sync.is_none_or(|it| now.since(it) >= self.sync_wait);
        let is_due = has_waited && self.differing_packets >= self.settings.sync_threshold;
        if !is_first && !is_due {
            return false;
        }
        self.last_sync = Some(now);
        self.sync_wait = (self.sync_wait * 2).min(self.settings.max_sync_interval);
        self.differing_packets = 0;
        true
    }

    fn on_news(
        &mut self,
        news: Vec<News>,
        sender: &Record,
        now: Time,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut urgent = Vec::new();
        for item in news {
            let record = match &item {
                News::Member(record) => Some(record.clone()),
                News::State(mark) => self.resolve(mark),
                _ => {
                    actions.push(Action::Deliver(item, sender.rpc));
                    continue;
                }
            };
            let Some(record) = record else { continue };
            if self.merge_record(record, now) != Effect::Change {
                continue;
            }
            actions.push(Action::Changed);
            if item.is_urgent() {
                urgent.push(item);
            }
        }
        actions.extend(self.push(urgent, Some(sender), rng));
        actions
    }

    /// Returns the record that a mark describes, if that boot of the node is known.
    fn resolve(&self, mark: &Mark) -> Option<Record> {
        mark.apply(self.roster.by_key(mark.key)?)
    }

    /// Merges a record into the roster, or refutes it if it is wrong about this node.
    fn merge_record(&mut self, record: Record, now: Time) -> Effect {
        if record.name == self.own.name {
            self.refute(&record, now);
            return Effect::Stale;
        }
        let known = self.roster.get(&record.name).map(|it| it.incarnation.boot);
        let effect = self.roster.merge(record.clone(), now);
        if effect != Effect::Stale {
            let is_known = known == Some(record.incarnation.boot);
            let state = News::State(Mark::new(&record));
            self.outbox.push(if is_known { state } else { News::Member(record) });
        }
        effect
    }

    /// Raises the incarnation of this node above a wrong record about it.
    fn refute(&mut self, record: &Record, now: Time) {
        if !record.supersedes(&self.own) {
            return;
        }
        let boot = self.own.incarnation.boot.max(record.incarnation.boot);
        let refutation = record.incarnation.refutation + 1;
        self.own.incarnation = Incarnation { boot, refutation };
        self.roster.merge(self.own.clone(), now);
        self.outbox.push(News::Member(self.own.clone()));
    }

    fn on_ack(&mut self, number: u32) -> Option<Action> {
        if self.detector.on_ack(number) || self.herald.on_ack(number) {
            return None;
        }
        let index = self.relays.iter().position(|it| it.number == number)?;
        let relay = self.relays.swap_remove(index);
        Some(self.send(relay.requester, Kind::Ack(relay.requested_number)))
    }

    fn relay_ping(
        &mut self,
        requester: SocketAddr,
        requested: u32,
        target: &Record,
        now: Time,
    ) -> Action {
        let number = self.detector.next_number();
        self.relays.push(Relay { number, requester, requested_number: requested, sent: now });
        self.send(target.peer, Kind::Ping(number))
    }

    fn request_indirect_probes(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let timeout = self.settings.ack_timeout;
        let Some(probe) = self.detector.probe() else { return Vec::new() };
        if probe.is_indirect || now.since(probe.sent) < timeout {
            return Vec::new();
        }
        probe.is_indirect = true;
        let Probe { target, number, .. } = probe.clone();
        let Some(target) = self.roster.get(&target).cloned() else { return Vec::new() };
        let helpers = self.random_targets(self.settings.indirect_probes, Some(&target), rng);
        let ask = |it| (it, Kind::PingFor { number, target: target.clone() });
        let asks: Vec<_> = helpers.into_iter().map(ask).collect();
        asks.into_iter().map(|(helper, kind)| self.send(helper, kind)).collect()
    }

    /// Marks the node whose probe went unanswered as suspect, or as dead if it was leaving.
    fn suspect_unanswered(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let Some(probe) = self.detector.end() else { return Vec::new() };
        let Some(target) = self.roster.get(&probe.target).cloned() else { return Vec::new() };
        let suspect = match target.state {
            State::Alive => Record { state: State::Suspect, ..target },
            // A leaving node that no longer answers has stopped.
            State::Leaving => Record { state: State::Dead, ..target },
            State::Suspect | State::Dead => return Vec::new(),
        };
        let effect = self.merge_record(suspect.clone(), now);
        if effect == Effect::Stale {
            return Vec::new();
        }
        let mut actions = Vec::new();
        if effect == Effect::Change {
            actions.push(Action::Changed);
        }
        // The suspect must be notified itself, so that it can refute in time.
        let mut packet = self.empty_packet(Kind::Ping(0));
        let news = News::State(Mark::new(&suspect));
        packet.fill([news.clone()].into_iter());
        actions.push(Action::Send(suspect.peer, Box::new(packet)));
        actions.extend(self.push(vec![news], None, rng));
        actions
    }

    fn expire_suspects(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let dead = self.roster.expire_suspects(self.settings.suspicion_timeout, now);
        if dead.is_empty() {
            return Vec::new();
        }
        let news: Vec<_> = dead.iter().map(|it| News::State(Mark::new(it))).collect();
        for item in &news {
            self.outbox.push(item.clone());
        }
        let mut actions = self.push(news, None, rng);
        actions.push(Action::Changed);
        actions
    }

    fn probe(&mut self, now: Time, rng: &mut impl Rng) -> Vec<Action> {
        let mut actions = Vec::new();
        match self.detector.start(&self.roster, &self.own.name, now, rng) {
            Some((target, number)) => actions.push(self.send(target.peer, Kind::Ping(number))),
            None => actions.extend(self.probe_seed(rng)),
        }
        if rng.random_range(0..self.settings.reconnect_one_in) == 0 {
            actions.extend(self.reconnect(rng));
        }
        actions
    }

    /// Probes a random seed address.
    fn probe_seed(&mut self, rng: &mut impl Rng) -> Option<Action> {
        let seed = self.seeds.iter().copied().choose(rng)?;
        Some(self.send(seed, Kind::Ping(0)))
    }

    /// Probes a random node that is recorded as dead, or a seed that is not in the roster. A dead
    /// node is sent its recorded state, so that it can refute it.
    fn reconnect(&mut self, rng: &mut impl Rng) -> Option<Action> {
        let dead = self.roster.records().filter(|it| it.state == State::Dead);
        let known: HashSet<_> = self.roster.records().map(|it| it.peer).collect();
        let unknown = self.seeds.iter().filter(|it| !known.contains(it));
        let address = dead.map(|it| it.peer).chain(unknown.copied()).choose(rng)?;
        let record = self.roster.by_address(address).cloned();
        let mut packet = self.empty_packet(Kind::Ping(0));
        packet.fill(record.map(|it| News::State(Mark::new(&it))).into_iter());
        Some(Action::Send(address, Box::new(packet)))
    }

    /// Pushes news to a few random nodes, as much as fits one packet.
    fn push(
        &mut self,
        news: Vec<News>,
        except: Option<&Record>,
        rng: &mut impl Rng,
    ) -> Vec<Action> {
        let targets = self.random_targets(self.settings.fanout, except, rng);
        self.push_to(targets, news)
    }

    fn push_to(&self, targets: Vec<SocketAddr>, news: Vec<News>) -> Vec<Action> {
        if news.is_empty() {
            return Vec::new();
        }
        let mut packet = self.empty_packet(Kind::Push);
        packet.fill(news.into_iter());
        targets.into_iter().map(|it| Action::Send(it, Box::new(packet.clone()))).collect()
    }

    /// Sends the whole roster to the node that takes calls at the address `rpc`, in as many packets
    /// as it needs.
    pub fn send_roster(&self, rpc: SocketAddr) -> Vec<Action> {
        let Some(target) = self.roster.records().find(|it| it.rpc == rpc) else {
            return Vec::new();
        };
        let mut rest: Vec<_> = self.roster.records().cloned().map(News::Member).collect();
        let mut actions = Vec::new();
        while !rest.is_empty() {
            let mut packet = self.empty_packet(Kind::Push);
            let count = packet.fill(rest.iter().cloned()).max(1);
            rest.drain(..count);
            actions.push(Action::Send(target.peer, Box::new(packet)));
        }
        actions
    }

    fn random_targets(
        &self,
        count: usize,
        except: Option<&Record>,
        rng: &mut impl Rng,
    ) -> Vec<SocketAddr> {
        let except = except.map(|it| &it.name);
        let others = self.roster.records().filter(|it| {
            it.state != State::Dead && it.name != self.own.name && Some(&it.name) != except
        });
        others.map(|it| it.peer).sample(rng, count)
    }

    /// Sends a packet with as much queued news as fits.
    fn send(&mut self, to: SocketAddr, kind: Kind) -> Action {
        let mut packet = self.empty_packet(kind);
        let count = packet.fill_except(self.outbox.iter(), self.reserve);
        self.outbox.on_sent(count, self.roster.live_count());
        Action::Send(to, Box::new(packet))
    }

    pub(super) fn empty_packet(&self, kind: Kind) -> Packet {
        let age = self.now.since(self.last_platform_read);
        let age = age.as_millis().div_ceil(PLATFORM_AGE_UNIT.as_millis());
        let platform_age = u16::try_from(age).unwrap_or(u16::MAX);
        let reach_age = self.reached.map(|it| self.now.since(it).as_millis());
        let reach_age = reach_age.map(|it| it.div_ceil(REACH_AGE_UNIT.as_millis()));
        let reach_age = reach_age.map(|it| u8::try_from(it).unwrap_or(u8::MAX));
        Packet {
            from: self.own.clone(),
            reach_age: reach_age.or(self.may_reach.then_some(u8::MAX)),
            kind,
            config: self.config,
            progress: self.progress,
            platform_age,
            roster: self.roster.digest(),
            news: Vec::new(),
        }
    }
}
