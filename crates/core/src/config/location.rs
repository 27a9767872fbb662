use std::fmt;

use super::Kind;
use crate::name::Name;

/// The location of a finding in a configuration.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Location {
    /// The line of the object in its document, counted from 1, if it comes from a document.
    pub line: Option<usize>,
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: Name,
    /// The field of the object.
    pub field: &'static str,
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{} {:?}, field `{}`", self.kind, self.name.as_str(), self.field)
    }
}
