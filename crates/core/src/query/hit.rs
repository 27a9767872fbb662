use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// A document that matches a query.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hit {
    /// The key of the document, the same wherever the document is held.
    pub key: String,
    /// How well the document matches; higher is better.
    pub score: f64,
    /// The document as the server returned it.
    pub document: Box<RawValue>,
}
