use std::io;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::TcpStream;

/// The send buffer of a connection whose answer is not sent yet while the node stops: as long as the
/// longest answer.
const LAST_SEND_BUFFER_BYTES: usize = 1_024 * 1_024;

/// Has the system hold as much of an answer as it can: it sends that also after the end of the process.
/// The system may grant less than is wanted, and must not shrink a buffer that it has raised itself.
pub fn raise(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probe = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    probe.set_send_buffer_size(LAST_SEND_BUFFER_BYTES)?;
    if socket.send_buffer_size()? < probe.send_buffer_size()? {
        socket.set_send_buffer_size(LAST_SEND_BUFFER_BYTES)?;
    }
    Ok(())
}
