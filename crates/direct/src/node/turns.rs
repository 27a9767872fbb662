use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::sync::Notify;

/// Wakes requests that wait for a connection when their turn comes.
#[derive(Default)]
pub struct Turns {
    wakers: RefCell<HashMap<u64, Rc<Notify>>>,
}

/// The subscription of one request, by its number. It ends when it is dropped.
pub struct Turn {
    turns: Rc<Turns>,
    run: u64,
    waker: Rc<Notify>,
}

impl Turns {
    /// Creates the subscriptions of a node without requests.
    pub fn new() -> Turns {
        Turns::default()
    }

    /// Subscribes a request.
    pub fn subscribe(self: &Rc<Turns>, run: u64) -> Turn {
        let waker = Rc::new(Notify::new());
        self.wakers.borrow_mut().insert(run, waker.clone());
        Turn { turns: self.clone(), run, waker }
    }

    /// Wakes requests. One that doesn't wait yet is woken as soon as it does.
    pub fn wake(&self, runs: &[u64]) {
        let wakers = self.wakers.borrow();
        runs.iter().filter_map(|it| wakers.get(it)).for_each(|it| it.notify_one());
    }
}

impl Turn {
    /// Returns what is notified when the turn of the request has come.
    pub fn waker(&self) -> Rc<Notify> {
        self.waker.clone()
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        self.turns.wakers.borrow_mut().remove(&self.run);
    }
}
