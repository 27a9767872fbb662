//! The time that a request tells its server is left.

use std::{io::Read, time::Duration};

use bytes::Bytes;
use futures_util::poll;
use http::Request;
use http_body_util::Full;
use mimosabridge_direct::backend::{Link, Memory};
use mimosabridge_node::clock::Clock;
use tokio::net::TcpListener;

use crate::env::run;

/// How long bytes that were written may take over the loopback device.
const TRANSFER_TIME: Duration = Duration::from_secs(5);

/// Guards against a request that leaves the node long after the time that it states was computed: it was written when
/// all requests to other shards had been made and the connection was polled again.
#[test]
fn written_later() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let address = listener.local_addr().expect("a bound socket has an address");
        let link = Link::open(address, Memory::new(), Clock::new().now()).await;
        let mut link = link.expect("the listener accepts");
        let (server, _) = listener.accept().await.expect("a connection waits");
        let mut server = server.into_std().expect("the stream is valid");
        server.set_nonblocking(false).expect("the stream is valid");
        server.set_read_timeout(Some(TRANSFER_TIME)).expect("the timeout is valid");
        let request = Request::get("/all/x").body(Full::new(Bytes::new())).expect("it is valid");
        let mut exchange = std::pin::pin!(link.exchange(request));
        assert!(poll!(&mut exchange).is_pending(), "nothing has answered");
        let mut bytes = [0; 6];
        server.read_exact(&mut bytes).expect("the request was written in the first poll");
        assert_eq!(&bytes, b"GET /a");
    });
}
