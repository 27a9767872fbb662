//! Servers that send invalid answers or refuse requests.

use rstest::rstest;

use crate::env::{Behavior, Node, Server, ask, request, run};

#[rstest]
#[case::truncated(Behavior::Truncated)]
#[case::closed(Behavior::Closed)]
#[case::other_request(Behavior::OtherRequest)]
#[case::bare_503(Behavior::Bare503)]
#[case::status_000(Behavior::Status("000"))]
#[case::status_099(Behavior::Status("099"))]
#[case::status_101(Behavior::Status("101"))]
#[case::status_199(Behavior::Status("199"))]
#[case::status_600(Behavior::Status("600"))]
#[case::status_999(Behavior::Status("999"))]
#[case::status_1000(Behavior::Status("1000"))]
fn never_a_success(#[case] behavior: Behavior) {
    run(async {
        let server = Server::start("i-1", "one", behavior).await;
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &request("POST", "/one/a", "r1", "x")).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status, 502, "the request may have run, so 503 would be wrong");
        assert_eq!(server.arrivals(), 1, "the request is sent at most once");
    });
}

#[rstest]
#[case::truncated(Behavior::Truncated)]
#[case::closed(Behavior::Closed)]
#[case::other_request(Behavior::OtherRequest)]
#[case::status_000(Behavior::Status("000"))]
#[case::status_600(Behavior::Status("600"))]
fn idempotent_retried(#[case] behavior: Behavior) {
    run(async {
        let bad = Server::start("i-1", "one", behavior).await;
        let good = Server::start("i-2", "one", Behavior::Correct).await;
        let node = Node::start(&[&bad, &good]).await;
        for call in 0..8 {
            let text = request("GET", "/many/a", &format!("r{call}"), "");
            let answer = ask(node.front, &text).await.expect("the node answers");
            assert_eq!((answer.status, answer.body.as_str()), (200, "_____________i-2"));
        }
    });
}

#[test]
fn extra_answer_dropped() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Extra).await;
        let node = Node::start(&[&server]).await;
        for call in 0..4 {
            let text = request("GET", "/many/a", &format!("r{call}"), "");
            let answer = ask(node.front, &text).await.expect("the node answers");
            assert_eq!((answer.status, answer.body.as_str()), (200, "_____________i-1"));
        }
    });
}

/// Guards against a second, late copy of an answer that reaches the next caller on the connection.
#[rstest]
#[case::idempotent("GET", "/many/a")]
#[case::at_most_once("POST", "/one/a")]
fn late_copy_dropped(#[case] method: &str, #[case] path: &str) {
    run(async {
        let bad = Server::start("i-1", "one", Behavior::LateCopy).await;
        let node = Node::start(&[&bad]).await;
        for call in 0..8 {
            let text = request(method, path, &format!("r{call}"), "");
            let answer = ask(node.front, &text).await.expect("the node answers");
            match answer.status {
                200 => assert_eq!(answer.body, "_____________i-1"),
                status => assert!(matches!(status, 502 | 503), "{answer:?}"),
            }
        }
        assert!(bad.arrivals() >= 4, "the connection was in use again");
    });
}

/// Guards against a late copy of a rejection that is taken for the answer to a request that runs: to
/// the next one on the connection, or to the same one that is sent again.
#[rstest]
fn late_rejection_believed(
    #[values("503 Full", "429 Busy", "421 Misdirected")] status: &'static str,
    #[values(("POST", "/one/a"), ("GET", "/many/a"))] call: (&str, &str),
) {
    run(async {
        let servers = [
            Server::start("i-1", "one", Behavior::LateRejection(status)).await,
            Server::start("i-2", "one", Behavior::LateRejection(status)).await,
        ];
        let node = Node::start(&[&servers[0], &servers[1]]).await;
        for number in 0..40 {
            let id = format!("r{number}");
            let text = request(call.0, call.1, &id, "");
            let answer = ask(node.front, &text).await.expect("the node answers");
            let runs = servers.iter().flat_map(|it| it.runs.borrow().clone());
            let runs = runs.filter(|it| *it == id).count();
            match answer.status {
                200 | 502 => {}
                503 => assert_eq!(runs, 0, "{id} ran and was refused"),
                status => panic!("{id} got {status}"),
            }
            assert!(runs <= 1 || call.0 == "GET", "{id} ran {runs} times");
        }
    });
}

/// Guards against a caller who is told that the outcome is unknown, though the answer comes right behind
/// a late copy of an earlier one.
#[rstest]
fn own_answer_abandoned(
    #[values(Behavior::LateCopy, Behavior::LateRejection("503 Full"))] behavior: Behavior,
    #[values(("POST", "/one/a"), ("GET", "/many/a"))] call: (&str, &str),
) {
    run(async {
        let servers = [
            Server::start("i-1", "one", behavior).await,
            Server::start("i-2", "one", behavior).await,
        ];
        let node = Node::start(&[&servers[0], &servers[1]]).await;
        let mut served = 0;
        for number in 0..40 {
            let text = request(call.0, call.1, &format!("r{number}"), "");
            let answer = ask(node.front, &text).await.expect("the node answers");
            assert!(matches!(answer.status, 200 | 503), "r{number}: {answer:?}");
            if answer.status == 200 {
                assert!(answer.body.starts_with("_____________i-"), "r{number}: {answer:?}");
                served += 1;
            }
        }
        assert!(served >= 20, "{served} of 40 are served");
    });
}

/// Shows that late copies of rejections are met at all: a request that comes after one fails.
#[test]
fn late_rejection_met() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::LateRejection("503 Full")).await;
        let node = Node::start(&[&server]).await;
        for number in 0..20 {
            ask(node.front, &request("POST", "/one/a", &format!("r{number}"), "")).await;
        }
        assert!(server.copies.get() > 0);
    });
}

#[test]
fn shed_request_refused() {
    run(async {
        let server = Server::start("i-1", "one", Behavior::Shed).await;
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &request("POST", "/one/a", "r1", "x")).await;
        let answer = answer.expect("the node answers");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some_and(|it| it.parse::<f64>().is_ok()));
    });
}

#[test]
fn shed_request_retried() {
    run(async {
        let full = Server::start("i-1", "one", Behavior::Shed).await;
        let free = Server::start("i-2", "one", Behavior::Correct).await;
        let node = Node::start(&[&full, &free]).await;
        for call in 0..8 {
            let text = request("POST", "/one/a", &format!("r{call}"), "x");
            assert_eq!(ask(node.front, &text).await.map(|it| it.status), Some(200));
        }
        assert_eq!(free.arrivals(), 8);
    });
}
