use std::{
    io::{self, ErrorKind, Read},
    task::Poll,
};

use socket2::{SockRef, Socket};
use tokio::{io::ReadBuf, net::TcpStream};

/// Reads what has arrived, although the runtime may not have noticed it yet. Nobody is woken if nothing
/// has. Fails if the connection is broken.
pub fn read_arrived(stream: &TcpStream, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    let mut socket: &Socket = &SockRef::from(stream);
    match socket.read(buffer.initialize_unfilled()) {
        Ok(count) => buffer.advance(count),
        Err(error) if error.kind() == ErrorKind::WouldBlock => return Poll::Pending,
        Err(error) => return Poll::Ready(Err(error)),
    }
    Poll::Ready(Ok(()))
}
