//! Requests that are served successfully.

use crate::env::{Behavior, Node, Server, ask, request, run};

#[test]
fn passed_unchanged() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        let text = request("POST", "/one/a?b=c%20d", "r1", "the body");
        let answer = ask(node.front, &text).await.expect("the node answers");
        assert_eq!((answer.status, answer.body.as_str()), (200, "_____________i-1"));
        assert_eq!(answer.header("x-signature").as_deref(), Some("i-1.1"));
        let arrived = server.requests.borrow()[0].clone();
        assert!(arrived.starts_with("POST /one/a?b=c%20d HTTP/1.1"), "{arrived}");
        assert!(arrived.ends_with("\r\n\r\nthe body"), "{arrived}");
        assert!(arrived.contains("x-server: i-1") && arrived.contains("x-id: r1"), "{arrived}");
    });
}

/// Guards against a server whose headers another node takes for those of the node that passes its answer on.
#[test]
fn server_speaks_for_node() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        "x-mimosabridge-not-served: 1\r\nx-mimosabridge-leaving: i-2\r\nx-mimosabridge-resting: 9 i-2\r\n"
            .clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        for address in [node.peer, node.front] {
            let answer = ask(address, &request("POST", "/one/a", "r1", "")).await;
            let answer = answer.expect("the node answers");
            assert_eq!(answer.status, 200);
            assert!(!answer.head.contains("x-mimosabridge-"), "{}", answer.head);
        }
    });
}

#[test]
fn merged_from_shards() {
    run(async {
        let shards = [
            Server::start("i-5", "s0", Behavior::Correct).await,
            Server::start("i-7", "s1", Behavior::Correct).await,
            Server::start("i-6", "s2", Behavior::Correct).await,
        ];
        let node = Node::start(&shards.each_ref()).await;
        let answer = ask(node.front, &request("GET", "/all/x", "r1", "")).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status, 200);
        assert_eq!(
            answer.body, "_____________i-7_____________i-6",
            "the two hits with the greatest scores"
        );
        assert_eq!(answer.header("x-missing").as_deref(), Some("0"));
        let signatures = answer.header("x-signatures").unwrap_or_default();
        assert_eq!(signatures.split(", ").count(), 3, "{signatures}");
    });
}

#[test]
fn missing_shards_reported() {
    run(async {
        let shards = [
            Server::start("i-5", "s0", Behavior::Correct).await,
            Server::start("i-7", "s1", Behavior::Shed).await,
            Server::start("i-6", "s2", Behavior::Correct).await,
        ];
        let node = Node::start(&shards.each_ref()).await;
        let answer = ask(node.front, &request("GET", "/all/x", "r1", "")).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("x-missing").as_deref(), Some("1"));
        assert_eq!(answer.body, "_____________i-6_____________i-5");
    });
}

#[test]
fn connection_kept() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&server]).await;
        for call in 0..5 {
            let text = request("GET", "/many/a", &format!("r{call}"), "");
            assert_eq!(ask(node.front, &text).await.map(|it| it.status), Some(200));
        }
        assert_eq!(server.arrivals(), 5);
    });
}
