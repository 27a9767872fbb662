/// Counts of the outcomes of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub requests: usize,
    /// The sum over all answers within the objective of the square of their coverage.
    pub credit: f64,
    pub late: usize,
    pub refused: usize,
    pub failed: usize,
    /// The requests that reached a server, beyond the first for each shard.
    pub extras: usize,
    /// The requests that reached a server while it rested.
    pub unwanted: usize,
}

impl Tally {
    /// Returns the average credit per request.
    pub fn score(&self) -> f64 {
        self.credit / self.requests as f64
    }
}
