use snafu::Snafu;

use crate::ExitCode;

/// Why a binary could not do its work.
#[derive(Debug, Snafu)]
pub enum Fault {
    /// Options are wrong; every finding is told.
    #[snafu(display("{}", findings.join("\n")))]
    Options {
        /// One sentence for each finding, which names the option and the fix.
        findings: Vec<String>,
    },
    /// The work itself failed.
    #[snafu(whatever, display("{message}"))]
    Work {
        /// What was being done.
        message: String,
        /// Why it failed.
        #[snafu(source(from(Box<dyn std::error::Error + Send + Sync>, Some)))]
        source: Option<Box<dyn std::error::Error + Send + Sync>>,
    },
}

impl Fault {
    /// Creates the fault of options that are wrong.
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

    /// Returns the lines to print.
    pub fn lines(&self) -> Vec<String> {
        match self {
            Fault::Options { findings } => findings.clone(),
            Fault::Work { message, source: Some(source) } => vec![format!("{message}: {source}")],
            Fault::Work { message, source: None } => vec![message.clone()],
        }
    }
}
