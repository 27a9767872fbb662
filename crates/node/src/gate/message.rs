use mimosabridge::{
    backend::Health, gate::Completion, name::Name, outcome::Hint, time::Time, wire,
};
use tokio::sync::{mpsc, oneshot};

/// A message to the actor of a gate.
#[derive(Debug)]
pub enum Message {
    /// An entry makes a call. Each item is sent to the sender once it is known.
    Call(wire::Call, mpsc::UnboundedSender<wire::Item>),
    /// An entry cancels some attempts of a call, or all if none are named.
    Cancel(u64, Vec<u32>),
    /// A task that was sent has completed.
    Completed(u64, Completion),
    /// A server has reported its health, or is unreachable. The time is that of the request.
    Health(Name, Time, Option<Health>),
    /// Requests the hints on all servers.
    Hints(oneshot::Sender<Vec<(Name, Hint)>>),
    /// Takes no new work. The sender is notified once all tasks have finished.
    Stop(oneshot::Sender<()>),
}
