use std::{rc::Rc, time::Duration};

use crate::{
    events,
    node::Shared,
    peers::{Exchange, Question, fetch},
};

/// How soon after its start, and after a try in vain, a node asks others.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// How often a node tries before it assumes that it runs alone.
const MAX_TRIES: u32 = 10;

/// Asks other nodes after the start which entries were removed last: a late write of such a server would look like the
/// entry of a new one.
pub async fn learn_removed(shared: Rc<Shared>, exchange: Exchange) {
    for _ in 0..MAX_TRIES {
        tokio::time::sleep(ASK_INTERVAL).await;
        let mut has_answer = false;
        for address in exchange.witnesses() {
            let progress = shared.state.borrow().mirror.progress();
            let question = Question { wants_removed: true, ..Question::new(progress) };
            let reply = match fetch(address, question).await {
                Ok(reply) => reply,
                Err(error) => {
                    events::TROUBLE.emit(&[
                        ("operation", &"ask for removed entries"),
                        ("peer", &address),
                        ("error", &error),
                    ]);
                    continue;
                }
            };
            has_answer = true;
            let count = reply.removed.len();
            let state = &mut *shared.state.borrow_mut();
            for (id, edition) in reply.removed {
                state.balancer.directory_mut().note_removed(id, edition);
            }
            // A node that has just started, too, knows none.
            if count > 0 {
                events::LEARNED.emit(&[("peer", &address), ("removed", &count)]);
                return;
            }
        }
        if has_answer {
            return;
        }
    }
}
