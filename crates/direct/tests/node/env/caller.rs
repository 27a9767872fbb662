use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

use super::server::field;

/// The answer that a caller received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

/// Returns the text of a request with an identity.
pub fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: search.example\r\nx-id: {id}\r\nx-deadline: 15000\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends bytes over a new connection and returns the answer, or `None` if there is none.
pub async fn ask(address: SocketAddr, bytes: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.write_all(bytes.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    // After a reset the answer is incomplete; the part that was received is still parsed.
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_owned(), body: body.to_owned() })
}

/// Sends a request for a path without an identity.
pub async fn get(address: SocketAddr, path: &str) -> Option<Answer> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: search.example\r\nconnection: close\r\n\r\n");
    ask(address, &text).await
}
