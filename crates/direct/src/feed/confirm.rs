//! Asks other nodes whether the store was available while this one could not read it. Otherwise the
//! removal of a server would look like an entry that lapsed in an outage, and its server would get
//! requests for seconds.

use std::time::Duration;

use futures_util::{StreamExt, stream::FuturesUnordered};
use mimosabridge::feed::{Snapshot, has_doubtful_gap, has_doubtful_removal};

use crate::{
    events,
    node::Shared,
    peers::{Exchange, Question, fetch},
};

/// How long another node may wait for the answer of the store to its own watch, which shows that the
/// store is available.
const WITNESS_WAIT: Duration = Duration::from_millis(150);

/// How long all of them may take. The changes are not in force meanwhile.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Asks other nodes if changes of the store remove an entry that may have lapsed.
pub async fn removals(shared: &Shared, exchange: &Exchange, changes: &Snapshot) {
    ask_if(shared, exchange, || {
        let state = shared.state.borrow();
        has_doubtful_removal(state.balancer.directory(), changes, shared.now())
    })
    .await;
}

/// Asks other nodes if a list of the store lacks an entry that may have lapsed.
pub async fn gap(shared: &Shared, exchange: &Exchange, list: &Snapshot) {
    ask_if(shared, exchange, || {
        let state = shared.state.borrow();
        has_doubtful_gap(state.balancer.directory(), list, shared.now())
    })
    .await;
}

/// Asks other nodes for the uptime of the store as long as there is doubt.
async fn ask_if(shared: &Shared, exchange: &Exchange, is_in_doubt: impl Fn() -> bool) {
    if !is_in_doubt() {
        return;
    }
    let witnesses = exchange.witnesses();
    let progress = shared.state.borrow().mirror.progress();
    let wait_millis = WITNESS_WAIT.as_millis() as u64;
    let question = Question { wait_millis, ..Question::new(progress) };
    let asked = witnesses.len();
    let mut replies: FuturesUnordered<_> =
        witnesses.into_iter().map(|it| fetch(it, question)).collect();
    let ask = async {
        while let Some(reply) = replies.next().await {
            // A node that does not answer can't dispel the doubt.
            let Some(uptime) = reply.ok().and_then(|it| it.uptime) else { continue };
            let uptime = uptime.uptime(shared.now());
            shared.state.borrow_mut().balancer.directory_mut().on_peer_uptime(uptime);
            if !is_in_doubt() {
                return;
            }
        }
    };
    let is_timeout = tokio::time::timeout(CONFIRM_TIMEOUT, ask).await.is_err();
    let outcome = if is_in_doubt() { "lapsed" } else { "removed" };
    events::CONFIRMED.emit(&[
        ("outcome", &outcome),
        ("asked", &asked),
        ("unanswered", &replies.len()),
        ("timeout", &is_timeout),
    ]);
}
