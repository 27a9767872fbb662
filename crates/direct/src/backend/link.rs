use std::{
    future::poll_fn,
    io::ErrorKind,
    net::SocketAddr,
    pin::pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::client::conn::http1::{self, Connection, SendRequest};
use hyper_util::rt::TokioIo;
use mimosabridge::{quarantine::Sign, time::Time};
use snafu::{ResultExt, Snafu};
use tokio::net::TcpSocket;

use super::{
    Memory,
    limited::{Allowance, Examination, Limited},
    screen::{Filter, Screen},
};
use crate::wire::collect;

/// How long a connection may take to open. A server that does not answer by then is unreachable:
/// a round trip takes a few milliseconds, and an overloaded server resets instead of waiting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The most bytes of an answer that are read, with its head. What all answers of a node take together is
/// bounded by [`Memory`].
const MAX_ANSWER_BYTES: usize = 1_024 * 1_024;

type Body = Full<Bytes>;
type Driver = Connection<TokioIo<Screen>, Body>;

/// A connection to a backend server. It makes progress only while one of its methods is polled.
pub struct Link {
    sender: SendRequest<Body>,
    /// `None` once the connection has ended.
    driver: Option<Driver>,
    allowance: Allowance,
    examination: Examination,
    filter: Filter,
    /// When the connection was last used.
    pub last_used: Time,
    /// The identity of the last request that was sent over the connection, if there was one.
    pub last_id: Option<HeaderValue>,
}

/// Whether a connection has carried requests, whose answers may be repeated late.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum History {
    /// It has carried none.
    New,
    /// It has carried some.
    Used,
}

/// The error of a connection.
#[derive(Debug, Snafu)]
pub enum LinkError {
    /// No connection could be opened.
    #[snafu(display("connecting failed: {source}"))]
    Connect {
        /// The cause.
        source: std::io::Error,
    },
    /// The connection took too long to open.
    #[snafu(display("connecting timed out"))]
    ConnectTimeout,
    /// The answer is too long, or has no end.
    #[snafu(display(
        "the answer is longer than {MAX_ANSWER_BYTES} bytes, or than the node has memory for"
    ))]
    TooLong,
    /// The connection broke, or the data received over it is not HTTP.
    #[snafu(display("the exchange failed: {source}"))]
    Exchange {
        /// The cause.
        source: hyper::Error,
    },
}

impl LinkError {
    /// Returns what the error shows about the end of the server, if anything. A reset does not: a
    /// server without room resets new connections.
    pub fn sign(&self) -> Option<Sign> {
        let LinkError::Connect { source } = self else {
            return matches!(self, LinkError::ConnectTimeout).then_some(Sign::Unreachable);
        };
        match source.kind() {
            ErrorKind::ConnectionRefused => Some(Sign::Refused),
            ErrorKind::ConnectionReset => None,
            _ => Some(Sign::Unreachable),
        }
    }
}

impl Link {
    /// Opens a connection, whose answers count in `memory`.
    pub async fn open(address: SocketAddr, memory: Memory, now: Time) -> Result<Link, LinkError> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        let socket = socket.context(ConnectSnafu)?;
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, socket.connect(address));
        let Ok(stream) = connect.await else { return ConnectTimeoutSnafu.fail() };
        let stream = stream.context(ConnectSnafu)?;
        stream.set_nodelay(true).context(ConnectSnafu)?;
        let allowance = Allowance::new(MAX_ANSWER_BYTES, memory);
        let (examination, filter) = (Examination::default(), Filter::default());
        let stream = Limited::new(stream, allowance.clone(), examination.clone());
        let stream = TokioIo::new(Screen::new(stream, filter.clone()));
        let (sender, driver) = http1::handshake(stream).await.context(ExchangeSnafu)?;
        let driver = Some(driver);
        Ok(Link { sender, driver, allowance, examination, filter, last_used: now, last_id: None })
    }

    /// Returns whether the connection has carried requests.
    pub fn history(&self) -> History {
        if self.last_id.is_some() { History::Used } else { History::New }
    }

    /// Passes over copies of the answer to the last request, which the header `name` names, until the
    /// next answer comes.
    pub fn pass_over_copies(&mut self, name: &HeaderName) {
        if let Some(id) = &self.last_id {
            self.filter.set_past(name, id);
        }
    }

    /// Returns how many copies were passed over since the last call.
    pub fn take_copies(&mut self) -> usize {
        self.filter.take_copies()
    }

    /// Sends a request and returns the answer with its complete body.
    pub async fn exchange(&mut self, request: Request<Body>) -> Result<Response<Bytes>, LinkError> {
        let Link { sender, driver, allowance, .. } = self;
        drop(allowance.reset(MAX_ANSWER_BYTES));
        let work = async {
            let (head, body) = sender.send_request(request).await?.into_parts();
            let body = collect(body).await?;
            Ok(Response::from_parts(head, body))
        };
        let result = drive(driver, work).await;
        let is_exhausted = allowance.is_exhausted();
        let charge = allowance.reset(MAX_ANSWER_BYTES);
        match result {
            Ok(answer) => Ok(answer.map(|it| charge.bind(it))),
            Err(_) if is_exhausted => TooLongSnafu.fail(),
            Err(error) => Err(error).context(ExchangeSnafu),
        }
    }

    /// Returns whether another request can be sent: the connection is open, and no data has
    /// arrived that belongs to no request.
    pub async fn is_usable(&mut self) -> bool {
        let Link { sender, driver, examination, .. } = self;
        examination.set(true);
        drive(driver, async {}).await;
        examination.set(false);
        driver.is_some() && !sender.is_closed() && sender.is_ready()
    }
}

/// Polls a connection together with a future that depends on it, and returns the future's output.
async fn drive<T>(driver: &mut Option<Driver>, work: impl Future<Output = T>) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        advance(driver, context);
        let result = work.as_mut().poll(context);
        if result.is_pending() {
            // Writes a request that the work has just made: the time that it states is left passes.
            advance(driver, context);
        }
        result
    })
    .await
}

fn advance(driver: &mut Option<Driver>, context: &mut Context<'_>) {
    if let Some(connection) = driver
        && let Poll::Ready(_end) = std::pin::Pin::new(connection).poll(context)
    {
        // The error of the connection is also returned by the work that waits on it.
        *driver = None;
    }
}
