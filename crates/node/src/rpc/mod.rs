//! The server for the calls of other nodes.

use std::{io, net::SocketAddr};

use jsonrpsee::{
    Methods,
    server::{ServerBuilder, ServerConfig, ServerHandle},
};
use tokio::net::TcpListener;

/// The size limit of a message between nodes.
pub const MAX_MESSAGE_BYTES: u32 = 64 * 1024 * 1024;

/// How many nodes may be connected at once.
const MAX_CONNECTIONS: u32 = 10_000;

/// How many calls one node may have under way.
const MAX_CALLS: u32 = 100_000;

/// How many messages may wait for one connection.
const MESSAGE_BUFFER: u32 = 16_384;

/// Serves methods on a bound listener. Fails if the listener cannot be registered with the
/// runtime.
pub fn serve(listener: TcpListener, methods: impl Into<Methods>) -> io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_subscriptions_per_connection(MAX_CALLS)
        .set_message_buffer_capacity(MESSAGE_BUFFER)
        .set_tcp_no_delay(true)
        .ws_only()
        .build();
    let server = ServerBuilder::with_config(config).build_from_tcp(listener.into_std()?)?;
    Ok(server.start(methods))
}

/// Binds the address that other nodes connect to. Fails if the address is not available.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}
