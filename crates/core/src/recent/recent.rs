use std::collections::HashMap;

use crate::name::Name;

/// Values by name, of which only the most recently used ones are kept.
#[derive(Clone, Debug)]
pub struct Recent<T> {
    values: HashMap<Name, Slot<T>>,
    capacity: usize,
    /// The number of uses so far.
    uses: u64,
}

#[derive(Clone, Debug)]
struct Slot<T> {
    value: T,
    /// The number of the last use.
    used: u64,
}

impl<T> Recent<T> {
    /// Creates a collection of at most `capacity` values, at least one.
    pub fn new(capacity: usize) -> Recent<T> {
        Recent { values: HashMap::new(), capacity: capacity.max(1), uses: 0 }
    }

    /// Returns the value of a name. This does not count as a use.
    pub fn get(&self, name: &Name) -> Option<&T> {
        self.values.get(name).map(|it| &it.value)
    }

    /// Uses the value of a name, which `new` makes if there is none.
    pub fn get_or_insert_with(&mut self, name: &Name, new: impl FnOnce() -> T) -> &mut T {
        if !self.values.contains_key(name) && self.values.len() >= self.capacity {
            self.remove_oldest();
        }
        self.uses += 1;
        let used = self.uses;
        let slot = self.values.entry(name.clone());
        let slot = slot.or_insert_with(|| Slot { value: new(), used });
        slot.used = used;
        &mut slot.value
    }

    /// Keeps only the values of names for which a condition holds.
    pub fn retain(&mut self, is_kept: impl Fn(&Name) -> bool) {
        self.values.retain(|name, _| is_kept(name));
    }

    fn remove_oldest(&mut self) {
        let oldest = self.values.iter().min_by_key(|it| it.1.used).map(|it| it.0.clone());
        if let Some(oldest) = oldest {
            self.values.remove(&oldest);
        }
    }
}
