use std::time::Duration;

use futures_util::StreamExt;
use mimosabridge::time::Time;
use tokio::sync::{mpsc, oneshot};
use tokio_util::time::DelayQueue;

use super::Tick;
use crate::clock::Clock;

/// Tells subscribers when a time has come. Cloning gives another handle to the same service.
#[derive(Clone, Debug)]
pub struct Service {
    clock: Clock,
    orders: mpsc::UnboundedSender<Order>,
}

#[derive(Debug)]
enum Order {
    At(Time, oneshot::Sender<Tick>),
    Every(Time, Duration, mpsc::Sender<Tick>),
}

impl Service {
    /// Starts the service on the current runtime. It ends with its last handle.
    pub fn start(clock: Clock) -> Service {
        let (orders, inbox) = mpsc::unbounded_channel();
        tokio::spawn(serve(clock, inbox));
        Service { clock, orders }
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns a receiver that is told once, when `time` has come. Dropping it cancels.
    pub fn at(&self, time: Time) -> oneshot::Receiver<Tick> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.orders.send(Order::At(time, sender));
        receiver
    }

    /// Returns a receiver that is told every `period`. Ticks that are not taken are skipped.
    pub fn every(&self, period: Duration) -> mpsc::Receiver<Tick> {
        let (sender, receiver) = mpsc::channel(1);
        let _ = self.orders.send(Order::Every(self.now() + period, period, sender));
        receiver
    }
}

async fn serve(clock: Clock, mut inbox: mpsc::UnboundedReceiver<Order>) {
    let mut queue = DelayQueue::new();
    loop {
        tokio::select! {
            order = inbox.recv() => match order {
                Some(order) => insert(&mut queue, clock, order),
                None => return,
            },
            Some(expired) = queue.next() => {
                if let Some(again) = fire(clock.now(), expired.into_inner()) {
                    insert(&mut queue, clock, again);
                }
            }
        }
    }
}

fn insert(queue: &mut DelayQueue<Order>, clock: Clock, order: Order) {
    let (Order::At(time, _) | Order::Every(time, ..)) = &order;
    let instant = clock.instant(*time);
    queue.insert_at(order, instant);
}

/// Tells a subscriber, and returns the order for its next tick, if there is to be one.
fn fire(now: Time, order: Order) -> Option<Order> {
    match order {
        Order::At(time, sender) => {
            let _ = sender.send(Tick { now, late: now.since(time) });
            None
        }
        Order::Every(time, period, sender) => {
            let tick = Tick { now, late: now.since(time) };
            if let Err(mpsc::error::TrySendError::Closed(_)) = sender.try_send(tick) {
                return None;
            }
            Some(Order::Every(now + period, period, sender))
        }
    }
}
