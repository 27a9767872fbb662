//! Callers that disconnect before their answer.

use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::env::{Behavior, Node, Server, request, run, wait_until};

#[test]
fn work_cancelled() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Hang).await;
        let node = Node::start(&[&server]).await;
        let mut caller = TcpStream::connect(node.front).await.expect("the node listens");
        let text = request("POST", "/one/a", "r1", "x");
        caller.write_all(text.as_bytes()).await.expect("the node reads");
        wait_until(|| server.arrivals() == 1).await;
        assert_eq!(server.disconnected.get(), 0);
        drop(caller);
        wait_until(|| server.disconnected.get() == 1).await;
    });
}
