//! Answers that are due when the process ends.

use std::{cell::Cell, rc::Rc, time::Duration};

use mimosabridge_direct::node::Shared;
use tokio::time::sleep;

use crate::env::{balance_settings, headers, run};

/// Guards against an end that overtakes a request that has arrived and was not read yet.
#[test]
fn unread_request_overtaken() {
    run(async {
        let shared = Rc::new(Shared::new(headers(), balance_settings(), 1));
        let is_answered = Rc::new(Cell::new(false));
        let (reader, answered) = (shared.clone(), is_answered.clone());
        tokio::task::spawn_local(async move {
            reader.state.borrow_mut().load.requests += 1;
            sleep(Duration::from_millis(1)).await;
            answered.set(true);
            reader.state.borrow_mut().load.requests -= 1;
        });
        shared.write_last_answers().await;
        assert!(is_answered.get());
    });
}
