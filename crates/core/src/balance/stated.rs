/// What a server says in an answer of the requests that it takes from all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stated {
    /// It takes this many requests per second.
    Limit(f64),
    /// It states no limit.
    NoLimit,
}
