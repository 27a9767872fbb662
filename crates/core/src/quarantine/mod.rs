//! Quarantine for requests whose content crashes backend servers.
//!
//! The load pattern: a content comes again and again, at any node, and ends each server that runs it,
//! whatever the end looks like from outside. The evidence is that the content is never answered: a
//! [`Detector`] weighs each lost attempt by how often this node loses attempts anyway, and by what
//! its server does next; a [`List`] adds the weights up for all contents and nodes, and says what
//! other nodes must be told.

mod background;
mod content;
mod crash;
mod detector;
mod evidence;
mod list;
mod millis;
mod weight;

pub use self::{
    background::Background,
    content::CRASH_THRESHOLD,
    crash::Crash,
    detector::{Detector, Loss, Sign},
    evidence::Evidence,
    list::{Effect, List},
    weight::Weight,
};
