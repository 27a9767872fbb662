use std::{io, sync::OnceLock};

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::TcpStream;

/// The send buffer of a connection whose answer is not sent yet while the node stops: as long as the
/// longest answer.
const LAST_SEND_BUFFER_BYTES: usize = 1_024 * 1_024;

/// Has the system hold as much of an answer as it can: it sends that also after the end of the process.
/// A buffer that the system has raised itself further than it grants is left as it is.
pub fn raise(stream: &TcpStream) -> io::Result<()> {
    let socket = SockRef::from(stream);
    if socket.send_buffer_size()? < granted_bytes()? {
        socket.set_send_buffer_size(LAST_SEND_BUFFER_BYTES)?;
    }
    Ok(())
}

/// Returns what the system grants a connection that asks for such a buffer, which may be less. It is
/// learned once a process.
fn granted_bytes() -> io::Result<usize> {
    static GRANTED_BYTES: OnceLock<usize> = OnceLock::new();
    if let Some(bytes) = GRANTED_BYTES.get() {
        return Ok(*bytes);
    }
    let probe = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    probe.set_send_buffer_size(LAST_SEND_BUFFER_BYTES)?;
    let bytes = probe.send_buffer_size()?;
    Ok(*GRANTED_BYTES.get_or_init(|| bytes))
}
