use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::Sleep,
};

use super::Model;

/// A connection that costs time to open and may go silent.
pub struct Connection {
    stream: TcpStream,
    model: Arc<Model>,
    number: u64,
    opening: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    /// Wraps an accepted stream, counted as `number`.
    pub fn new(stream: TcpStream, model: Arc<Model>, number: u64) -> Connection {
        let opening = Box::pin(tokio::time::sleep(model.spec().connect_cost));
        Connection { stream, model, number, opening: Some(opening) }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.model.disconnect();
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(opening) = &mut self.opening {
            ready!(opening.as_mut().poll(cx));
            self.opening = None;
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let is_data = buf.filled().len() > filled;
        if is_data && self.model.is_silent(self.number) {
            buf.set_filled(filled);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.model.is_silent(self.number) {
            return Poll::Ready(Ok(buf.len()));
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
