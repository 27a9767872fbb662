use std::{rc::Rc, sync::Arc, time::Duration};

use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    quarantine::{Loss, Sign},
    scatter::{Attempt, End},
};

use crate::{
    backend::{Link, LinkError},
    node::Shared,
};

/// How long after a lost attempt its server is checked: a process that ends closes its connections
/// and its port one after the other, and takes seconds to start again.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// Records what the end of an attempt tells about crashes of its server.
pub fn record(
    shared: &Rc<Shared>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
    end: End,
    error: Option<&LinkError>,
) {
    let server = &attempt.server;
    let loss = match end {
        End::Broken => Loss::Broken,
        End::Silent => Loss::Silent,
        End::Misdirected => return shared.on_sign(&server.id, Sign::Replaced, "own attempt"),
        End::Unsent => {
            if let Some(sign) = error.and_then(LinkError::sign) {
                shared.on_sign(&server.id, sign, "own attempt");
            }
            return;
        }
        End::Served | End::Failed | End::Shed | End::Invalid => {
            return shared.on_reached(&server.id, attempt.sent);
        }
    };
    if shared.on_lost(fingerprint, server, loss, attempt.sent) {
        tokio::task::spawn_local(check(shared.clone(), server.clone()));
    }
}

/// Opens a connection to a server that did not answer, to find out whether it has crashed: the
/// requests to come may avoid it until it runs again. The connection is kept for them.
async fn check(shared: Rc<Shared>, server: Arc<Entry>) {
    tokio::time::sleep(CHECK_DELAY).await;
    let now = shared.now();
    match Link::open(server.address, now).await {
        Ok(link) => {
            shared.on_reached(&server.id, now);
            shared.pool.keep(&server.id, link, now).await;
        }
        Err(error) => {
            let Some(sign) = error.sign() else { return };
            shared.on_sign(&server.id, sign, "check");
        }
    }
}
