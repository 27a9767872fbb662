//! Options, exit codes and structured logs shared by the binaries of mimosabridge.

mod binary;
mod event;
mod exit_code;
mod fault;
mod json_log;
mod options;

pub use self::{
    binary::Binary,
    event::{Event, init_log},
    exit_code::ExitCode,
    fault::Fault,
    json_log::{flush_json_log, init_json_log},
    options::Options,
};
