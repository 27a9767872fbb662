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

/// A connection that takes time to open and may start to drop all data.
pub struct Connection {
    stream: TcpStream,
    model: Arc<Model>,
    number: u64,
    connect_delay: Option<Pin<Box<Sleep>>>,
}

impl Connection {
    /// Wraps an accepted stream; `number` is its number in the model.
    pub fn new(stream: TcpStream, model: Arc<Model>, number: u64) -> Connection {
        let connect_delay = Box::pin(tokio::time::sleep(model.spec().connect_cost));
        Connection { stream, model, number, connect_delay: Some(connect_delay) }
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
        if let Some(connect_delay) = &mut self.connect_delay {
            ready!(connect_delay.as_mut().poll(cx));
            self.connect_delay = None;
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
