use std::process;

/// How a binary ends. The codes are documented in `docs/OPERATIONS.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// Everything was done.
    Success,
    /// Something failed while running.
    Failure,
    /// The command line or the environment is wrong.
    Usage,
    /// The input was read and found wrong.
    Findings,
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> process::ExitCode {
        process::ExitCode::from(match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Findings => 3,
        })
    }
}
