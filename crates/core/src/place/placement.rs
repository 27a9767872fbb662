use std::str::FromStr;

use snafu::Snafu;

/// Which gates send work to a server at the same time.
///
/// Fleets use [`Placement::Primary`]. The others are baselines for measurements.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Placement {
    /// The first of the ranked gates that is alive.
    #[default]
    Primary,
    /// All ranked gates, each with its share of the slots.
    Spread,
    /// Every gate, each with an equal share of the slots among a number of VMs. An entry uses only
    /// the gate of its own VM.
    Direct {
        /// The number of VMs that share the slots of a server.
        vms: u32,
    },
}

/// The text does not name a placement.
#[derive(Debug, Snafu)]
#[snafu(display("\"{text}\" is not a placement; use primary, spread or direct-N"))]
pub struct PlacementError {
    text: String,
}

impl FromStr for Placement {
    type Err = PlacementError;

    fn from_str(text: &str) -> Result<Placement, PlacementError> {
        let vms = text.strip_prefix("direct-").and_then(|it| it.parse().ok());
        match (text, vms) {
            ("primary", _) => Ok(Placement::Primary),
            ("spread", _) => Ok(Placement::Spread),
            (_, Some(vms)) => Ok(Placement::Direct { vms }),
            (_, None) => PlacementSnafu { text }.fail(),
        }
    }
}
