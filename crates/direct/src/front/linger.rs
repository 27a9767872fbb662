use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// How long a connection lingers at most.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The same for an idle connection that carries a notice of its close.
const NOTICE_LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// How much a lingering connection reads at most.
const MAX_LINGER_BYTES: usize = 4 * 1_024 * 1_024;

/// How much is read at a time.
const BUFFER_BYTES: usize = 8 * 1_024;

/// A connection that lingers if it is closed while its caller still sends: it reads and drops bytes
/// until the caller closes, within bounds. Bytes that are left unread reset a connection, and the
/// caller may lose an answer that it has not read yet.
pub struct Linger<T> {
    stream: T,
    progress: Rc<Progress>,
    /// Whether bytes were sent after the last read.
    has_sent: bool,
    /// When the connection stops lingering, once this node has sent all that it will send.
    end: Option<Pin<Box<Sleep>>>,
    left: usize,
}

impl<T> Linger<T> {
    /// Wraps a connection.
    pub fn new(stream: T, progress: Rc<Progress>) -> Linger<T> {
        Linger { stream, progress, has_sent: false, end: None, left: MAX_LINGER_BYTES }
    }
}

/// How far the requests of a connection have arrived.
#[derive(Debug, Default)]
pub struct Progress {
    is_partial: Cell<bool>,
    body_comes: Cell<bool>,
    is_noticed: Cell<bool>,
}

impl Progress {
    /// Records whether all of the latest request has arrived.
    pub fn set_whole(&self, is_whole: bool) {
        self.is_partial.set(!is_whole);
        self.body_comes.set(!is_whole);
    }

    /// Records that the caller is told of the close of its idle connection.
    pub fn set_noticed(&self) {
        self.is_noticed.set(true);
    }

    /// Returns whether a part of a request has arrived.
    pub fn is_partial(&self) -> bool {
        self.is_partial.get()
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Linger<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if std::mem::take(&mut self.has_sent) {
            self.progress.is_partial.set(false);
        }
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.progress.is_partial.set(true);
        }
        result
    }
}

impl<T: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Linger<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_sent = true;
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.has_sent = true;
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Linger { stream, progress, has_sent, end, left } = &mut *self;
        if end.is_none() {
            ready!(Pin::new(&mut *stream).poll_shutdown(context))?;
        }
        let is_noticed = progress.is_noticed.get();
        if !*has_sent && !progress.body_comes.get() && !is_noticed {
            // No answer can be lost.
            return Poll::Ready(Ok(()));
        }
        let timeout = if is_noticed { NOTICE_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
        let end = end.get_or_insert_with(|| Box::pin(sleep(timeout)));
        let mut bytes = [0; BUFFER_BYTES];
        while *left > 0 {
            let mut buffer = ReadBuf::new(&mut bytes);
            match Pin::new(&mut *stream).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    *left = left.saturating_sub(buffer.filled().len());
                    progress.is_partial.set(true);
                }
                Poll::Pending
                    if is_noticed || progress.is_partial() || progress.body_comes.get() =>
                {
                    return end.as_mut().poll(context).map(Ok);
                }
                Poll::Ready(_) | Poll::Pending => break,
            }
        }
        Poll::Ready(Ok(()))
    }
}
