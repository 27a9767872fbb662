//! Requests of a node that reaches no server to the only node that does, which closes the connection.

use std::{net::SocketAddr, rc::Rc};

use mimosabridge::{
    directory::Entry,
    feed::{Fact, Position, Snapshot},
    name::Name,
    reach::Helper,
    stop::Phase,
};
use mimosabridge_direct::{
    front::{Origin, accept},
    node::Shared,
};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::env::{
    Answer, Behavior, Server, ask, balance_settings, entry, facts, headers, request, run,
};

const NOTICE: &str =
    "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// How the other node ends a connection over which it has got a request.
#[derive(Clone, Copy, Debug)]
enum End {
    Closed,
    Reset,
}

/// A node that has lost its servers, and the address of the only other node.
struct Place {
    front: SocketAddr,
    helper: TcpListener,
    _phases: watch::Sender<Option<Phase>>,
}

impl Place {
    async fn start(servers: &[&Server]) -> Place {
        let bind = async || TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let (listener, helper) = (bind().await, bind().await);
        let front = listener.local_addr().expect("a bound socket has an address");
        let address = helper.local_addr().expect("a bound socket has an address");
        let shared = Rc::new(Shared::new(headers(), balance_settings(), 1));
        let entries = servers.iter().map(|it| Fact::Server(Entry { slots: 46, ..entry(it) }));
        let snapshot = Snapshot { position: Position::new(0, 5), facts: facts(entries) };
        shared.update_mirror(|mirror, balancer, now| mirror.replace(snapshot, balancer, now));
        {
            let reach = &mut shared.state.borrow_mut().reach;
            reach.on_checks(0, shared.now());
            reach.set_helpers(vec![Helper { name: Name::new("helper"), address, is_near: true }]);
        }
        let (phases, phase) = watch::channel(None);
        tokio::task::spawn_local(accept(shared, listener, phase, Origin::Caller));
        Place { front, helper, _phases: phases }
    }

    /// Has the other node serve a request. Returns its connection, which the node keeps.
    async fn serve_first(&self, path: &str) -> TcpStream {
        let text = request("GET", path, "r1", "");
        let serving = async {
            let (mut connection, _) = self.helper.accept().await.expect("the node connects");
            assert!(read_head(&mut connection).await.contains("x-id: r1"));
            write(&mut connection, "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n")
                .await;
            connection
        };
        let (answer, connection) = tokio::join!(ask(self.front, &text), serving);
        assert_eq!(answer.map(|it| it.status), Some(200));
        connection
    }
}

async fn read_head(connection: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(connection.read_u8().await.expect("the node sends a request"));
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

async fn write(connection: &mut TcpStream, text: &str) {
    connection.write_all(text.as_bytes()).await.expect("the connection is open");
}

/// Has the other node close a kept connection after it has got a request, and accept no others.
/// Returns what the caller gets.
async fn close(place: Place, path: &str, last_words: &str, end: End) -> Answer {
    let mut connection = place.serve_first(path).await;
    let text = request("GET", path, "r2", "");
    let Place { front, helper, _phases } = place;
    let ending = async {
        assert!(read_head(&mut connection).await.contains("x-id: r2"));
        drop(helper);
        write(&mut connection, last_words).await;
        if matches!(end, End::Reset) {
            connection.set_zero_linger().expect("the connection is open");
        }
        drop(connection);
    };
    let (answer, ()) = tokio::join!(ask(front, &text), ending);
    answer.expect("the node answers")
}

/// Guards against a request that is called not run though it may have: a process that is killed closes
/// its connections without a notice, too.
#[rstest]
fn silent_close_refused(
    #[values("/many/x", "/one/x", "/all/x")] path: &str,
    #[values(
        "",
        "HTTP/1.1 408 Request",
        "HTTP/1.1 200 OK\r\nx-id: r2\r\ncontent-length: 9\r\n\r\n"
    )]
    last_words: &str,
    #[values(End::Closed, End::Reset)] end: End,
) {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let answer = close(Place::start(&[&server]).await, path, last_words, end).await;
        assert_eq!(answer.status, 502);
        assert_eq!(server.arrivals(), 0, "it is not repeated");
    });
}

/// Guards against a request that fails though its notice of the close says that it has not run: the
/// caller is told to come back.
#[rstest]
fn notice_failed(
    #[values("/many/x", "/one/x", "/all/x")] path: &str,
    #[values(End::Closed, End::Reset)] end: End,
) {
    run(async {
        let answer = close(Place::start(&[]).await, path, NOTICE, end).await;
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    });
}

/// The node serves such a request itself if it can.
#[rstest]
fn notice_kept(
    #[values("/many/x", "/one/x")] path: &str,
    #[values(End::Closed, End::Reset)] end: End,
) {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let answer = close(Place::start(&[&server]).await, path, NOTICE, end).await;
        assert_eq!((answer.status, server.arrivals()), (200, 1));
    });
}
