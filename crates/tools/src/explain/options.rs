use std::{path::PathBuf, time::Duration};

use mimosabridge_cli::{Fault, Options};

/// The help text.
pub const USAGE: &str = "\
Tells what became of one request, and why, from the log lines of nodes.

  mimosabridge-explain [--before-s N] ID [FILE...]

  --before-s N           seconds before the end of the request from which changes of belief about
                         its servers are shown (10)
  --help                 this text

ID is the id of the request; a caller's retry has an id of its own. Each FILE holds the lines of one
or more nodes, - stands for the standard input, which is read if no file is named. What stands before
the JSON object of a line is taken as the name of its node.

Exit codes: 0 found, 1 a file can't be read, 2 wrong options, 3 no line has the id.";

/// Time before the end of a request from which state changes are shown, in seconds: as long as
/// most faults last.
const DEFAULT_BEFORE_S: u64 = 10;

/// The parsed options of the tool.
#[derive(Clone, Debug)]
pub struct Config {
    /// The ID of the request.
    pub id: String,
    /// The files with log lines; `-` stands for the standard input.
    pub files: Vec<PathBuf>,
    /// The time before the end of the request from which state changes are shown.
    pub before: Duration,
}

/// Parses the options of the tool.
pub fn parse(mut options: Options) -> Result<Config, Fault> {
    let before = Duration::from_secs(options.or("--before-s", DEFAULT_BEFORE_S));
    let id = options.argument().unwrap_or_default();
    if id.is_empty() {
        options.reject("ID is missing; name the id of the request".into());
    }
    let mut files = Vec::new();
    while let Some(file) = options.argument() {
        files.push(PathBuf::from(file));
    }
    if files.is_empty() {
        files.push("-".into());
    }
    options.finish()?;
    Ok(Config { id, files, before })
}
