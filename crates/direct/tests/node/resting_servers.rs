//! Servers that reject requests and say for how long they want none.

use rstest::rstest;
use tokio::time::{Duration, Instant, sleep};

use crate::env::{Behavior, Node, Server, ask, request, run};

/// From when on requests during a rest break the rule, and how many are allowed.
const CROSSING_TIME: Duration = Duration::from_millis(500);
const MAX_CROSSING: usize = 2;

/// Guards against requests that reach a server while it rests. Callers are refused at once, and told to
/// come back after the rest.
#[rstest]
fn sent_during_rest(#[values("/many/a", "/one/a")] path: &str) {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Shed).await;
        "retry-after: 2.5\r\n".clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        let ask_once = async |id: &str| {
            ask(node.front, &request("GET", path, id, "")).await.expect("the node answers")
        };
        let first = ask_once("r0").await;
        assert_eq!(first.status, 503);
        let rested = Instant::now();
        server.behavior.set(Behavior::Correct);
        server.more.borrow_mut().clear();
        let mut late = 0;
        while rested.elapsed() < Duration::from_millis(2_400) {
            let before = server.arrivals();
            let answer = ask_once("r1").await;
            if rested.elapsed() > CROSSING_TIME {
                late += server.arrivals() - before;
            }
            assert_eq!(answer.status, 503);
            let wait: f64 = answer.header("retry-after").and_then(|it| it.parse().ok()).unwrap();
            let back = rested.elapsed().as_secs_f64() + wait;
            assert!((2.4..3.8).contains(&back), "the caller comes back {back} s after the answer");
            sleep(Duration::from_millis(20)).await;
        }
        assert!(late <= MAX_CROSSING, "{late} requests reached the server");
        while ask_once("r2").await.status != 200 {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(rested.elapsed() < Duration::from_millis(4_000), "it serves again");
    });
}

/// Guards against a server that is given up for a value that says nothing, or for an answer to another
/// request.
#[rstest]
#[case::negative("retry-after: -5\r\n")]
#[case::date("retry-after: Fri, 31 Dec 2027 23:59:59 GMT\r\n")]
#[case::no_number("retry-after: soon\r\n")]
#[case::not_finite("retry-after: inf\r\n")]
#[case::zero("retry-after: 0\r\n")]
fn odd_value_granted(#[case] more: &str) {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Shed).await;
        more.clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        ask(node.front, &request("GET", "/many/a", "r0", "")).await.expect("the node answers");
        server.behavior.set(Behavior::Correct);
        let answer = ask(node.front, &request("GET", "/many/a", "r1", "")).await;
        assert_eq!(answer.map(|it| it.status), Some(200), "the server serves at once");
    });
}

/// Guards against a rest that is learned from a late copy of a rejection of another request.
#[test]
fn rest_of_other_request() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::OtherRejection).await;
        "retry-after: 60\r\n".clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &request("POST", "/one/a", "r0", "")).await;
        assert_eq!(answer.map(|it| it.status), Some(502), "it may have run");
        server.behavior.set(Behavior::Correct);
        while ask(node.front, &request("GET", "/many/b", "r1", ""))
            .await
            .is_none_or(|it| it.status != 200)
        {
            sleep(Duration::from_millis(20)).await;
        }
    });
}

/// Guards against a node that has passed on a rejection in the answer of another node, and does not know
/// of the rest.
#[test]
fn relayed_rest_unnamed() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Shed).await;
        "retry-after: 2.5\r\n".clone_into(&mut server.more.borrow_mut());
        let node = Node::start(&[&server]).await;
        let answer = ask(node.peer, &request("GET", "/many/a", "r1", "")).await;
        let rest = answer.expect("the node answers").header("x-mimosabridge-resting");
        let rest = rest.expect("the answer names the rest");
        let (millis, name) = rest.split_once(' ').expect("two parts");
        assert_eq!(name, "i-1");
        assert!(millis.parse::<u64>().is_ok_and(|it| (1..=2_500).contains(&it)), "{millis}");
    });
}
