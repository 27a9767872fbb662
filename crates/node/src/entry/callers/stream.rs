use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

use super::Registry;

/// The connection of one caller. Its token is cancelled when the connection ends.
#[derive(Debug)]
pub struct CallerStream {
    stream: TcpStream,
    caller: SocketAddr,
    registry: Registry,
    closed: CancellationToken,
}

impl CallerStream {
    /// Wraps an accepted stream and adds it to the registry.
    pub fn new(stream: TcpStream, caller: SocketAddr, registry: Registry) -> CallerStream {
        let closed = registry.open(caller);
        CallerStream { stream, caller, registry, closed }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        self.closed.cancel();
        self.registry.close(self.caller);
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buf.filled().len();
        let result = ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        let is_end = buf.filled().len() == filled && buf.remaining() > 0;
        if result.is_err() || is_end {
            self.closed.cancel();
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
