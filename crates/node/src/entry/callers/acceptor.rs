use std::{io, net::SocketAddr};

use poem::{
    http::uri::Scheme,
    listener::Acceptor,
    web::{LocalAddr, RemoteAddr},
};
use tokio::net::TcpListener;

use super::{CallerStream, Registry};

/// Accepts connections of callers and adds them to a registry.
#[derive(Debug)]
pub struct CallerAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    registry: Registry,
}

impl CallerAcceptor {
    /// Binds an address, or returns the error of the operating system.
    pub async fn bind(address: SocketAddr, registry: Registry) -> io::Result<CallerAcceptor> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(CallerAcceptor { listener, address, registry })
    }

    /// Returns the address that callers connect to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Acceptor for CallerAcceptor {
    type Io = CallerStream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(CallerStream, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, caller) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let stream = CallerStream::new(stream, caller, self.registry.clone());
        Ok((stream, LocalAddr(self.address.into()), RemoteAddr(caller.into()), Scheme::HTTP))
    }
}
