use std::{
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::{State, linger::Linger, notice, send_buffer};
use crate::{events, wire::read_arrived};

/// A connection as the HTTP server uses it.
pub struct Transport {
    stream: TcpStream,
    state: Rc<State>,
    is_send_buffer_raised: bool,
    /// Set once this node has sent all that it will send.
    linger: Option<Linger>,
}

impl Transport {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Rc<State>) -> Transport {
        Transport { stream, state, is_send_buffer_raised: false, linger: None }
    }

    fn on_write(&mut self, written: &Poll<io::Result<usize>>, wanted: usize) {
        let is_complete = matches!(written, Poll::Ready(Ok(count)) if *count == wanted);
        self.state.on_write(is_complete);
        if written.is_pending() && self.state.is_closing() {
            self.raise_send_buffer();
        }
    }

    /// The runtime is notified if there is room now.
    fn raise_send_buffer(&mut self) {
        if std::mem::replace(&mut self.is_send_buffer_raised, true) {
            return;
        }
        if let Err(error) = send_buffer::raise(&self.stream) {
            events::TROUBLE.emit(&[("operation", &"raise a send buffer"), ("error", &error)]);
        }
    }

    fn write_notice(&self) {
        match notice::write(&self.stream) {
            Ok(()) => self.state.on_notice(),
            Err(error) => log::debug!("no notice of the close: {error}"),
        }
    }
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Transport { stream, state, .. } = &mut *self;
        state.begin_read();
        poll_read(stream, state, context, buffer)
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
        if self.linger.is_none() {
            if self.state.needs_notice() {
                self.write_notice();
            }
            ready!(Pin::new(&mut self.stream).poll_shutdown(context))?;
            if !self.state.can_lose_answer() {
                return Poll::Ready(Ok(()));
            }
        }
        let Transport { stream, state, linger, .. } = &mut *self;
        let linger = linger.get_or_insert_with(|| Linger::new(state));
        linger
            .poll(context, state, |context, buffer| poll_read(stream, state, context, buffer))
            .map(Ok)
    }
}

/// Reads bytes. Once the connection is being closed, all that have arrived, although the runtime may
/// not have noticed them yet.
fn poll_read(
    stream: &mut TcpStream,
    state: &State,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let before = buffer.filled().len();
    let mut read = Pin::new(&mut *stream).poll_read(context, buffer);
    if read.is_pending() && state.is_closing() {
        read = read_arrived(stream, buffer);
    }
    if buffer.filled().len() > before {
        state.on_read();
    }
    read
}
