use serde::{Deserialize, Serialize};

use super::{Kind, Set};
use crate::name::Name;

/// A change set: objects to put and objects to remove, applied as one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// Objects to add, or to replace where the name is taken.
    pub put: Set,
    /// Objects to remove.
    pub remove: Vec<Reference>,
}

/// The kind and name of an object.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reference {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: Name,
}

impl Change {
    /// Returns `base` with the removals and then the additions applied.
    pub fn apply(&self, base: &Set) -> Set {
        let mut set = base.clone();
        for reference in &self.remove {
            set.remove(reference.kind, &reference.name);
        }
        set.put(self.put.clone());
        set
    }

    /// Returns the number of objects that the change touches.
    pub fn len(&self) -> usize {
        self.put.len() + self.remove.len()
    }

    /// Returns whether the change touches no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the change that leads from `old` to `new`.
    pub fn between(old: &Set, new: &Set) -> Change {
        Change { put: new.differing_from(old), remove: new.missing_from(old) }
    }
}
