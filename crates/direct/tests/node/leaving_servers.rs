//! Servers that leave while a node runs: they are removed from the store, or say so in their answers.

use mimosabridge::feed::{Fact, Position, Snapshot};

use rstest::rstest;
use tokio::time::{Duration, Instant, sleep};

use crate::env::{Behavior, Node, Server, ask, entry, request, run};

const LEAVING: &str = "x-leaving: 1\r\n";

/// How long a leaving server may still be sent requests.
const DRAIN_TIME: Duration = Duration::from_secs(3);

#[test]
fn removed_server_unused() {
    run(async {
        let old = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&old]).await;
        let ask_once = async |id: &str| {
            ask(node.front, &request("GET", "/many/a", id, "")).await.expect("the node answers")
        };
        assert_eq!(ask_once("r1").await.status, 200);
        let facts = vec![Fact::Gone(old.id.clone())];
        *node.published.borrow_mut() = Snapshot { position: Position::new(0, 6), facts };
        while ask_once("r2").await.status != 503 {
            sleep(Duration::from_millis(5)).await;
        }
        let before = old.arrivals();
        assert_eq!(ask_once("r3").await.status, 503, "no server remains");
        assert_eq!(old.arrivals(), before);
    });
}

/// Guards against requests to a server that has said that it leaves while another one can serve.
#[rstest]
#[case::leaving(LEAVING)]
#[case::twice("x-leaving: 1\r\nx-leaving: 1\r\n")]
fn word_believed(#[case] more: &str) {
    run(async {
        let old = Server::start("i-1", "one", Behavior::Correct).await;
        let node = Node::start(&[&old]).await;
        more.clone_into(&mut old.more.borrow_mut());
        let answer = ask(node.front, &request("GET", "/many/a", "r0", "")).await;
        assert_eq!(answer.map(|it| it.status), Some(200));
        let new = Server::start("i-2", "one", Behavior::Correct).await;
        let facts = vec![Fact::Server(entry(&new))];
        *node.published.borrow_mut() = Snapshot { position: Position::new(0, 6), facts };
        while new.arrivals() == 0 && old.arrivals() < 200 {
            ask(node.front, &request("GET", "/many/a", "r1", "")).await;
            sleep(Duration::from_millis(5)).await;
        }
        assert!(new.arrivals() > 0, "the new server is known");
        let before = old.arrivals();
        for number in 0..100 {
            let text = request("POST", "/one/a", &format!("s{number}"), "");
            assert_eq!(ask(node.front, &text).await.map(|it| it.status), Some(200));
        }
        assert_eq!(old.arrivals(), before);
    });
}

/// Guards against a server that is given up for a value that says nothing.
#[rstest]
#[case::other_value("x-leaving: 0\r\n")]
#[case::unclear("x-leaving: 1\r\nx-leaving: soon\r\n")]
fn odd_value_believed(#[case] more: &str) {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        more.clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        for _ in 0..2 {
            let answer = ask(node.front, &request("GET", "/many/a", "r0", "")).await;
            assert_eq!(answer.map(|it| it.status), Some(200));
            sleep(DRAIN_TIME).await;
        }
    });
}

/// Guards against requests that reach a server later than the drain time after its word was passed on,
/// though no other server is left.
#[rstest]
#[case::served(Behavior::Correct)]
#[case::shed(Behavior::Shed)]
fn last_one_drained(#[case] behavior: Behavior) {
    run(async {
        let server = Server::start("i-1", "one", behavior).await;
        LEAVING.clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        ask(node.front, &request("GET", "/many/a", "r0", "")).await.expect("the node answers");
        let passed_on = Instant::now();
        let mut late = 0;
        for number in 0.. {
            let sent = passed_on.elapsed();
            let before = server.arrivals();
            let text = request("GET", "/many/a", &format!("s{number}"), "");
            let answer = ask(node.front, &text).await.expect("the node answers");
            if sent > DRAIN_TIME {
                assert_eq!(server.arrivals(), before, "{sent:?} after its word");
                assert_eq!(answer.status, 503, "it has not run");
                late += 1;
            }
            if late == 20 {
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a word that is learned from an answer to another request.
#[test]
fn word_of_other_request() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::OtherRequest).await;
        LEAVING.clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        ask(node.front, &request("GET", "/many/a", "r0", "")).await.expect("the node answers");
        server.behavior.set(Behavior::Correct);
        server.more.borrow_mut().clear();
        sleep(DRAIN_TIME).await;
        while ask(node.front, &request("GET", "/many/b", "r1", ""))
            .await
            .is_none_or(|it| it.status != 200)
        {
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a node that has passed on the word in the answer of another node, and does not know
/// it.
#[test]
fn relayed_word_unnamed() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Correct).await;
        LEAVING.clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        let answer = ask(node.peer, &request("GET", "/many/a", "r1", "")).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.header("x-mimosabridge-leaving").as_deref(), Some("i-1"));
        let answer = ask(node.front, &request("GET", "/many/a", "r2", "")).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.header("x-mimosabridge-leaving"), None, "callers don't need it");
    });
}
