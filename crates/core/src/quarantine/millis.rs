//! Encodes spans for other nodes as whole milliseconds in at most five bytes.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

pub fn serialize<S: Serializer>(span: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX).serialize(serializer)
}

pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    u32::deserialize(deserializer).map(|it| Duration::from_millis(it.into()))
}
