//! Kept connections that were closed before they are used again.

use std::{io::Write, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use mimosabridge::{name::Name, plan::Repeat, time::Time};
use mimosabridge_direct::backend::{Outgoing, Pool};
use rstest::rstest;
use socket2::SockRef;
use tokio::net::TcpListener;

use crate::env::run;

const NOTICE: &str = "HTTP/1.1 408 Request Timeout\r\nconnection: close\r\n\r\n";

fn outgoing(repeat: Repeat) -> Outgoing {
    Outgoing {
        method: Method::GET,
        target: Uri::from_static("/one/x"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        id: HeaderValue::from_static("r2"),
        repeat,
    }
}

/// Guards against a request that is sent over a connection whose end has arrived, though the runtime has
/// not noticed: it runs nowhere, and fails as if it might have run.
#[rstest]
#[case::open("", false, true)]
#[case::noticed(NOTICE, true, false)]
#[case::closed("", true, false)]
fn closed_connection_used(
    #[case] last_words: &str,
    #[case] is_closed: bool,
    #[case] is_taken: bool,
    #[values(Repeat::Idempotent, Repeat::Once)] repeat: Repeat,
    #[values(None, Some(Duration::ZERO))] linger: Option<Duration>,
) {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let link = Pool::new().open(address, Time::ZERO).await.expect("the peer accepts");
        let (peer, _) = listener.accept().await.expect("the node connects");
        let mut peer = peer.into_std().expect("the socket is valid");
        let (pool, name) = (Pool::new(), Name::new("peer"));
        pool.keep(&name, link, &HeaderValue::from_static("r1"), Time::ZERO).await;
        // The runtime doesn't run from here on.
        peer.write_all(last_words.as_bytes()).expect("the connection is open");
        SockRef::from(&peer).set_linger(linger).expect("the connection is open");
        let _open = (!is_closed).then_some(peer);
        let link = pool.take(&name, &outgoing(repeat), Time::ZERO).await;
        assert_eq!(link.is_some(), is_taken);
    });
}
