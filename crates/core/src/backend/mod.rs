//! The protocol between a gate and a backend server: HTTP with JSON bodies.
//!
//! | request | answer |
//! |---|---|
//! | `POST /shards/{shard}/search` | 200 [`Reply`]; 503 [`Refused`]; others: it may have run |
//! | `DELETE /requests/{id}` | 204; the server stops the request as soon as it can |
//! | `GET /health` | 200 [`Health`] |

mod health;
mod refused;
mod reply;

pub use self::{
    health::Health,
    refused::{Reason, Refused},
    reply::Reply,
};

/// The header of a search with the identity of the request, which the reply repeats.
pub const REQUEST_ID: &str = "x-request-id";

/// The header of a search with the milliseconds that are left until its deadline.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// The header of a search with the version of the index to search.
pub const SNAPSHOT: &str = "x-snapshot";

/// The header of a search with the W3C trace context.
pub const TRACE_PARENT: &str = "traceparent";
