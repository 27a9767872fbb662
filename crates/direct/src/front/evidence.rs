use std::{rc::Rc, sync::Arc, time::Duration};

use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    plan::Plan,
    quarantine::{Loss, Sign},
    scatter::{Attempt, End},
};

use crate::{
    backend::{Completion, Health, HealthError, LinkError, ask_health},
    node::Shared,
};

/// How long after a lost attempt its server is checked: a process that ends closes its connections
/// and its port one after the other, and takes seconds to start again.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// How long a check may take. It must end before the lost attempt is weighed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(350);

/// The time from which an attempt that is given up counts as lost: the caller may have left because
/// there was no answer.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(1);

/// The time from which an attempt that is given up shows that its server may not be reached.
const UNREACHED_AFTER: Duration = Duration::from_millis(300);

/// Records what the end of an attempt tells about its content, its server and the network.
pub fn record(
    shared: &Rc<Shared>,
    plan: &Arc<Plan>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
    completion: &Completion,
) {
    let id = &attempt.server.id;
    match completion.end {
        End::Served | End::Failed | End::Shed | End::Resting | End::Misdirected | End::Invalid => {
            shared.on_reached();
        }
        End::Broken => shared.on_unreached(id),
        End::Silent => shared.on_silence(id),
        End::Unsent => {}
    }
    let is_signed = completion.reply.as_ref().is_some_and(|it| it.signature.is_some());
    let loss = match completion.end {
        End::Served | End::Failed => return shared.on_content_answered(fingerprint, attempt),
        End::Shed | End::Resting => return shared.on_answered(id, attempt.sent),
        End::Invalid if is_signed => return shared.on_answered(id, attempt.sent),
        End::Misdirected => return shared.on_sign(id, Sign::Replaced),
        End::Unsent => {
            if let Some(sign) = completion.error.as_ref().and_then(LinkError::sign) {
                shared.on_sign(id, sign);
                shared.on_unreached(id);
            }
            return;
        }
        // An answer without a signature may be a proxy's.
        End::Broken | End::Invalid => Loss::Broken,
        End::Silent => Loss::Silent,
    };
    record_loss(shared, plan, fingerprint, attempt, loss);
}

/// Records that an attempt was given up without an end.
pub fn record_given_up(
    shared: &Rc<Shared>,
    plan: &Arc<Plan>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
) {
    let age = shared.now().since(attempt.sent);
    if age >= UNREACHED_AFTER {
        shared.on_silence(&attempt.server.id);
    }
    if age >= GIVEN_UP_AFTER {
        record_loss(shared, plan, fingerprint, attempt, Loss::Silent);
    }
}

fn record_loss(
    shared: &Rc<Shared>,
    plan: &Arc<Plan>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
    loss: Loss,
) {
    let server = &attempt.server;
    let must_check = shared.on_lost(fingerprint, server, loss, attempt.sent);
    shared.weigh_in_time();
    if must_check {
        tokio::task::spawn_local(check(shared.clone(), server.clone(), plan.clone()));
    }
}

/// Checks the health of a server that did not answer, to learn whether it has ended: the requests to
/// come may avoid it until it runs again. A connection that is accepted shows nothing.
async fn check(shared: Rc<Shared>, server: Arc<Entry>, plan: Arc<Plan>) {
    tokio::time::sleep(CHECK_DELAY).await;
    let since = shared.now();
    if shared.is_resting(&server) {
        return shared.on_checked(&server.id);
    }
    let Shared { pool, clock, headers, .. } = &*shared;
    let health = ask_health(pool, *clock, &server, &plan, headers);
    match tokio::time::timeout(CHECK_TIMEOUT, health).await {
        Ok(Ok(Health { id: Some(id), notice })) if id == server.id => {
            shared.on_notice(&server, notice, "health check");
            shared.on_answered(&server.id, since);
        }
        Ok(Ok(Health { id: Some(_), .. })) => shared.on_sign(&server.id, Sign::Replaced),
        Ok(Err(HealthError::Link { source })) => {
            if let Some(sign) = source.sign() {
                shared.on_sign(&server.id, sign);
            }
        }
        // No answer, or one without a name, shows nothing.
        Ok(Ok(Health { id: None, .. }) | Err(HealthError::Request { .. })) | Err(_) => {}
    }
    shared.on_checked(&server.id);
}
