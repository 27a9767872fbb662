use std::fmt;

use super::Kind;
use crate::name::Name;

/// Where in a configuration a finding was made.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Place {
    /// The line of the object in its document, counted from 1, if it came from one.
    pub line: Option<usize>,
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: Name,
    /// The field of the object.
    pub field: &'static str,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{} {:?}, field `{}`", self.kind, self.name.as_str(), self.field)
    }
}
