//! Callers that leave before their answer.

use tokio::{io::AsyncWriteExt, net::TcpStream};

use crate::env::{Manner, Node, Searcher, request, run, until};

#[test]
fn work_is_cancelled() {
    run(async {
        let server = Searcher::start("i-1", "one", Manner::Hang).await;
        let node = Node::start(&[&server]).await;
        let mut caller = TcpStream::connect(node.front).await.expect("the node listens");
        let text = request("POST", "/one/a", "r1", "x");
        caller.write_all(text.as_bytes()).await.expect("the node reads");
        until(|| server.arrivals() == 1).await;
        assert_eq!(server.left.get(), 0);
        drop(caller);
        until(|| server.left.get() == 1).await;
    });
}
