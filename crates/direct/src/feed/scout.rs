use std::{rc::Rc, time::Duration};

use mimosabridge::feed::{ANSWER_TIMEOUT, SCOUT_WAIT};
use mimosabridge_node::timer;
use tokio::sync::mpsc;

use super::{Source, confirm, read};
use crate::{events, node::Shared, peers::Exchange};

/// Watches the store beside the readers whenever it is this node's turn. Never returns while the
/// timer runs.
pub async fn scout(
    shared: Rc<Shared>,
    source: Rc<Source>,
    exchange: Exchange,
    mut ticks: mpsc::Receiver<timer::Tick>,
) {
    while ticks.recv().await.is_some() {
        if exchange.is_scout_due() {
            watch(&shared, &source, &exchange).await;
        }
    }
}

/// Watches once. Whether a new list is needed is left to the readers.
async fn watch(shared: &Shared, source: &Source, exchange: &Exchange) {
    let after = shared.state.borrow().mirror.position();
    if after.is_start() {
        return;
    }
    shared.metrics.store_calls.inc();
    let sent = shared.now();
    let result = tokio::select! {
        result = (source.watch)(after, SCOUT_WAIT, ANSWER_TIMEOUT) => result,
        // A connection may have been lost while this process was paused.
        () = shared.resumed.notified() => return,
    };
    match result {
        Ok(delta) if delta.position.continues(&after) => {
            exchange.on_contact(Duration::ZERO);
            let now = shared.now();
            shared.state.borrow_mut().balancer.directory_mut().on_store_available(sent, now);
            confirm::removals(shared, exchange, &delta).await;
            read::apply(shared, exchange, |mirror, balancer, now| {
                mirror.extend(after, delta, balancer, now)
            });
            exchange.on_updated();
        }
        Ok(delta) => read::log_discontinued(&after, &delta.position),
        Err(error) => {
            shared.metrics.store_failures.inc();
            events::SCOUT_FAILED.emit(&[("revision", &after.revision), ("error", &error)]);
        }
    }
}
