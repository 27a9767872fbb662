use std::{
    cell::Cell,
    io::{self, ErrorKind, IoSlice, Read, Write},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use socket2::{Domain, SockRef, Socket, Type};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::linger::Progress;
use crate::events;

/// Tells a caller whose request crosses the close of its connection that it has not run (RFC 9110,
/// section 15.5.9).
const CLOSE_NOTICE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// The send buffer of a connection whose answer is not sent yet while the node stops: as long as the
/// longest answer.
const LAST_SEND_BUFFER_BYTES: usize = 1_024 * 1_024;

/// A connection as the HTTP server uses it.
pub struct Transport {
    stream: TcpStream,
    state: Rc<State>,
    progress: Rc<Progress>,
}

/// What the owner of a connection and its transport tell each other.
#[derive(Debug, Default)]
pub struct State {
    is_closing: Cell<bool>,
    is_close_announced: Cell<bool>,
    /// Whether bytes that are written are of an answer that this node has made.
    has_answer: Cell<bool>,
    is_write_blocked: Cell<bool>,
    /// Whether the caller read the latest answer more slowly than it was made, and may still read it.
    is_read_slowly: Cell<bool>,
    is_send_buffer_raised: Cell<bool>,
}

impl State {
    /// Makes each read see what has arrived by then, and the close of a connection carry a notice
    /// unless an answer announces it.
    pub fn begin_close(&self) {
        self.is_closing.set(true);
    }

    /// Records whether the latest answer announces that the connection is closed.
    pub fn on_answer(&self, is_close_announced: bool) {
        self.is_close_announced.set(is_close_announced);
        self.has_answer.set(true);
        self.is_read_slowly.set(false);
    }

    /// Returns whether the close of the connection is to be told: not behind an answer that the caller
    /// may still read.
    fn needs_close_notice(&self) -> bool {
        self.is_closing.get() && !self.is_close_announced.get() && !self.is_read_slowly.get()
    }

    /// Returns whether a part of an answer waits for the caller to read.
    pub fn is_write_blocked(&self) -> bool {
        self.is_write_blocked.get()
    }
}

impl Transport {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Rc<State>, progress: Rc<Progress>) -> Transport {
        Transport { stream, state, progress }
    }

    /// Tells the caller that its connection is closed.
    fn write_close_notice(&self) {
        let mut socket: &Socket = &SockRef::from(&self.stream);
        match socket.write_all(CLOSE_NOTICE) {
            Ok(()) => self.progress.set_noticed(),
            // The caller is gone, or does not read.
            Err(error) => log::debug!("no notice of the close: {error}"),
        }
    }

    /// Reads what has arrived, although the runtime may not have noticed it yet.
    fn read_arrived(&self, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut socket: &Socket = &SockRef::from(&self.stream);
        match socket.read(buffer.initialize_unfilled()) {
            Ok(count) => buffer.advance(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Poll::Pending,
            Err(error) => return Poll::Ready(Err(error)),
        }
        Poll::Ready(Ok(()))
    }

    fn on_write(&self, written: &Poll<io::Result<usize>>, wanted: usize) {
        let is_complete = matches!(written, Poll::Ready(Ok(count)) if *count == wanted);
        self.state.is_write_blocked.set(!is_complete);
        if !is_complete {
            self.state.is_read_slowly.set(true);
        }
        if !self.state.has_answer.get() {
            // The HTTP server closes the connection after the answers that it makes itself.
            self.state.is_close_announced.set(true);
        }
        if written.is_pending() && self.state.is_closing.get() {
            self.raise_send_buffer();
        }
    }

    /// Has the system hold as much of an answer as it can: it sends that also after the end of the process.
    /// The runtime is notified if there is room now.
    fn raise_send_buffer(&self) {
        if self.state.is_send_buffer_raised.replace(true) {
            return;
        }
        if let Err(error) = raise_send_buffer(&SockRef::from(&self.stream)) {
            events::TROUBLE.emit(&[("operation", &"raise a send buffer"), ("error", &error)]);
        }
    }
}

/// Raises the send buffer of a socket. The system may grant less than is wanted, and must not shrink a
/// buffer that it has raised itself.
fn raise_send_buffer(socket: &Socket) -> io::Result<()> {
    let probe = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    probe.set_send_buffer_size(LAST_SEND_BUFFER_BYTES)?;
    if socket.send_buffer_size()? < probe.send_buffer_size()? {
        socket.set_send_buffer_size(LAST_SEND_BUFFER_BYTES)?;
    }
    Ok(())
}

impl AsyncRead for Transport {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let mut read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() && self.state.is_closing.get() {
            read = self.read_arrived(buffer);
        }
        if buffer.filled().len() > before {
            self.state.has_answer.set(false);
        }
        read
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
        if self.state.needs_close_notice() {
            self.state.is_close_announced.set(true);
            self.write_close_notice();
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
