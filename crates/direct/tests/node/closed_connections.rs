//! Connections that a planned stop closes while requests arrive.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use mimosabridge::stop::Phase;
use mimosabridge_direct::{
    front::{Origin, accept},
    node::Shared,
};
use rstest::rstest;
use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::yield_now,
    time::timeout,
};

use crate::env::{balance_settings, headers, run, wait_until};

/// The grace time of a stop.
const GRACE: Duration = Duration::from_secs(6);

/// The same, so short that the final answers are due soon.
const SHORT_GRACE: Duration = Duration::from_secs(1);

/// How long the node may take to answer: well before the end of the stop.
const ANSWER_TIME: Duration = Duration::from_secs(4);

const REQUEST: &str = "GET /x HTTP/1.1\r\nhost: search.example\r\nx-id: r1\r\n\r\n";

/// A front without a configuration, which refuses all requests.
struct Front {
    shared: Rc<Shared>,
    address: SocketAddr,
    phases: watch::Sender<Option<Phase>>,
}

impl Front {
    async fn start() -> Front {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let shared = Rc::new(Shared::new(headers(), balance_settings(), 1));
        let (phases, phase) = watch::channel(None);
        tokio::task::spawn_local(accept(shared.clone(), listener, phase, Origin::Caller));
        Front { shared, address, phases }
    }

    /// Closes the connections, as in a planned stop with a grace time.
    fn close(&self, grace: Duration) {
        self.shared.begin_stop(grace, self.shared.now());
        self.phases.send_replace(Some(Phase::Closing));
    }

    /// Opens a connection that has carried a request.
    async fn connect_used(&self) -> TcpStream {
        let mut caller = TcpStream::connect(self.address).await.expect("the node listens");
        caller.writable().await.expect("the connection is open");
        send(&caller, REQUEST);
        assert_eq!(answer(&mut caller).await.as_deref(), Some("503"));
        caller
    }

    fn connections(&self) -> usize {
        self.shared.state.borrow().load.connections
    }
}

/// Writes bytes at once, so that the node does not run meanwhile.
fn send(caller: &TcpStream, text: &str) {
    assert_eq!(caller.try_write(text.as_bytes()).ok(), Some(text.len()));
}

/// Returns the status of the next answer, or nothing if the connection ends without one.
async fn answer(caller: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![0; 4_096];
    let count =
        timeout(ANSWER_TIME, caller.read(&mut bytes)).await.expect("an end in time").ok()?;
    let text = String::from_utf8_lossy(&bytes[..count]).into_owned();
    Some(text.split(' ').nth(1)?.to_owned())
}

/// Guards against a request that is left unread as its idle connection is closed.
#[test]
fn crossing_request_unread() {
    run(async {
        let front = Front::start().await;
        let mut caller = front.connect_used().await;
        send(&caller, REQUEST);
        front.close(GRACE);
        assert_eq!(answer(&mut caller).await.as_deref(), Some("503"));
    });
}

/// Guards against callers that wait to be accepted as the listener is closed.
#[test]
fn waiting_caller_reset() {
    run(async {
        let front = Front::start().await;
        front.connect_used().await;
        let caller = std::net::TcpStream::connect(front.address).expect("the node listens");
        std::io::Write::write_all(&mut &caller, REQUEST.as_bytes()).expect("the buffer has room");
        front.close(GRACE);
        caller.set_nonblocking(true).expect("the socket is valid");
        let mut caller = TcpStream::from_std(caller).expect("the runtime takes the socket");
        assert_eq!(answer(&mut caller).await.as_deref(), Some("503"));
    });
}

/// Guards against a connection that is closed without a notice: a request that crosses the close may be
/// repeated only if its caller knows that it has not run.
#[rstest]
#[case::idle(REQUEST, "", GRACE)]
#[case::unused("", "", GRACE)]
#[case::partly_read(REQUEST, "GET /x HTTP/1.1\r\nhost: ", SHORT_GRACE)]
#[case::first_partly_read("", "GET /x HTTP/1.1\r\nhost: ", SHORT_GRACE)]
fn closed_without_notice(#[case] before: &str, #[case] part: &str, #[case] grace: Duration) {
    run(async {
        let front = Front::start().await;
        let mut caller = TcpStream::connect(front.address).await.expect("the node listens");
        caller.writable().await.expect("the connection is open");
        if !before.is_empty() {
            send(&caller, before);
            assert_eq!(answer(&mut caller).await.as_deref(), Some("503"));
        }
        wait_until(|| front.connections() == 1).await;
        send(&caller, part);
        for _ in 0..200 {
            yield_now().await;
        }
        front.close(grace);
        assert_eq!(answer(&mut caller).await.as_deref(), Some("408"));
        assert_eq!(answer(&mut caller).await, None, "the connection is closed");
    });
}

/// An answer that announces the close is followed by no notice.
#[test]
fn noticed_once() {
    run(async {
        let front = Front::start().await;
        let mut caller = front.connect_used().await;
        front.shared.begin_stop(GRACE, front.shared.now());
        send(&caller, REQUEST);
        assert_eq!(answer(&mut caller).await.as_deref(), Some("503"));
        front.close(GRACE);
        assert_eq!(answer(&mut caller).await, None, "the connection is closed");
    });
}

/// So is the answer of the HTTP server to an invalid head.
#[test]
fn invalid_head_noticed() {
    run(async {
        let front = Front::start().await;
        let mut caller = front.connect_used().await;
        send(&caller, "GET /x HTTP/1.1\r\nhost: ");
        front.close(GRACE);
        tokio::time::sleep(Duration::from_millis(50)).await;
        send(&caller, "x\r\nno field\r\n\r\n");
        let mut text = String::new();
        let end = timeout(ANSWER_TIME, caller.read_to_string(&mut text)).await;
        end.expect("an end in time").expect("the connection is closed");
        assert!(text.starts_with("HTTP/1.1 400"), "{text}");
        assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    });
}
