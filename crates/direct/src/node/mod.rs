//! One node: its settings, its shared state and its execution from start to stop.

mod admin;
mod crashes;
mod notices;
mod reach;
mod run;
mod settings;
mod shared;

pub use self::{
    run::run,
    settings::{Reload, Settings},
    shared::{PAUSE_THRESHOLD, Shared, State},
};
