use std::io::{self, Write};

use socket2::{SockRef, Socket};
use tokio::net::TcpStream;

/// Tells a caller whose request crosses the close of its connection that it has not run (RFC 9110,
/// section 15.5.9).
const CLOSE_NOTICE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";

/// Tells the caller that its connection is closed. Fails if the caller is gone, or doesn't read.
pub fn write(stream: &TcpStream) -> io::Result<()> {
    let mut socket: &Socket = &SockRef::from(stream);
    socket.write_all(CLOSE_NOTICE)
}
