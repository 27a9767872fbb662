use std::time::Duration;

use tokio::{sync::mpsc, task::JoinHandle};

use super::Message;
use crate::{
    events,
    platform::{self, Presence},
};

/// How long one watch of the head waits for a change. After it the head is read without a watch,
/// because a platform that came back from an older copy gives out revisions again.
const WATCH_TIME: Duration = Duration::from_secs(5);

/// How long to wait after a failed read.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The time between two reads of the list of VMs.
const VMS_PERIOD: Duration = Duration::from_secs(2);

/// Reads the platform in its own tasks while this node is one of the readers.
#[derive(Debug)]
pub struct Reader {
    platform: platform::Client,
    actor: mpsc::UnboundedSender<Message>,
    tasks: Option<[JoinHandle<()>; 2]>,
}

impl Reader {
    /// Creates an inactive reader.
    pub fn new(platform: platform::Client, actor: mpsc::UnboundedSender<Message>) -> Reader {
        Reader { platform, actor, tasks: None }
    }

    /// Starts or stops reading.
    pub fn set_active(&mut self, active: bool) {
        match (active, self.tasks.take()) {
            (true, None) => {
                let watch = watch_head(self.platform.clone(), self.actor.clone());
                let list = list_vms(self.platform.clone(), self.actor.clone());
                self.tasks = Some([tokio::spawn(watch), tokio::spawn(list)]);
            }
            (false, Some(tasks)) => tasks.iter().for_each(JoinHandle::abort),
            (_, tasks) => self.tasks = tasks,
        }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.set_active(false);
    }
}

async fn watch_head(platform: platform::Client, actor: mpsc::UnboundedSender<Message>) {
    let mut after = 0;
    let mut was_unreachable = false;
    while !actor.is_closed() {
        let wait = if after == 0 { Duration::ZERO } else { WATCH_TIME };
        match platform.watch_head(after, wait).await {
            Ok(Some((revision, head))) => {
                after = revision;
                was_unreachable = false;
                // A head that is known already changes nothing.
                let _ = actor.send(Message::Published(head));
            }
            Ok(None) => {
                was_unreachable = false;
                let _ = actor.send(Message::PlatformAnswered);
                if std::mem::take(&mut after) == 0 {
                    // Nothing is published yet, and the platform does not wait for a missing key.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                if !was_unreachable {
                    events::PLATFORM_UNREACHABLE.emit(&[("reason", &error)]);
                }
                was_unreachable = true;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn list_vms(platform: platform::Client, actor: mpsc::UnboundedSender<Message>) {
    while !actor.is_closed() {
        if let Ok(vms) = platform.vms().await {
            let leaving = vms.iter().filter(|it| it.presence == Presence::Leaving);
            let leaving = leaving.map(|it| it.ip).collect();
            let live = vms.iter().filter(|it| it.presence == Presence::Live);
            let _ = actor.send(Message::Vms(live.map(|it| it.ip).collect(), leaving));
        }
        tokio::time::sleep(VMS_PERIOD).await;
    }
}
