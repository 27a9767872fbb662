//! What servers say of themselves, as one node tells it to another that passes their answers on.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response};
use mimosabridge::{name::Name, time::Time};
use snafu::{OptionExt, ResultExt, Whatever};

use super::respond::Answer;
use crate::{backend::Notice, events, node::Shared};

/// Names a server that leaves.
const LEAVING: HeaderName = HeaderName::from_static("x-mimosabridge-leaving");

/// Names a server that wants no requests, after the milliseconds for which it wants none and a space.
const RESTING: HeaderName = HeaderName::from_static("x-mimosabridge-resting");

/// What servers have said of themselves in their answers to one request.
#[derive(Clone, Debug, Default)]
pub struct Notices {
    leaving: BTreeSet<Name>,
    /// The servers that want no requests, with the ends of that.
    resting: BTreeMap<Name, Time>,
}

impl Notices {
    /// Adds what a server has just said of itself.
    pub fn add(&mut self, server: &Name, notice: Notice, now: Time) {
        if notice.is_leaving {
            self.leaving.insert(server.clone());
        }
        if let Some(rest) = notice.rest {
            let end = self.resting.entry(server.clone()).or_default();
            *end = (now + rest).max(*end);
        }
    }

    /// Writes the notices into an answer to another node, which must know as much as if the servers
    /// had answered it.
    pub fn write(&self, answer: &mut Answer, now: Time) {
        let leaving = self.leaving.iter().map(|it| (LEAVING, it.to_string()));
        let resting = self.resting.iter().filter(|it| *it.1 > now).map(|(server, end)| {
            let millis = now.until(*end).as_millis();
            (RESTING, format!("{millis} {server}"))
        });
        for (name, value) in leaving.chain(resting) {
            match HeaderValue::from_str(&value) {
                Ok(value) => drop(answer.headers_mut().append(name, value)),
                Err(error) => trouble(&error),
            }
        }
    }
}

/// Records what servers have said of themselves to the node that made an answer.
pub fn record(shared: &Shared, answer: &Response<Bytes>) {
    for value in answer.headers().get_all(LEAVING) {
        match value.to_str() {
            Ok(server) => tell(shared, server, Notice { is_leaving: true, rest: None }),
            Err(error) => trouble(&error),
        }
    }
    for value in answer.headers().get_all(RESTING) {
        match parse_rest(value) {
            Ok((rest, server)) => {
                tell(shared, server, Notice { is_leaving: false, rest: Some(rest) });
            }
            Err(error) => trouble(&error),
        }
    }
}

/// Removes the notices: those of another node are for this one alone, and servers write none.
pub fn strip(headers: &mut HeaderMap) {
    headers.remove(LEAVING);
    headers.remove(RESTING);
}

fn parse_rest(value: &HeaderValue) -> Result<(Duration, &str), Whatever> {
    let text = value.to_str().whatever_context("a rest is not text")?;
    let (millis, server) = text.split_once(' ').whatever_context("a rest names no server")?;
    let millis = millis.parse().whatever_context("a rest is not a number of milliseconds")?;
    Ok((Duration::from_millis(millis), server))
}

fn tell(shared: &Shared, server: &str, notice: Notice) {
    let entry = shared.state.borrow().balancer.directory().get(&Name::new(server)).cloned();
    if let Some(entry) = entry {
        shared.on_notice(&entry, notice, "relayed answer");
    }
}

fn trouble(error: &dyn std::fmt::Display) {
    events::TROUBLE.emit(&[("operation", &"tell what a server says of itself"), ("error", &error)]);
}
