use std::{collections::BTreeMap, env, ffi::OsString, fmt::Display, str::FromStr};

use pico_args::Arguments;

use crate::Fault;

/// Prefix of the environment variables that correspond to flags.
const ENV_PREFIX: &str = "MIMOSABRIDGE_";

/// Options from flags and environment variables. Errors are collected as findings.
///
/// The flag `--peer-listen` may also be given as `MIMOSABRIDGE_PEER_LISTEN`; the flag has
/// precedence.
pub struct Options {
    args: Arguments,
    env: BTreeMap<String, String>,
    findings: Vec<String>,
}

impl Options {
    /// Reads the command line and the environment of the process.
    pub fn from_process() -> Options {
        let env = env::vars().filter(|(name, _)| name.starts_with(ENV_PREFIX)).collect();
        Options::new(env::args_os().skip(1).collect(), env)
    }

    /// Creates options from arguments and environment variables.
    pub fn new(args: Vec<OsString>, env: BTreeMap<String, String>) -> Options {
        Options { args: Arguments::from_vec(args), env, findings: Vec::new() }
    }

    /// Returns whether a flag that takes no value is given.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.args.contains(name) || self.env.contains_key(&variable(name))
    }

    /// Returns the value of an option, or `None` if it is missing or invalid.
    pub fn optional<T>(&mut self, name: &'static str) -> Option<T>
    where
        T: FromStr<Err: Display>,
    {
        let text = self.text(name)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.findings.push(format!("`{name} {text}` is not valid: {error}"));
                None
            }
        }
    }

    /// Returns the value of an option, or `default` if it is missing or invalid.
    pub fn or<T>(&mut self, name: &'static str, default: T) -> T
    where
        T: FromStr<Err: Display>,
    {
        self.optional(name).unwrap_or(default)
    }

    /// Returns the value of a required option. If it is missing or invalid, returns `placeholder`,
    /// and [`Options::finish`] returns an error later.
    pub fn required<T>(&mut self, name: &'static str, placeholder: T) -> T
    where
        T: FromStr<Err: Display>,
    {
        let before = self.findings.len();
        let value = self.optional(name);
        if value.is_none() && self.findings.len() == before {
            let variable = variable(name);
            self.findings.push(format!("`{name}` is missing; give it or set {variable}"));
        }
        value.unwrap_or(placeholder)
    }

    /// Returns the valid values of a comma-separated list option.
    pub fn list<T>(&mut self, name: &'static str) -> Vec<T>
    where
        T: FromStr<Err: Display>,
    {
        let Some(text) = self.text(name) else { return Vec::new() };
        let mut values = Vec::new();
        for part in text.split(',').filter(|it| !it.is_empty()) {
            match part.parse() {
                Ok(value) => values.push(value),
                Err(error) => {
                    self.findings.push(format!("`{part}` in `{name}` is not valid: {error}"));
                }
            }
        }
        values
    }

    /// Returns the next positional argument. Call it after all flags are read.
    pub fn argument(&mut self) -> Option<String> {
        self.args.opt_free_from_str().ok().flatten()
    }

    /// Adds a finding, so that [`Options::finish`] returns an error.
    pub fn reject(&mut self, finding: String) {
        self.findings.push(finding);
    }

    /// Returns an error with all findings, including arguments that were not read.
    pub fn finish(mut self) -> Result<(), Fault> {
        for left in self.args.finish() {
            let left = left.to_string_lossy();
            self.findings.push(format!("`{left}` is not an option; see `--help`"));
        }
        if self.findings.is_empty() {
            return Ok(());
        }
        Err(Fault::Options { findings: self.findings })
    }

    fn text(&mut self, name: &'static str) -> Option<String> {
        match self.args.opt_value_from_str::<_, String>(name) {
            Ok(Some(value)) => Some(value),
            Ok(None) => self.env.get(&variable(name)).cloned(),
            Err(error) => {
                self.findings.push(format!("`{name}`: {error}"));
                None
            }
        }
    }
}

/// Returns the environment variable that corresponds to a flag.
fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("{ENV_PREFIX}{name}")
}
