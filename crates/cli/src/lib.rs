//! Options, exit codes and structured logs shared by the binaries of mimosabridge.

mod event;
mod exit_code;
mod fault;
mod options;

pub use self::{
    event::{Event, init_log},
    exit_code::{ExitCode, run},
    fault::Fault,
    options::Options,
};
