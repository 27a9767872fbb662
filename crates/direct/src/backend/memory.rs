use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use mimosabridge::memory::{Budget, Share};

/// The memory that all answers of a node share. Clones are handles to the same memory.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    budget: Arc<Mutex<Budget>>,
}

/// The memory that one answer takes. It is given back when the charge is dropped.
#[derive(Debug, Default)]
pub struct Charge {
    memory: Memory,
    share: Share,
}

impl Memory {
    /// Creates a memory of which nothing is used.
    pub fn new() -> Memory {
        Memory::default()
    }

    fn lock(&self) -> MutexGuard<'_, Budget> {
        // The budget is consistent between calls, whatever a holder does.
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Charge {
    /// Creates the charge of an answer of which nothing was read.
    pub fn new(memory: &Memory) -> Charge {
        Charge { memory: memory.clone(), share: Share::default() }
    }

    /// Returns whether more bytes of the answer may be read.
    pub fn admits(&self) -> bool {
        self.memory.lock().admits(&self.share)
    }

    /// Records that bytes of the answer were read.
    pub fn add(&mut self, bytes: usize) {
        self.memory.lock().take(&mut self.share, bytes);
    }

    /// Returns the body of the answer, which keeps the charge until its last clone is dropped.
    pub fn bind(self, body: Bytes) -> Bytes {
        if self.share.excess() == 0 {
            return body;
        }
        Bytes::from_owner(Charged { body, _charge: self })
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.memory.lock().give_back(&mut self.share);
    }
}

/// A body with its charge.
struct Charged {
    body: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Charged {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}
