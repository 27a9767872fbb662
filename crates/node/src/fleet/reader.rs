use std::time::Duration;

use tokio::{sync::mpsc, task::JoinHandle};

use super::Message;
use crate::{
    events,
    platform::{self, Presence},
};

/// How long one watch of the head waits.
const WATCH: Duration = Duration::from_secs(20);

/// How long to wait after a failed read.
const RETRY: Duration = Duration::from_secs(1);

/// Time between two reads of the list of VMs.
const VMS_PERIOD: Duration = Duration::from_secs(2);

/// Reads the platform in tasks of its own while this node is one of the readers.
#[derive(Debug)]
pub struct Reader {
    platform: platform::Client,
    keeper: mpsc::UnboundedSender<Message>,
    tasks: Option<[JoinHandle<()>; 2]>,
}

impl Reader {
    /// Creates a reader that does not read yet.
    pub fn new(platform: platform::Client, keeper: mpsc::UnboundedSender<Message>) -> Reader {
        Reader { platform, keeper, tasks: None }
    }

    /// Starts or stops reading.
    pub fn set_active(&mut self, active: bool) {
        match (active, self.tasks.take()) {
            (true, None) => {
                let watch = watch_head(self.platform.clone(), self.keeper.clone());
                let list = list_vms(self.platform.clone(), self.keeper.clone());
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

async fn watch_head(platform: platform::Client, keeper: mpsc::UnboundedSender<Message>) {
    let mut revision = 0;
    let mut was_lost = false;
    while !keeper.is_closed() {
        match platform.watch_head(revision, WATCH).await {
            Ok(Some((newer, head))) => {
                revision = newer;
                was_lost = false;
                let _ = keeper.send(Message::Published(head));
            }
            Ok(None) => {
                was_lost = false;
                let _ = keeper.send(Message::PlatformHeard);
                if revision == 0 {
                    // Nothing is published yet, and a missing key is not waited for.
                    tokio::time::sleep(RETRY).await;
                }
            }
            Err(error) => {
                if !was_lost {
                    events::PLATFORM_LOST.emit(&[("reason", &error)]);
                }
                was_lost = true;
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

async fn list_vms(platform: platform::Client, keeper: mpsc::UnboundedSender<Message>) {
    while !keeper.is_closed() {
        if let Ok(vms) = platform.vms().await {
            let leaving = vms.iter().filter(|it| it.presence == Presence::Leaving);
            let leaving = leaving.map(|it| it.ip).collect();
            let live = vms.iter().filter(|it| it.presence == Presence::Live);
            let _ = keeper.send(Message::Vms(live.map(|it| it.ip).collect(), leaving));
        }
        tokio::time::sleep(VMS_PERIOD).await;
    }
}
