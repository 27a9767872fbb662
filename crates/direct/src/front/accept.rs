use std::{
    borrow::Cow,
    cell::{Cell, RefCell},
    convert::Infallible,
    io,
    pin::Pin,
    rc::Rc,
    time::Duration,
};

use futures_util::poll;
use http::{HeaderValue, Request, Version};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosabridge::{plan::Limits, stop::Phase};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::{
    connection::{State, Transport},
    serve::{Origin, serve},
};
use crate::{events, node::Shared, wire};

/// How long to wait after a connection could not be accepted, usually for lack of descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// The idle time of a caller's connection before the first TCP keepalive probe, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// The smallest buffer size that the HTTP library accepts.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts connections of callers or other nodes until the planned stop closes the listener.
pub async fn accept(
    shared: Rc<Shared>,
    listener: TcpListener,
    phase: watch::Receiver<Option<Phase>>,
    origin: Origin,
) {
    let _listening = Listening::new(shared.clone());
    let serve = |stream| {
        let open = Open::new(shared.clone());
        tokio::task::spawn_local(connection(shared.clone(), stream, open, phase.clone(), origin));
    };
    let mut closing = phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => serve(stream),
                Err(error) => {
                    events::TROUBLE.emit(&[("operation", &"accept"), ("error", &error)]);
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
            _ = closing.wait_for(|it| *it >= Some(Phase::Closing)) => break,
        }
    }
    if let Err(error) = take_waiting(listener, serve) {
        events::TROUBLE.emit(&[("operation", &"accept"), ("error", &error)]);
    }
}

/// Closes a listener after it has accepted the connections that wait, which would be reset.
fn take_waiting(listener: TcpListener, serve: impl Fn(TcpStream)) -> io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                serve(TcpStream::from_std(stream)?);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

async fn connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    open: Open,
    mut phase: watch::Receiver<Option<Phase>>,
    origin: Origin,
) {
    let limits = shared.plan().map_or_else(Limits::default, |it| *it.limits());
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    // Errors are ignored: without these options the connection still works, but adds latency or
    // stays open longer after the caller is gone.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let state = open.state.clone();
    let stream = Transport::new(stream, state.clone());
    let has_request = Cell::new(false);
    let service = service_fn(async |request: Request<Incoming>| {
        has_request.set(true);
        open.id.replace(request.headers().get(&shared.headers.request_id).cloned());
        let is_last = request.version() < Version::HTTP_11 || wire::closes(request.headers());
        let answer = serve(shared.clone(), request, origin, &state).await;
        state.on_answer(is_last || wire::closes(answer.headers()));
        Ok::<_, Infallible>(answer)
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timeout counts from the last answer, so it includes the idle time of the connection.
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // Requests that have already arrived are read before an idle connection is closed.
        biased;
        // An error of the connection matters only to the caller.
        _ = &mut connection => return,
        _ = phase.wait_for(|it| *it >= Some(Phase::Closing)) => {}
    }
    state.begin_close();
    if poll!(&mut connection).is_ready() {
        return;
    }
    if state.is_partial() {
        // The connection isn't idle: it closes after the answer.
        tokio::select! {
            _ = &mut connection => return,
            () = shared.answers_due() => {}
        }
        if poll!(&mut connection).is_ready() {
            return;
        }
    }
    if state.is_partial() && !has_request.get() {
        // The HTTP server would wait for the rest of a first head. Its caller is told that it has not run;
        // an error matters only to that caller.
        let _ = connection.into_parts().io.into_inner().shutdown().await;
        return;
    }
    Pin::new(&mut connection).graceful_shutdown();
    // An error of the connection matters only to the caller.
    let _ = connection.await;
}

/// Counts an address as one at which the node accepts connections until dropped.
struct Listening {
    shared: Rc<Shared>,
}

impl Listening {
    fn new(shared: Rc<Shared>) -> Listening {
        shared.state.borrow_mut().load.listeners += 1;
        Listening { shared }
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.shared.state.borrow_mut().load.listeners -= 1;
    }
}

/// Counts a connection as open until dropped.
struct Open {
    shared: Rc<Shared>,
    state: Rc<State>,
    /// The identity of the latest request.
    id: RefCell<Option<HeaderValue>>,
}

impl Open {
    fn new(shared: Rc<Shared>) -> Open {
        shared.state.borrow_mut().load.connections += 1;
        Open { shared, state: Rc::default(), id: RefCell::default() }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let mut state = self.shared.state.borrow_mut();
        state.load.connections -= 1;
        if !self.state.is_write_blocked() {
            return;
        }
        let id = self.id.take();
        let id = id.as_ref().map_or(Cow::default(), |it| String::from_utf8_lossy(it.as_bytes()));
        events::UNSENT.emit(&[("id", &id), ("stopping", &state.stop.is_some())]);
    }
}
