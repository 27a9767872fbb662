use std::{
    fs,
    path::{Path, PathBuf},
};

use mimosabridge::config::{Bundle, Change, Head};
use mimosabridge_cli::Fault;
use snafu::ResultExt;

/// A directory with one file for each key to publish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Directory {
    path: PathBuf,
}

impl Directory {
    /// Creates a handle to a directory, which need not exist yet.
    pub fn new(path: impl Into<PathBuf>) -> Directory {
        Directory { path: path.into() }
    }

    /// Reads the configuration that the head names.
    pub fn read(&self) -> Result<Bundle, Fault> {
        let text = read(&self.path.join(Head::KEY))?;
        let head: Head = serde_json::from_str(&text)
            .with_whatever_context(|_| format!("{} is not a head", self.path.display()))?;
        let parts: Result<Vec<_>, _> =
            (0..head.parts).map(|it| read(&self.path.join(head.part_key(it)))).collect();
        Bundle::assemble(head, &parts?)
            .with_whatever_context(|_| format!("{} cannot be read", self.path.display()))
    }

    /// Writes the values of a configuration; the head is written last.
    pub fn write(&self, bundle: &Bundle, change: &Change) -> Result<(), Fault> {
        let head = bundle.head();
        let name = self.path.display();
        fs::create_dir_all(&self.path)
            .with_whatever_context(|_| format!("cannot create {name}"))?;
        for (number, part) in bundle.parts().iter().enumerate() {
            write(&self.path.join(head.part_key(number)), part)?;
        }
        write(&self.path.join(head.change_key()), &json(change)?)?;
        write(&self.path.join(Head::KEY), &json(&head)?)
    }
}

fn json(value: &impl serde::Serialize) -> Result<String, Fault> {
    serde_json::to_string(value).whatever_context("the value cannot be written as JSON")
}

fn read(path: &Path) -> Result<String, Fault> {
    fs::read_to_string(path).with_whatever_context(|_| format!("cannot read {}", path.display()))
}

fn write(path: &Path, text: &str) -> Result<(), Fault> {
    fs::write(path, text).with_whatever_context(|_| format!("cannot write {}", path.display()))
}
