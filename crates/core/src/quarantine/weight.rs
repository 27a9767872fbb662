use serde::{Deserialize, Serialize};

/// Attempts are lost at least this often: a lower measured share says little, as few attempts are
/// counted.
const MIN_LOSS_SHARE: f64 = 1.0 / 12.0;

/// The most that a sign that the server has ended adds, in tenths of a bit.
const PROOF: u8 = 18;

/// The most that a lost attempt weighs whose server went on answering, or is silent without any
/// other sign, in tenths of a bit. Servers that start again at once under their name answer, too.
const MAX_UNLIKELY: u8 = 15;

/// Lighter losses are dropped: a node that loses half of its attempts learns nothing from them.
const MIN_RELEVANT: u8 = 11;

/// How strongly a lost attempt speaks for the assumption that its content ends servers, in tenths of
/// a bit.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Weight(u8);

impl Weight {
    /// The weight of a crash that is beyond doubt.
    pub const PROVEN: Weight = Weight(35 + PROOF);

    /// The weight of a loss that its node has not weighed yet: just enough for a suspicion.
    pub const EARLY: Weight = Weight(Weight::SUSPICION as u8);

    /// The sum of weights at which a content is quarantined: a harmless content reaches it once in
    /// some 1,400 runs of losses.
    pub const QUARANTINE: u32 = 105;

    /// The sum of weights from which a content is tried on one server first.
    pub const SUSPICION: u32 = 30;

    /// Returns the weight of a loss where harmless contents lose this share of their attempts.
    pub fn new(loss_share: f64) -> Weight {
        let bits = -loss_share.clamp(MIN_LOSS_SHARE, 1.0).log2();
        Weight((bits * 10.0) as u8)
    }

    /// Returns the weight of the same loss, with a sign that the server has ended. A node that loses
    /// most attempts can't trust signs either.
    pub fn with_proof(self) -> Weight {
        Weight(self.0 + self.0.min(PROOF))
    }

    /// Returns the weight of the same loss, if the server probably has not ended.
    pub fn with_doubt(self) -> Weight {
        Weight(self.0.min(MAX_UNLIKELY))
    }

    /// Returns whether losses of this weight can add up to a quarantine.
    pub fn is_relevant(self) -> bool {
        self.0 >= MIN_RELEVANT
    }

    /// Returns the tenths of a bit.
    pub fn tenths(self) -> u32 {
        self.0.into()
    }
}
