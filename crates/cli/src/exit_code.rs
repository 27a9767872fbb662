use std::process;

/// The exit code of a binary. The codes are documented in `docs/OPERATIONS.md`.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitCode {
    /// The work succeeded.
    Success,
    /// The work failed.
    Failure,
    /// The command line or the environment is invalid.
    Usage,
    /// The input was read and is invalid.
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
