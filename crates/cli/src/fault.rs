use snafu::Snafu;

use crate::ExitCode;

/// An error that ends a binary.
#[derive(Debug, Snafu)]
pub enum Fault {
    /// Options are invalid; all findings are listed.
    #[snafu(display("{}", findings.join("\n")))]
    Options {
        /// One sentence for each finding, with the option and how to fix it.
        findings: Vec<String>,
    },
    /// The work failed.
    #[snafu(whatever, display("{message}"))]
    Work {
        /// The operation that failed.
        message: String,
        /// The cause, if known.
        #[snafu(source(from(Box<dyn std::error::Error + Send + Sync>, Some)))]
        source: Option<Box<dyn std::error::Error + Send + Sync>>,
    },
}

impl Fault {
    /// Creates the fault for invalid options.
    pub fn findings(findings: Vec<String>) -> Fault {
        Fault::Options { findings }
    }

    /// Returns the exit code for the fault.
    pub fn code(&self) -> ExitCode {
        match self {
            Fault::Options { .. } => ExitCode::Usage,
            Fault::Work { .. } => ExitCode::Failure,
        }
    }

    /// Returns the lines to print for the fault.
    pub fn lines(&self) -> Vec<String> {
        match self {
            Fault::Options { findings } => findings.clone(),
            Fault::Work { message, source: Some(source) } => vec![format!("{message}: {source}")],
            Fault::Work { message, source: None } => vec![message.clone()],
        }
    }
}
