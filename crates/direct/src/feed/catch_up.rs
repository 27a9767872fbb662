use std::{net::SocketAddr, time::Duration};

use super::follow::replace;
use crate::{
    events,
    node::Shared,
    peers::{Exchange, fetch},
};

/// How long a peer may be ahead of this node before this node suspects its own watch: answers are
/// gathered, and nodes are told at different times.
const BEHIND_TIME: Duration = Duration::from_millis(1_300);

/// How often a node that has lost the store asks a peer.
const ASK_PERIOD: Duration = Duration::from_millis(600);

/// How fresh the contact of a peer with the store must be to stand for this node's own.
const CONTACT_AGE: Duration = Duration::from_secs(9);

/// While the store counts as lost, asks a peer as soon as one is ahead, and from time to time in
/// any case. Never returns.
pub async fn while_lost(shared: &Shared, exchange: &Exchange, is_lost: bool) {
    if !is_lost {
        return std::future::pending().await;
    }
    loop {
        tokio::select! {
            (address, _) = exchange.ahead() => {
                if !from(shared, exchange, address).await {
                    exchange.forget_ahead();
                }
            }
            () = tokio::time::sleep(ASK_PERIOD) => {
                if let Some(address) = exchange.some_peer() {
                    from(shared, exchange, address).await;
                }
            }
        }
    }
}

/// Returns once a peer has been ahead for long, and was asked.
pub async fn when_behind(shared: &Shared, exchange: &Exchange) {
    loop {
        let (address, since) = exchange.ahead().await;
        let due = shared.clock.instant(since + BEHIND_TIME);
        tokio::time::sleep_until(due).await;
        if exchange.is_behind() && from(shared, exchange, address).await {
            return;
        }
        exchange.forget_ahead();
    }
}

/// Asks a peer for what is published. Returns whether it knew more.
async fn from(shared: &Shared, exchange: &Exchange, address: SocketAddr) -> bool {
    let revision = shared.beliefs.borrow().book.revision();
    let reply = match fetch(address, revision).await {
        Ok(reply) => reply,
        Err(error) => {
            let operation = "fetch from a peer";
            events::TROUBLE.emit(&[
                ("operation", &operation),
                ("peer", &address),
                ("error", &error),
            ]);
            return false;
        }
    };
    let age = Duration::from_millis(reply.contact_age_millis);
    if age <= CONTACT_AGE {
        let now = shared.now();
        shared.beliefs.borrow_mut().balancer.directory_mut().on_store_back(now);
    }
    let Some(snapshot) = reply.snapshot else { return false };
    events::FETCHED.emit(&[
        ("peer", &address),
        ("revision", &snapshot.revision),
        ("known_revision", &revision),
        ("contact_age_millis", &reply.contact_age_millis),
    ]);
    let news = replace(shared, snapshot);
    shared.on_news(&news, "peer");
    exchange.set_revision(shared.beliefs.borrow().book.revision());
    true
}
