//! The protocol between a gate and a backend server, in HTTP with JSON bodies.
//!
//! | request | answer |
//! |---|---|
//! | `POST /shards/{shard}/search` | 200 [`Reply`]; 503 [`Refused`]; others: fate unknown |
//! | `DELETE /requests/{id}` | 204; the request stops as soon as it can |
//! | `GET /health` | 200 [`Health`] |

mod health;
mod refused;
mod reply;

pub use self::{
    health::Health,
    refused::{Reason, Refused},
    reply::Reply,
};

/// Header of a search: the identity of the request, echoed in the reply.
pub const REQUEST_ID: &str = "x-request-id";

/// Header of a search: milliseconds after which the answer is of no more use.
pub const DEADLINE_MS: &str = "x-deadline-ms";

/// Header of a search: the version of the index to answer from.
pub const SNAPSHOT: &str = "x-snapshot";

/// Header of a search: the trace context, as W3C defines it.
pub const TRACE_PARENT: &str = "traceparent";
