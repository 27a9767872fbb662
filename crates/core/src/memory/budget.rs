/// The bytes that each answer may take whatever the others take: more than most answers have.
const FREE_BYTES: usize = 16 * 1_024;

/// The bytes that all answers may take beyond that.
const MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// The memory that the answers of a node share.
///
/// Servers that send bytes without end would otherwise fill it, as each answer may be long. When it is used
/// up, the answers that take more than an equal part get no more, so that the others can be read to their end. The
/// sum stays below twice [`MAX_BYTES`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Budget {
    /// The bytes beyond the free ones, of all answers.
    used: usize,
    /// The number of answers with such bytes.
    holders: usize,
}

/// What one answer takes.
#[derive(Debug, Default)]
pub struct Share {
    bytes: usize,
}

impl Share {
    /// Returns the bytes beyond the free ones.
    pub fn excess(&self) -> usize {
        self.bytes.saturating_sub(FREE_BYTES)
    }
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Returns whether more bytes of an answer may be read.
    pub fn admits(&self, share: &Share) -> bool {
        let equal_part = MAX_BYTES / self.holders.max(1);
        share.bytes < FREE_BYTES || self.used < MAX_BYTES || share.excess() < equal_part
    }

    /// Records that bytes of an answer were read.
    pub fn take(&mut self, share: &mut Share, bytes: usize) {
        let before = share.excess();
        share.bytes += bytes;
        self.used += share.excess() - before;
        self.holders += usize::from(before == 0 && share.excess() > 0);
    }

    /// Records that an answer is no longer held.
    pub fn give_back(&mut self, share: &mut Share) {
        let excess = share.excess();
        self.used -= excess;
        self.holders -= usize::from(excess > 0);
        share.bytes = 0;
    }
}
