use mimosabridge::time::Time;
use tokio::sync::oneshot;

use super::{Question, Reply};

/// Questions of other nodes that are answered once there is an update.
#[derive(Default)]
pub struct Waitlist {
    waiting: Vec<Waiting>,
}

struct Waiting {
    question: Question,
    sender: oneshot::Sender<Reply>,
    due: Time,
}

impl Waitlist {
    /// Creates an empty list.
    pub fn new() -> Waitlist {
        Waitlist::default()
    }

    /// Adds a question that is answered at `due` at the latest.
    pub fn push(&mut self, question: Question, sender: oneshot::Sender<Reply>, due: Time) {
        self.waiting.push(Waiting { question, sender, due });
    }

    /// Removes and returns the questions that have waited long enough or for which there is an
    /// update, and those that nobody waits for any longer.
    pub fn take_due(
        &mut self,
        has_update: impl Fn(&Question) -> bool,
        now: Time,
    ) -> Vec<(Question, oneshot::Sender<Reply>)> {
        let is_due =
            |it: &mut Waiting| now >= it.due || has_update(&it.question) || it.sender.is_closed();
        self.waiting.extract_if(.., is_due).map(|it| (it.question, it.sender)).collect()
    }
}
