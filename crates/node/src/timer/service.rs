use std::time::Duration;

use futures_util::StreamExt;
use mimosabridge::time::Time;
use tokio::sync::{mpsc, oneshot};
use tokio_util::time::DelayQueue;

use super::Tick;
use crate::clock::Clock;

/// Notifies subscribers when a time is reached. Clones are handles to the same service.
#[derive(Clone, Debug)]
pub struct Service {
    clock: Clock,
    subscriptions: mpsc::UnboundedSender<Subscription>,
}

#[derive(Debug)]
enum Subscription {
    At(Time, oneshot::Sender<Tick>),
    Every(Time, Duration, mpsc::Sender<Tick>),
}

impl Service {
    /// Starts the service on the current runtime. It stops when its last handle is dropped.
    pub fn start(clock: Clock) -> Service {
        let (subscriptions, inbox) = mpsc::unbounded_channel();
        tokio::spawn(serve(clock, inbox));
        Service { clock, subscriptions }
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a receiver that is notified once, at `time`. Dropping it cancels the subscription.
    pub fn at(&self, time: Time) -> oneshot::Receiver<Tick> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.subscriptions.send(Subscription::At(time, sender));
        receiver
    }

    /// Returns a receiver that is notified every `period`. Ticks that are not received in time are
    /// skipped.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Tick> {
        let (sender, receiver) = mpsc::channel(1);
        let _ = self.subscriptions.send(Subscription::Every(self.now() + period, period, sender));
        receiver
    }
}

async fn serve(clock: Clock, mut inbox: mpsc::UnboundedReceiver<Subscription>) {
    let mut queue = DelayQueue::new();
    loop {
        tokio::select! {
            subscription = inbox.recv() => match subscription {
                Some(subscription) => insert(&mut queue, clock, subscription),
                None => return,
            },
            Some(expired) = queue.next() => {
                if let Some(next) = fire(clock.now(), expired.into_inner()) {
                    insert(&mut queue, clock, next);
                }
            }
        }
    }
}

fn insert(queue: &mut DelayQueue<Subscription>, clock: Clock, subscription: Subscription) {
    let (Subscription::At(time, _) | Subscription::Every(time, ..)) = &subscription;
    let instant = clock.instant(*time);
    queue.insert_at(subscription, instant);
}

/// Notifies a subscriber and returns the subscription to its next tick, if any.
fn fire(now: Time, subscription: Subscription) -> Option<Subscription> {
    match subscription {
        Subscription::At(time, sender) => {
            let _ = sender.send(Tick { now, late: now.since(time) });
            None
        }
        Subscription::Every(time, period, sender) => {
            let tick = Tick { now, late: now.since(time) };
            if let Err(mpsc::error::TrySendError::Closed(_)) = sender.try_send(tick) {
                return None;
            }
            Some(Subscription::Every(now + period, period, sender))
        }
    }
}
