use std::sync::Arc;

use mimosabridge::directory::Entry;

use super::Shared;
use crate::{backend::Notice, events};

impl Shared {
    /// Returns whether a server wants no requests now, also no health checks.
    pub fn is_resting(&self, server: &Entry) -> bool {
        self.state.borrow().balancer.is_resting(server, self.now())
    }

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
        if let Some(rest) = notice.rest
            && balancer.on_resting(server, rest, self.now())
        {
            self.metrics.rests.inc();
            events::SERVER_RESTING.emit(&[
                ("server", &server.id),
                ("service", &server.service),
                ("millis", &rest.as_millis()),
                ("source", &source),
            ]);
        }
    }
}
