use std::io::{self, Read, Write};

use base64::{Engine, engine::general_purpose::STANDARD};
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use mimosabridge::feed::Update;
use mimosabridge_node::rpc::MAX_MESSAGE_BYTES;
use snafu::{ResultExt, Snafu};

/// Shorter updates are not compressed.
const MIN_PACKED_BYTES: usize = 4_096;

/// The error of an update that could not be unpacked.
#[derive(Debug, Snafu)]
pub enum UnpackError {
    /// The text is not valid base64.
    #[snafu(display("a packed update is not base64: {source}"))]
    Text {
        /// What is wrong with it.
        source: base64::DecodeError,
    },
    /// The bytes can't be decompressed.
    #[snafu(display("a packed update can't be decompressed: {source}"))]
    Bytes {
        /// What is wrong with them.
        source: io::Error,
    },
    /// The decompressed bytes are not an update.
    #[snafu(display("a packed update can't be read: {source}"))]
    Json {
        /// What is wrong with it.
        source: serde_json::Error,
    },
}

/// Returns an update as base64 of compressed JSON, or `None` if it is short.
///
/// A reader sends a large configuration to all its followers at once, and its link or its share of
/// a core would otherwise delay the last of them by seconds.
pub fn pack(update: &Update) -> Option<String> {
    let json = serde_json::to_vec(update).ok()?;
    if json.len() < MIN_PACKED_BYTES {
        return None;
    }
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&json).ok()?;
    Some(STANDARD.encode(encoder.finish().ok()?))
}

/// Reads an update that [`pack`] has made. Fails if it is invalid or longer than a message may be.
pub fn unpack(text: &str) -> Result<Update, UnpackError> {
    let bytes = STANDARD.decode(text).context(TextSnafu)?;
    let mut json = Vec::new();
    let mut decoder = DeflateDecoder::new(&bytes[..]).take(MAX_MESSAGE_BYTES.into());
    decoder.read_to_end(&mut json).context(BytesSnafu)?;
    serde_json::from_slice(&json).context(JsonSnafu)
}
