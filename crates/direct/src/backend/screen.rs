use std::{
    cell::RefCell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::{Buf, BytesMut};
use http::{HeaderName, HeaderValue, header};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::limited::Limited;

/// The longest head of an answer that is examined.
const MAX_HEAD_BYTES: usize = 64 * 1_024;

/// The most header fields of an answer that is examined.
const MAX_FIELDS: usize = 100;

/// How many bytes are read at a time until the head of an answer is known.
const CHUNK_BYTES: usize = 4_096;

/// A connection on which a late copy of the last answer is passed over.
pub struct Screen {
    stream: Limited,
    filter: Filter,
}

/// Which answer is passed over. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    state: Rc<RefCell<State>>,
}

#[derive(Debug, Default)]
struct State {
    /// The header that names the request of an answer, and the request whose answer has arrived
    /// before. Nothing once the head of the next answer has arrived.
    past: Option<(HeaderName, HeaderValue)>,
    /// The bytes that were read and not passed on.
    ahead: BytesMut,
    /// How many bytes to come belong to a copy.
    skipped: usize,
    copies: usize,
}

impl Filter {
    /// Passes over copies of the answer to an earlier request until the next answer comes.
    pub fn set_past(&self, name: &HeaderName, id: &HeaderValue) {
        self.state.borrow_mut().past = Some((name.clone(), id.clone()));
    }

    /// Returns how many copies were passed over since the last call.
    pub fn take_copies(&self) -> usize {
        std::mem::take(&mut self.state.borrow_mut().copies)
    }
}

impl State {
    /// Examines the bytes that were read. Returns whether they may be passed on.
    fn examine(&mut self) -> bool {
        loop {
            let skipped = self.skipped.min(self.ahead.len());
            self.ahead.advance(skipped);
            self.skipped -= skipped;
            if self.skipped > 0 {
                return false;
            }
            let Some((name, id)) = &self.past else { return true };
            let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
            let mut head = httparse::Response::new(&mut fields);
            match head.parse(&self.ahead) {
                Ok(httparse::Status::Partial) if self.ahead.len() < MAX_HEAD_BYTES => return false,
                Ok(httparse::Status::Complete(length)) => {
                    if let Some(body) = copied_body(head.headers, name, id) {
                        self.skipped = length.saturating_add(body);
                        self.copies += 1;
                        continue;
                    }
                    self.past = None;
                }
                Ok(httparse::Status::Partial) | Err(_) => self.past = None,
            }
            return true;
        }
    }
}

/// Returns the length of the body of an answer to an earlier request, or nothing for any other answer,
/// and for one whose end its head doesn't show.
fn copied_body(
    fields: &[httparse::Header<'_>],
    name: &HeaderName,
    id: &HeaderValue,
) -> Option<usize> {
    let values = |name: &HeaderName| {
        let is_named =
            move |it: &&httparse::Header<'_>| it.name.eq_ignore_ascii_case(name.as_str());
        fields.iter().filter(is_named).map(|it| it.value).collect::<Vec<_>>()
    };
    let ids = values(name);
    let is_copy = !ids.is_empty() && ids.iter().all(|it| *it == id.as_bytes());
    let [length] = values(&header::CONTENT_LENGTH)[..] else { return None };
    if !is_copy || !values(&header::TRANSFER_ENCODING).is_empty() {
        return None;
    }
    std::str::from_utf8(length).ok()?.trim().parse().ok()
}

impl Screen {
    /// Wraps a connection on which a filter decides what is passed over.
    pub fn new(stream: Limited, filter: Filter) -> Screen {
        Screen { stream, filter }
    }
}

impl AsyncRead for Screen {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Screen { stream, filter } = &mut *self;
        let state = &mut *filter.state.borrow_mut();
        while !state.examine() {
            let mut chunk = [0; CHUNK_BYTES];
            let mut read = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut *stream).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                // The connection has ended within an answer, which is passed on as it is.
                (state.past, state.skipped) = (None, 0);
            }
            state.ahead.extend_from_slice(read.filled());
        }
        if state.ahead.is_empty() {
            return Pin::new(stream).poll_read(context, buffer);
        }
        let count = state.ahead.len().min(buffer.remaining());
        buffer.put_slice(&state.ahead[..count]);
        state.ahead.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Screen {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
