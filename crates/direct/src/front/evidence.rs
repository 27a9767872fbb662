use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use mimosabridge::{
    directory::Entry,
    fingerprint::Fingerprint,
    name::Name,
    quarantine::{Loss, Sign},
    scatter::{Attempt, End},
};
use snafu::Snafu;

use crate::{
    backend::{Completion, Link, LinkError},
    node::Shared,
};

/// How long after a lost attempt its server is checked: a process that ends closes its connections
/// and its port one after the other, and takes seconds to start again.
const CHECK_DELAY: Duration = Duration::from_millis(100);

/// How long a check may take. It must end before the lost attempt is weighed.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);

/// The time from which an attempt that is given up counts as lost: the caller may have left because
/// there was no answer.
const GIVEN_UP_AFTER: Duration = Duration::from_secs(1);

/// Records what the end of an attempt tells about its content and its server, which has a health
/// check at a path.
pub fn record(
    shared: &Rc<Shared>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
    completion: &Completion,
    health_path: Option<&Name>,
) {
    let id = &attempt.server.id;
    let is_signed = completion.reply.as_ref().is_some_and(|it| it.signature.is_some());
    let loss = match completion.end {
        End::Served | End::Failed => return shared.on_content_answered(fingerprint, attempt),
        End::Shed => return shared.on_answered(id, attempt.sent),
        End::Invalid if is_signed => return shared.on_answered(id, attempt.sent),
        End::Misdirected => return shared.on_sign(id, Sign::Replaced),
        End::Unsent => {
            if let Some(sign) = completion.error.as_ref().and_then(LinkError::sign) {
                shared.on_sign(id, sign);
            }
            return;
        }
        // An answer without a signature may be a proxy's.
        End::Broken | End::Invalid => Loss::Broken,
        End::Silent => Loss::Silent,
    };
    record_loss(shared, fingerprint, attempt, loss, health_path);
}

/// Records that an attempt was given up without an end.
pub fn record_given_up(
    shared: &Rc<Shared>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
    health_path: Option<&Name>,
) {
    if shared.now().since(attempt.sent) >= GIVEN_UP_AFTER {
        record_loss(shared, fingerprint, attempt, Loss::Silent, health_path);
    }
}

fn record_loss(
    shared: &Rc<Shared>,
    fingerprint: Fingerprint,
    attempt: &Attempt,
    loss: Loss,
    health_path: Option<&Name>,
) {
    let server = &attempt.server;
    if !shared.on_lost(fingerprint, server, loss, attempt.sent) {
        return;
    }
    let health_path = health_path.cloned().unwrap_or_else(|| Name::new("/"));
    tokio::task::spawn_local(check(shared.clone(), server.clone(), health_path));
}

/// Checks the health of a server that did not answer, to learn whether it has ended: the requests to
/// come may avoid it until it runs again. A connection that is accepted shows nothing.
async fn check(shared: Rc<Shared>, server: Arc<Entry>, health_path: Name) {
    tokio::time::sleep(CHECK_DELAY).await;
    let since = shared.now();
    let health = tokio::time::timeout(CHECK_TIMEOUT, ask(&shared, &server, &health_path));
    match health.await {
        Ok(Ok(Some(id))) if id == server.id.as_str() => shared.on_answered(&server.id, since),
        Ok(Ok(Some(_))) => shared.on_sign(&server.id, Sign::Replaced),
        Ok(Err(CheckError::Link { source })) => {
            if let Some(sign) = source.sign() {
                shared.on_sign(&server.id, sign);
            }
        }
        // No answer, or one without a name, shows nothing.
        Ok(Ok(None) | Err(CheckError::Request { .. })) | Err(_) => {}
    }
    shared.on_checked(&server.id);
}

#[derive(Debug, Snafu)]
enum CheckError {
    #[snafu(display("the check can't be sent: {source}"), context(false))]
    Request { source: http::Error },
    #[snafu(display("{source}"), context(false))]
    Link { source: LinkError },
}

/// Asks a server for its health. Returns the name that it gives in its answer, if any.
async fn ask(
    shared: &Shared,
    server: &Entry,
    health_path: &Name,
) -> Result<Option<String>, CheckError> {
    let host = server.address.to_string();
    let request = Request::get(health_path.as_str()).header(header::HOST, host);
    let request = request.body(Full::new(Bytes::new()))?;
    let mut link = Link::open(server.address, shared.now()).await?;
    let answer = link.exchange(request).await?;
    let id = answer.headers().get(&shared.headers.server_id).map(HeaderValue::to_str);
    let id = id.and_then(Result::ok).map(str::to_owned);
    shared.pool.keep(&server.id, link, shared.now()).await;
    Ok(id)
}
