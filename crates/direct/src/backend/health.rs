use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, header};
use http_body_util::Full;
use mimosabridge::{directory::Entry, name::Name, plan::Plan};
use mimosabridge_node::clock::Clock;
use snafu::Snafu;

use super::{Link, LinkError, Pool};

/// The path of the health check of a server whose service the configuration does not name.
const DEFAULT_PATH: &str = "/";

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

/// Asks a server for its health, over a new connection, which is kept if the answer is a success: a
/// late copy of a rejection, which names no request, would look like that of the next one. Returns the
/// name that the server gives in its answer, if any.
pub async fn ask_health(
    pool: &Pool,
    clock: Clock,
    server: &Entry,
    plan: &Plan,
    id_header: &HeaderName,
) -> Result<Option<Name>, HealthError> {
    let path = plan.service(&server.service).map_or(DEFAULT_PATH, |it| it.health_path.as_str());
    let request = Request::get(path).header(header::HOST, server.address.to_string());
    let request = request.body(Full::new(Bytes::new()))?;
    let mut link = Link::open(server.address, clock.now()).await?;
    let answer = link.exchange(request).await?;
    if answer.status().is_success() {
        pool.keep(&server.id, link, None, clock.now()).await;
    }
    let id = answer.headers().get(id_header).map(HeaderValue::to_str);
    Ok(id.and_then(Result::ok).map(Name::new))
}
