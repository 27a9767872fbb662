//! Servers whose answers are not what they should be.

use rstest::rstest;

use crate::env::{Manner, Node, Searcher, ask, request, run};

#[rstest]
#[case::short(Manner::Short)]
#[case::silent(Manner::Silent)]
#[case::other(Manner::Other)]
#[case::bare_503(Manner::Bare503)]
fn never_a_success(#[case] manner: Manner) {
    run(async {
        let server = Searcher::start("i-1", "one", manner).await;
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &request("POST", "/one/a", "r1", "x")).await;
        let answer = answer.expect("an answer comes");
        assert_eq!(answer.status, 502, "it may have run, so that nothing is promised");
        assert_eq!(server.arrivals(), 1, "at most once");
    });
}

#[rstest]
#[case::short(Manner::Short)]
#[case::silent(Manner::Silent)]
#[case::other(Manner::Other)]
fn idempotent_retried(#[case] manner: Manner) {
    run(async {
        let bad = Searcher::start("i-1", "one", manner).await;
        let good = Searcher::start("i-2", "one", Manner::Sound).await;
        let node = Node::start(&[&bad, &good]).await;
        for call in 0..8 {
            let text = request("GET", "/many/a", &format!("r{call}"), "");
            let answer = ask(node.front, &text).await.expect("an answer comes");
            assert_eq!((answer.status, answer.body.as_str()), (200, "_____________i-2"));
        }
    });
}

#[test]
fn extra_answer_dropped() {
    run(async {
        let server = Searcher::start("i-1", "one", Manner::Extra).await;
        let node = Node::start(&[&server]).await;
        for call in 0..4 {
            let text = request("GET", "/many/a", &format!("r{call}"), "");
            let answer = ask(node.front, &text).await.expect("an answer comes");
            assert_eq!((answer.status, answer.body.as_str()), (200, "_____________i-1"));
        }
    });
}

#[test]
fn refusal_is_true() {
    run(async {
        let server = Searcher::start("i-1", "one", Manner::Shed).await;
        let node = Node::start(&[&server]).await;
        let answer = ask(node.front, &request("POST", "/one/a", "r1", "x")).await;
        let answer = answer.expect("an answer comes");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some_and(|it| it.parse::<f64>().is_ok()));
    });
}

#[test]
fn shed_goes_elsewhere() {
    run(async {
        let full = Searcher::start("i-1", "one", Manner::Shed).await;
        let free = Searcher::start("i-2", "one", Manner::Sound).await;
        let node = Node::start(&[&full, &free]).await;
        for call in 0..8 {
            let text = request("POST", "/one/a", &format!("r{call}"), "x");
            assert_eq!(ask(node.front, &text).await.map(|it| it.status), Some(200));
        }
        assert_eq!(free.arrivals(), 8);
    });
}
