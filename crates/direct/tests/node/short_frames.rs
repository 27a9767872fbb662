//! Bodies that arrive in many short frames.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http_body_util::StreamBody;
use hyper::body::Frame;
use mimosabridge_direct::wire::collect;

use crate::env::run;

/// The frames of a body, each of one byte of a buffer.
const FRAMES: usize = 1_000;

/// A buffer that was read from a connection. The count is that of its clones.
struct Buffer(Arc<[u8]>);

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.0
    }
}

/// Guards against a body that fills the memory of a node although it is short: each frame kept its buffer.
#[test]
fn buffers_held() {
    run(async {
        let bytes: Arc<[u8]> = vec![b'x'; 4_096].into();
        let mut held = 0;
        let frames = stream::iter(0..FRAMES).map(|_| {
            held = held.max(Arc::strong_count(&bytes) - 1);
            let buffer = Bytes::from_owner(Buffer(bytes.clone()));
            Ok::<_, Infallible>(Frame::data(buffer.slice(..1)))
        });
        let body = collect(StreamBody::new(frames)).await.expect("no frame fails");
        assert_eq!(body.len(), FRAMES);
        assert!(held <= 1, "{held} buffers are held at a time");
    });
}
