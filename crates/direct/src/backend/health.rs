use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use mimosabridge::{directory::Entry, name::Name, plan::Plan};
use mimosabridge_node::clock::Clock;
use snafu::Snafu;

use super::{LinkError, Notice, Pool};
use crate::wire::Headers;

/// The path of the health check of a server whose service the configuration does not name.
const DEFAULT_PATH: &str = "/";

/// The answer of a server to a health check.
#[derive(Clone, Debug)]
pub struct Health {
    /// The identity that the server gives, if any.
    pub id: Option<Name>,
    /// What the server says of itself.
    pub notice: Notice,
}

/// Why a server could not be asked for its health.
#[derive(Debug, Snafu)]
pub enum HealthError {
    /// The path of the health check is not valid.
    #[snafu(display("the check can't be sent: {source}"), context(false))]
    Request {
        /// The cause.
        source: http::Error,
    },
    /// The server did not answer.
    #[snafu(display("{source}"), context(false))]
    Link {
        /// The cause.
        source: LinkError,
    },
}

/// Asks a server for its health, over a new connection, which is closed then: its answer names no
/// request, so that a late copy would be taken for the answer to the next one.
pub async fn ask_health(
    pool: &Pool,
    clock: Clock,
    server: &Entry,
    plan: &Plan,
    names: &Headers,
) -> Result<Health, HealthError> {
    let path = plan.service(&server.service).map_or(DEFAULT_PATH, |it| it.health_path.as_str());
    let request = Request::get(path).header(header::HOST, server.address.to_string());
    let request = request.body(Full::new(Bytes::new()))?;
    let mut link = pool.open(server.address, clock.now()).await?;
    let answer = link.exchange(request).await?;
    let id = answer.headers().get(&names.server_id).map(HeaderValue::to_str);
    let id = id.and_then(Result::ok).map(Name::new);
    Ok(Health { id, notice: Notice::new(answer.status(), answer.headers(), names) })
}
