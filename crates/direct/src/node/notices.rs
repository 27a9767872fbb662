use std::sync::Arc;

use mimosabridge::directory::Entry;

use super::Shared;
use crate::{backend::Notice, events};

impl Shared {
    /// Records what a server says of itself. `source` says how this node learned it.
    pub fn on_notice(&self, server: &Arc<Entry>, notice: Notice, source: &str) {
        let balancer = &mut self.state.borrow_mut().balancer;
        if notice.is_leaving && balancer.on_leaving(server, self.now()) {
            self.metrics.leaving_servers.inc();
            events::SERVER_LEAVING.emit(&[
                ("server", &server.id),
                ("service", &server.service),
                ("born", &server.born),
                ("source", &source),
            ]);
        }
    }
}
