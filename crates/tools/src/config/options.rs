use std::{net::SocketAddr, path::PathBuf};

use mimosabridge::config::Stamp;
use mimosabridge_cli::{Fault, Options};

/// The help text.
pub const USAGE: &str = "\
Checks change sets and builds what operators publish.

  mimosabridge-config check [BASE] CHANGE.toml             report every finding
  mimosabridge-config build [BASE] --out DIR CHANGE.toml   write the values to publish
  mimosabridge-config show BASE                            print the configuration as JSON

BASE is the configuration that the change set replaces; without it the change set is the first.

  --base DIR               values that were built before
  --platform IP:PORT       what is published now
  --out DIR                where to write, one file for each key
  --settle VERSION-DIGEST  a rival configuration that this one replaces too
  --help                   this text

Publish the file `head` last. Exit codes: 0 done, 1 failed, 2 wrong options, 3 findings.";

/// The parsed options of the tool.
#[derive(Clone, Debug)]
pub struct Config {
    /// The command to run.
    pub command: Command,
    /// The configuration that the change set replaces.
    pub base: Base,
}

/// A command of the tool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Reports every finding of a change set.
    Check {
        /// The change set.
        change: PathBuf,
    },
    /// Writes the values to publish.
    Build {
        /// The change set.
        change: PathBuf,
        /// The directory to write to.
        out: PathBuf,
        /// A rival configuration that is replaced too.
        settle: Option<Stamp>,
    },
    /// Prints a configuration.
    Show,
}

/// The configuration that a change set replaces.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Base {
    /// No configuration; the change set is the first.
    Nothing,
    /// Values that were built before.
    Directory(PathBuf),
    /// The configuration that the platform at this address publishes.
    Platform(SocketAddr),
}

/// Parses the options of the tool.
pub fn parse(mut options: Options) -> Result<Config, Fault> {
    let base: Option<PathBuf> = options.optional::<String>("--base").map(PathBuf::from);
    let platform = options.optional("--platform");
    let out = options.optional::<String>("--out").map(PathBuf::from);
    let settle = options.optional("--settle");
    let base = match (base, platform) {
        (None, None) => Base::Nothing,
        (Some(directory), None) => Base::Directory(directory),
        (None, Some(address)) => Base::Platform(address),
        (Some(_), Some(_)) => {
            options.reject("`--base` and `--platform` exclude each other; give one".into());
            Base::Nothing
        }
    };
    let name = options.argument();
    let command = match name.as_deref() {
        Some("check") => change(&mut options).map(|change| Command::Check { change }),
        Some("build") => build(&mut options, out, settle),
        Some("show") => Some(Command::Show),
        Some(other) => {
            options.reject(format!("`{other}` is not a command; use check, build or show"));
            None
        }
        None => {
            options.reject("the command is missing; use check, build or show".into());
            None
        }
    };
    options.finish()?;
    let command = command.unwrap_or(Command::Show);
    Ok(Config { command, base })
}

fn build(options: &mut Options, out: Option<PathBuf>, settle: Option<Stamp>) -> Option<Command> {
    let change = change(options);
    if out.is_none() {
        options.reject("`--out` is missing; name the directory to write to".into());
    }
    Some(Command::Build { change: change?, out: out?, settle })
}

fn change(options: &mut Options) -> Option<PathBuf> {
    let change = options.argument().map(PathBuf::from);
    if change.is_none() {
        options.reject("the change set is missing; name its TOML file".into());
    }
    change
}
