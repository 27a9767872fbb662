use serde::{Deserialize, Serialize};

use super::{Kind, Set};
use crate::name::Name;

/// A change set: objects to put and objects to remove, applied together.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Change {
    /// The objects to add, or to replace where an object of that name exists.
    pub put: Set,
    /// The objects to remove.
    pub remove: Vec<Reference>,
}

/// Refers to an object by its kind and name.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Reference {
    /// The kind of the object.
    pub kind: Kind,
    /// The name of the object.
    pub name: Name,
}

impl Change {
    /// Applies the removals and then the additions to `base`, and returns the result.
    pub fn apply(&self, base: &Set) -> Set {
        let mut set = base.clone();
        for reference in &self.remove {
            set.remove(reference.kind, &reference.name);
        }
        set.put(self.put.clone());
        set
    }

    /// Returns the number of objects that the change puts or removes.
    pub fn len(&self) -> usize {
        self.put.len() + self.remove.len()
    }

    /// Returns whether the change puts and removes no object.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the change that leads from `old` to `new`.
    pub fn between(old: &Set, new: &Set) -> Change {
        Change { put: new.changed_since(old), remove: new.removed_since(old) }
    }
}
