use std::{collections::HashSet, sync::Arc, time::Duration};

use mimosabridge::config::{Chain, Origin, Verdict};
use tokio::sync::watch;

use super::View;
use crate::{events, node::Config, platform, timer};

/// How long a configuration that was read is weighed against rivals before it is in force.
const SETTLE: Duration = Duration::from_secs(2);

/// How long one watch of the platform waits.
const WATCH: Duration = Duration::from_secs(2);

/// How long to wait after a failed read.
const RETRY: Duration = Duration::from_secs(1);

/// Keeps the view of the fleet: follows the platform and tells the parts of the node.
pub struct Keeper {
    timer: timer::Service,
    platform: platform::Client,
    chain: Chain,
    view: View,
    views: watch::Sender<Arc<View>>,
    revision: u64,
}

impl Keeper {
    /// Creates the keeper of a node. It publishes each view to `views`.
    pub fn new(config: &Config, timer: timer::Service, views: watch::Sender<Arc<View>>) -> Keeper {
        let view = View {
            config: None,
            gates: config.gates.iter().cloned().collect(),
            leaving: HashSet::new(),
        };
        Keeper {
            timer,
            platform: platform::Client::new(config.platform),
            chain: Chain::new(SETTLE),
            view,
            views,
            revision: 0,
        }
    }

    /// Follows the platform in a task of its own.
    pub fn start(mut self) {
        tokio::spawn(async move {
            loop {
                if let Err(error) = self.follow().await {
                    events::PLATFORM_LOST.emit(&[("reason", &error)]);
                    tokio::time::sleep(RETRY).await;
                }
                if let Some(bundle) = self.chain.tick(self.timer.now()) {
                    events::CONFIG_ACCEPTED.emit(&[("config", &bundle.stamp)]);
                    self.view.config = Some(bundle);
                    self.views.send_replace(Arc::new(self.view.clone()));
                }
            }
        });
    }

    async fn follow(&mut self) -> Result<(), platform::ReadError> {
        let wait = if self.chain.candidate().is_some() { SETTLE / 4 } else { WATCH };
        let Some((revision, head)) = self.platform.watch_head(self.revision, wait).await? else {
            return Ok(());
        };
        self.revision = revision;
        let base = self.chain.in_force().cloned();
        let bundle = self.platform.bundle(head, base.as_deref()).await?;
        let verdict = self.chain.offer(Arc::new(bundle), Origin::Published, self.timer.now());
        match verdict {
            Verdict::Conflict { standing } => {
                events::CONFIG_CONFLICT.emit(&[("standing", &standing)]);
            }
            Verdict::Invalid(findings) => {
                for finding in &findings {
                    events::CONFIG_INVALID.emit(&[("finding", finding)]);
                }
            }
            _ => {}
        }
        Ok(())
    }
}
