//! The server for the calls of other nodes.

use std::{io, net::SocketAddr};

use jsonrpsee::{
    Methods,
    server::{ServerBuilder, ServerConfig, ServerHandle},
};
use tokio::net::TcpListener;

/// The most bytes of a message between nodes.
pub const MAX_MESSAGE: u32 = 64 * 1024 * 1024;

/// Nodes that may be connected at once.
const MAX_CONNECTIONS: u32 = 10_000;

/// Calls that one node may have under way.
const MAX_CALLS: u32 = 100_000;

/// Messages that may wait for one connection.
const MESSAGE_BUFFER: u32 = 16_384;

/// Starts to serve methods on a bound listener.
pub fn serve(listener: TcpListener, methods: impl Into<Methods>) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE)
        .max_response_body_size(MAX_MESSAGE)
        .max_subscriptions_per_connection(MAX_CALLS)
        .set_message_buffer_capacity(MESSAGE_BUFFER)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let server = ServerBuilder::with_config(config).build_from_tcp(listener.into_std()?)?;
    Ok(server.start(methods))
}

/// Binds the address that other nodes connect to.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
