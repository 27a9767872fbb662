use http::StatusCode;

/// Returns whether a status is one that a final answer may have. RFC 9110, section 15: a status outside
/// of 100 to 599 is invalid, and 1xx announces a later answer.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}
