use std::{net::SocketAddr, rc::Rc, time::Duration};

use mimosabridge::{
    feed::{Position, Progress, Reader, Update, Upstream},
    member::Record,
};

use super::{Source, catch_up, read};
use crate::{
    events,
    node::Shared,
    peers::{Connection, Exchange, Reply},
};

/// Follows the published facts and never returns: through the store if this node reads it, else
/// through a node that does.
pub async fn follow(shared: Rc<Shared>, source: Rc<Source>, exchange: Exchange) {
    let mut reader = Reader::new(shared.now());
    let connection = Connection::new();
    let mut before = Upstream::Store;
    loop {
        let upstream = exchange.upstream();
        if upstream != before {
            let name = match &upstream {
                Upstream::Store => "store",
                Upstream::Peer(peer) => peer.name.as_str(),
            };
            let revision = shared.state.borrow().mirror.position().revision;
            events::UPSTREAM.emit(&[("upstream", &name), ("revision", &revision)]);
        }
        match &upstream {
            Upstream::Store => read::step(&shared, &source, &exchange, &mut reader).await,
            Upstream::Peer(peer) => step(&shared, &exchange, &connection, peer).await,
        }
        before = upstream;
        exchange.on_updated();
    }
}

/// Waits for an update from the reader that this node follows.
async fn step(shared: &Shared, exchange: &Exchange, connection: &Connection, peer: &Record) {
    let (progress, is_away) = {
        let state = shared.state.borrow();
        (state.mirror.progress(), state.balancer.directory().is_store_unavailable())
    };
    tokio::select! {
        result = connection.follow(peer.rpc, progress, is_away) => match result {
            Ok(reply) => on_reply(shared, exchange, progress, reply, peer.rpc),
            Err(error) => {
                events::TROUBLE.emit(&[
                    ("operation", &"follow a reader"),
                    ("peer", &peer.name),
                    ("error", &error),
                ]);
                exchange.on_upstream_failure(&peer.name);
            }
        },
        // A connection may have been lost while this process was paused.
        () = shared.resumed.notified() => {}
        () = catch_up::when_behind(shared, exchange) => {}
    }
}

fn on_reply(
    shared: &Shared,
    exchange: &Exchange,
    progress: Progress,
    reply: Reply,
    address: SocketAddr,
) {
    exchange.on_upstream_answer(reply.is_away);
    let age = Duration::from_millis(reply.contact_age_millis);
    exchange.on_contact(age);
    {
        let now = shared.now();
        let state = &mut *shared.state.borrow_mut();
        let directory = state.balancer.directory_mut();
        match reply.is_away {
            true => directory.on_store_unavailable(now),
            false => directory.on_upstream_available(reply.uptime.is_some(), now),
        }
        if let Some(uptime) = reply.uptime {
            directory.on_peer_uptime(uptime.uptime(now));
        }
    }
    if let Some(update) = reply.told {
        apply_update(shared, exchange, progress.position, update, address, age);
    }
}

/// Applies an update from a peer to the mirror, which was at `known` when the peer was asked.
/// The store answered the peer `age` ago.
pub fn apply_update(
    shared: &Shared,
    exchange: &Exchange,
    known: Position,
    update: Update,
    address: SocketAddr,
    age: Duration,
) {
    shared.on_unknown(&address, "update", update.unknown());
    let changes =
        shared.update_mirror(|mirror, balancer, now| mirror.apply(known, update, balancer, now));
    let position = shared.state.borrow().mirror.position();
    events::FETCHED.emit(&[
        ("peer", &address),
        ("era", &position.era),
        ("revision", &position.revision),
        ("known_revision", &known.revision),
        ("contact_age_millis", &age.as_millis()),
    ]);
    shared.on_changes(&changes, "peer");
    exchange.on_updated();
}
