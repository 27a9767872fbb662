use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A connection as the HTTP server uses it.
pub struct Transport {
    stream: TcpStream,
    state: Rc<State>,
}

/// What the owner of a connection and its transport tell each other.
#[derive(Debug, Default)]
pub struct State {
    is_write_blocked: Cell<bool>,
}

impl State {
    /// Returns whether a part of an answer waits for the caller to read.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }
}

impl Transport {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Rc<State>) -> Transport {
        Transport { stream, state }
    }

    fn on_write(&self, written: &Poll<io::Result<usize>>, wanted: usize) {
        let is_complete = matches!(written, Poll::Ready(Ok(count)) if *count == wanted);
        self.state.is_write_blocked.set(!is_complete);
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Transport {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.on_write(&written, bytes.len());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.on_write(&written, slices.iter().map(|it| it.len()).sum());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
