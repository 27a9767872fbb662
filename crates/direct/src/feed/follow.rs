use std::{net::SocketAddr, rc::Rc, time::Duration};

use mimosabridge::{
    feed::{Reader, Update, Upstream},
    member::Record,
};

use super::{Source, catch_up, read};
use crate::{
    events,
    node::Shared,
    peers::{Exchange, Line, Reply},
};

/// Follows what is published for ever: through the store if this node reads it, else through a
/// node that does.
pub async fn follow(shared: Rc<Shared>, source: Rc<Source>, exchange: Exchange) {
    let mut reader = Reader::new(shared.now());
    let line = Line::new();
    let mut before = Upstream::Store;
    loop {
        let upstream = exchange.upstream();
        if upstream != before {
            let name = match &upstream {
                Upstream::Store => "store",
                Upstream::Peer(peer) => peer.name.as_str(),
            };
            let revision = shared.beliefs.borrow().mirror.revision();
            events::UPSTREAM.emit(&[("upstream", &name), ("revision", &revision)]);
        }
        match &upstream {
            Upstream::Store => read::step(&shared, &source, &exchange, &mut reader).await,
            Upstream::Peer(peer) => step(&shared, &exchange, &line, peer).await,
        }
        before = upstream;
        exchange.on_learned();
    }
}

/// Waits for something new from the reader that this node follows.
async fn step(shared: &Shared, exchange: &Exchange, line: &Line, peer: &Record) {
    let (revision, is_away) = {
        let beliefs = shared.beliefs.borrow();
        (beliefs.mirror.revision(), beliefs.balancer.directory().is_store_unavailable())
    };
    tokio::select! {
        result = line.follow(peer.rpc, revision, is_away) => match result {
            Ok(reply) => on_reply(shared, exchange, revision, reply, peer.rpc),
            Err(error) => {
                events::TROUBLE.emit(&[
                    ("operation", &"follow a reader"),
                    ("peer", &peer.name),
                    ("error", &error),
                ]);
                exchange.on_upstream_failure(&peer.name);
            }
        },
        // A connection may not have outlived the sleep of this process.
        () = shared.woken.notified() => {}
        () = catch_up::when_behind(shared, exchange) => {}
    }
}

fn on_reply(
    shared: &Shared,
    exchange: &Exchange,
    revision: u64,
    reply: Reply,
    address: SocketAddr,
) {
    exchange.on_upstream_answer(reply.is_away);
    let age = Duration::from_millis(reply.contact_age_millis);
    exchange.on_contact(age);
    {
        let now = shared.now();
        let beliefs = &mut *shared.beliefs.borrow_mut();
        match reply.is_away {
            true => beliefs.balancer.directory_mut().on_store_unavailable(),
            false => beliefs.balancer.directory_mut().on_store_available(now),
        }
    }
    if let Some(told) = reply.told {
        learn(shared, exchange, revision, told, address, age);
    }
}

/// Takes what a peer told a node that knew what is published up to `revision`. The store answered
/// the peer `age` ago.
pub fn learn(
    shared: &Shared,
    exchange: &Exchange,
    revision: u64,
    told: Update,
    address: SocketAddr,
    age: Duration,
) {
    let news = {
        let beliefs = &mut *shared.beliefs.borrow_mut();
        beliefs.mirror.apply(revision, told, &mut beliefs.balancer, shared.now())
    };
    let known = shared.beliefs.borrow().mirror.revision();
    events::FETCHED.emit(&[
        ("peer", &address),
        ("revision", &known),
        ("known_revision", &revision),
        ("contact_age_millis", &age.as_millis()),
    ]);
    shared.on_news(&news, "peer");
    exchange.on_learned();
}
