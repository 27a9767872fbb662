use std::{
    cell::{Cell, RefCell},
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::memory::{Charge, Memory};
use crate::wire::read_arrived;

/// A connection from which only a limited number of bytes can be read.
pub struct Limited {
    stream: TcpStream,
    allowance: Allowance,
    examination: Examination,
}

/// Whether a connection is examined: reads see what has arrived by then, the end of the connection too.
/// Clones share it.
#[derive(Clone, Debug, Default)]
pub struct Examination {
    is_on: Rc<Cell<bool>>,
}

impl Examination {
    /// Begins or ends the examination.
    pub fn set(&self, is_on: bool) {
        self.is_on.set(is_on);
    }
}

/// What may still be read from a connection: a number of bytes, and what the memory of the node admits.
/// Clones share it.
#[derive(Clone, Debug)]
pub struct Allowance {
    remaining: Rc<Cell<usize>>,
    memory: Memory,
    charge: Rc<RefCell<Charge>>,
}

impl Allowance {
    /// Creates an allowance of some bytes, which count in `memory`.
    pub fn new(bytes: usize, memory: Memory) -> Allowance {
        let charge = Rc::new(RefCell::new(Charge::new(&memory)));
        Allowance { remaining: Rc::new(Cell::new(bytes)), memory, charge }
    }

    /// Sets the number of bytes that may be read from now on. Returns the charge of those that were
    /// read before.
    pub fn reset(&self, bytes: usize) -> Charge {
        self.remaining.set(bytes);
        self.charge.replace(Charge::new(&self.memory))
    }

    /// Returns whether no more bytes may be read.
    pub fn is_exhausted(&self) -> bool {
        self.remaining.get() == 0 || !self.charge.borrow().admits()
    }

    /// Records that bytes were read.
    fn spend(&self, bytes: usize) {
        self.remaining.set(self.remaining.get().saturating_sub(bytes));
        self.charge.borrow_mut().add(bytes);
    }
}

impl Limited {
    /// Limits a connection to an allowance.
    pub fn new(stream: TcpStream, allowance: Allowance, examination: Examination) -> Limited {
        Limited { stream, allowance, examination }
    }
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_exhausted() {
            return Poll::Ready(Err(io::Error::other("the server sent too many bytes")));
        }
        let before = buffer.filled().len();
        let mut result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if result.is_pending() && self.examination.is_on.get() {
            result = read_arrived(&self.stream, buffer);
        }
        let read = buffer.filled().len() - before;
        self.allowance.spend(read);
        result
    }
}

impl AsyncWrite for Limited {
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
