use std::{io, net::SocketAddr, sync::Arc};

use poem::{
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::TcpListener;

use super::{Model, connection::Connection};

/// Accepts connections up to the limit of the server, and closes those above it.
pub struct LimitedAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    model: Arc<Model>,
}

impl LimitedAcceptor {
    /// Creates an acceptor that takes its connections from `listener`.
    pub fn new(listener: TcpListener, address: SocketAddr, model: Arc<Model>) -> LimitedAcceptor {
        LimitedAcceptor { listener, address, model }
    }
}

impl Acceptor for LimitedAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (stream, remote) = self.listener.accept().await?;
            stream.set_nodelay(true)?;
            let Some(number) = self.model.connect() else { continue };
            let connection = Connection::new(stream, self.model.clone(), number);
            let local = LocalAddr(self.address.into());
            return Ok((connection, local, RemoteAddr(remote.into()), Scheme::HTTP));
        }
    }
}
