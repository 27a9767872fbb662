use std::time::Duration;

use super::follow::apply_update;
use crate::{
    events,
    node::Shared,
    peers::{Exchange, Question, fetch},
};

/// How often a node asks a peer while the store is unavailable.
const POLL_INTERVAL: Duration = Duration::from_millis(600);

/// While the store is unavailable, fetches from a peer as soon as one is ahead, and otherwise every
/// [`POLL_INTERVAL`]. Never returns.
pub async fn while_unavailable(shared: &Shared, exchange: &Exchange, is_unavailable: bool) {
    if !is_unavailable {
        return std::future::pending().await;
    }
    loop {
        tokio::select! {
            () = exchange.wait_until_behind() => {
                if !fetch_from_peer(shared, exchange).await {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
            }
            () = tokio::time::sleep(POLL_INTERVAL) => {
                fetch_from_peer(shared, exchange).await;
            }
        }
    }
}

/// Returns once peers have been ahead for a while, which suggests that the watch of this node is
/// stuck, and an update was fetched from one of them.
pub async fn when_behind(shared: &Shared, exchange: &Exchange) {
    loop {
        exchange.wait_until_due().await;
        if fetch_from_peer(shared, exchange).await {
            exchange.on_update();
            return;
        }
        exchange.on_nothing_new();
    }
}

/// Fetches the published facts from a peer. Returns whether it had an update.
async fn fetch_from_peer(shared: &Shared, exchange: &Exchange) -> bool {
    let Some(address) = exchange.peer_to_ask() else { return false };
    let progress = shared.state.borrow().mirror.progress();
    let reply = match fetch(address, Question::new(progress)).await {
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
    exchange.on_contact(age);
    let now = shared.now();
    {
        let state = &mut *shared.state.borrow_mut();
        let directory = state.balancer.directory_mut();
        directory.on_peer_contact(now.before(age));
        if let Some(uptime) = reply.uptime {
            directory.on_peer_uptime(uptime.uptime(now));
        }
    }
    let Some(update) = reply.told else { return false };
    apply_update(shared, exchange, progress.position, update, address, age);
    true
}
