use mimosabridge::{
    backend::Health, gate::Completion, name::Name, outcome::Hint, time::Time, wire,
};
use tokio::sync::{mpsc, oneshot};

/// What the actor of a gate is told.
#[derive(Debug)]
pub enum Message {
    /// An entry calls. The items go to the sender as they come.
    Call(wire::Call, mpsc::UnboundedSender<wire::Item>),
    /// An entry no longer wants some attempts of a call, or any if none are named.
    Cancel(u64, Vec<u32>),
    /// A task that was sent has come to its end.
    Settled(u64, Completion),
    /// A server has told its health, or could not be reached. Asked for at the time given.
    Health(Name, Time, Option<Health>),
    /// Somebody asks for what is believed of the servers.
    Hints(oneshot::Sender<Vec<(Name, Hint)>>),
    /// Take no new work. The sender is told once all is finished.
    Stop(oneshot::Sender<()>),
}
