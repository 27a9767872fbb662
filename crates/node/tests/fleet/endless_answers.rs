//! Servers that send the body of an answer without end.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use mimosabridge::{
    config::Class,
    gate::Completion,
    name::Name,
    outcome::{Failure, Outcome},
};
use mimosabridge_node::backend::{Client, Request};
use serde_json::value::to_raw_value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
};

/// A tenth of the memory of the smallest VM.
const MAX_BYTES: usize = 16_000_000;

/// The server pauses after this many bytes, for the memory of the machine.
const ENDLESS_BYTES: usize = 64 * 1_024 * 1_024;

#[tokio::test]
async fn body_without_end() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("a bound socket has an address");
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = sent.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("the client connects");
        let _ = stream.read(&mut [0; 4_096]).await;
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await;
        while counter.load(Ordering::Relaxed) < ENDLESS_BYTES {
            if stream.write_all(&[b'x'; 65_536]).await.is_err() {
                return;
            }
            counter.fetch_add(65_536, Ordering::Relaxed);
        }
        std::future::pending::<()>().await;
    });
    let request = Request {
        id: "request".to_owned(),
        shard: Name::from("shard"),
        snapshot: 1,
        class: Class::Interactive,
        budget: Duration::from_secs(5),
        query: to_raw_value(&serde_json::json!({})).expect("it is valid JSON").into(),
        trace: None,
    };
    let Completion { outcome, .. } = Client::new(address, 1).search(request).await;
    assert!(matches!(outcome, Outcome::Failed(Failure::BadReply)), "{outcome:?}");
    assert!(sent.load(Ordering::Relaxed) <= MAX_BYTES, "{sent:?} bytes were read");
}
