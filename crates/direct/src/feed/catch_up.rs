use std::time::Duration;

use super::follow::learn;
use crate::{
    events,
    node::Shared,
    peers::{Exchange, Question, fetch},
};

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
            _ = exchange.behind() => {
                if !ask(shared, exchange).await {
                    tokio::time::sleep(ASK_PERIOD).await;
                }
            }
            () = tokio::time::sleep(ASK_PERIOD) => {
                ask(shared, exchange).await;
            }
        }
    }
}

/// Returns once peers have been ahead for a while, as if the watch of this node were stuck, and one
/// of them was asked.
pub async fn when_behind(shared: &Shared, exchange: &Exchange) {
    loop {
        let due = exchange.behind().await;
        tokio::time::sleep_until(shared.clock.instant(due)).await;
        if exchange.is_behind() {
            if ask(shared, exchange).await {
                return;
            }
            exchange.on_vain();
        }
    }
}

/// Asks some peer for what is published. Returns whether it knew more.
async fn ask(shared: &Shared, exchange: &Exchange) -> bool {
    let Some(address) = exchange.some_peer() else { return false };
    let revision = shared.beliefs.borrow().mirror.revision();
    let question = Question { revision, is_away: false, wait_millis: 0 };
    let reply = match fetch(address, question).await {
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
        exchange.on_contact(age);
        let now = shared.now();
        shared.beliefs.borrow_mut().balancer.directory_mut().on_store_available(now);
    }
    let Some(told) = reply.told else { return false };
    learn(shared, exchange, revision, told, address, age);
    true
}
