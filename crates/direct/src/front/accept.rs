use std::{rc::Rc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosabridge::{plan::Limits, stop::Phase};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::serve::serve;
use crate::{events, node::Shared, peers::Exchange};

/// The pause after a connection could not be accepted, for want of descriptors as a rule.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a caller's connection may be silent before it is probed, and between probes.
const KEEPALIVE: Duration = Duration::from_secs(5);

/// The least buffer that the HTTP library takes.
const BUFFER_LEAST: usize = 8 * 1024;

/// Takes the connections of callers until the stop closes the door.
pub async fn accept(
    shared: Rc<Shared>,
    listener: TcpListener,
    phase: watch::Receiver<Option<Phase>>,
    exchange: Exchange,
) {
    let mut door = phase.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (shared, phase) = (shared.clone(), phase.clone());
                    tokio::task::spawn_local(connection(shared, stream, phase, exchange.clone()));
                }
                Err(error) => {
                    events::TROUBLE.emit(&[("operation", &"accept"), ("error", &error)]);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = door.wait_for(|it| *it >= Some(Phase::Closing)) => return,
        }
    }
}

async fn connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    mut phase: watch::Receiver<Option<Phase>>,
    exchange: Exchange,
) {
    let limits = shared.plan().map_or_else(Limits::default, |it| *it.limits());
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE);
    // Without these the connection works all the same, only slower or longer.
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(&stream).set_tcp_keepalive(&keepalive);
    let service = service_fn(|request| serve(shared.clone(), exchange.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The time counts from the last answer, so that it covers an idle connection.
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(BUFFER_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // How the connection ends concerns the caller alone.
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|it| *it >= Some(Phase::Closing)) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
