use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

/// The most bytes that are reserved for a body by its stated length, before they arrive.
const MAX_RESERVED_BYTES: u64 = 16 * 1_024;

/// Reads a body to its end. The bytes are copied: a frame keeps the whole buffer that it was read into, however short
/// it is.
pub async fn collect<B: Body<Data = Bytes> + Unpin>(mut body: B) -> Result<Bytes, B::Error> {
    let reserved = body.size_hint().lower().min(MAX_RESERVED_BYTES);
    let mut bytes = BytesMut::with_capacity(reserved as usize);
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.freeze())
}
