use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use mimosabridge::name::Name;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinSet,
};

/// An endless answer pauses after this many bytes, for the memory of the machine.
pub const ENDLESS_BYTES: usize = 64 * 1_024 * 1_024;

/// How a server answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Behavior {
    /// It answers correctly.
    Correct,
    /// It refuses the request with the header that says that it has not run.
    Shed,
    /// It closes the connection in the middle of the body.
    Truncated,
    /// It closes the connection without an answer.
    Closed,
    /// Its answer is for another request.
    OtherRequest,
    /// It sends a second answer after the first.
    Extra,
    /// It never answers.
    Hang,
    /// It ends when it receives a request for a path that contains "crash", and answers others.
    Crash,
    /// It sends these bytes again and again after the head of an answer, or in its place, until the
    /// connection is closed.
    Endless(&'static str, &'static str),
    /// It answers 503 without the header that says that the request has not run.
    Bare503,
}

/// A backend server on loopback that writes raw bytes, so that it can send invalid answers.
pub struct Server {
    pub id: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub behavior: Rc<Cell<Behavior>>,
    /// The requests that were received, each with its head and body.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// The number of connections that the other side closed before the answer.
    pub disconnected: Rc<Cell<usize>>,
    /// The number of bytes of endless answers that were sent.
    pub endless_bytes: Rc<Cell<usize>>,
    end: Rc<Notify>,
}

impl Server {
    /// Starts a server for a service.
    pub async fn start(id: &str, service: &str, behavior: Behavior) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let server = Server {
            id: Name::new(id),
            service: Name::new(service),
            address: listener.local_addr().expect("a bound socket has an address"),
            behavior: Rc::new(Cell::new(behavior)),
            requests: Rc::default(),
            disconnected: Rc::default(),
            endless_bytes: Rc::default(),
            end: Rc::default(),
        };
        let (behavior, requests) = (server.behavior.clone(), server.requests.clone());
        let disconnected = server.disconnected.clone();
        let (id, end) = (server.id.clone(), server.end.clone());
        let endless_bytes = server.endless_bytes.clone();
        tokio::task::spawn_local(async move {
            let mut connections = JoinSet::new();
            loop {
                let stream = tokio::select! {
                    // Drops the listener and all connections.
                    () = end.notified() => return,
                    accepted = listener.accept() => match accepted {
                        Ok((stream, _)) => stream,
                        Err(_) => return,
                    },
                };
                let (behavior, requests) = (behavior.clone(), requests.clone());
                connections.spawn_local(serve(
                    stream,
                    id.clone(),
                    behavior,
                    requests,
                    disconnected.clone(),
                    endless_bytes.clone(),
                    end.clone(),
                ));
            }
        });
        server
    }

    /// Ends the server as a crash does: its port and its connections are closed.
    pub fn crash(&self) {
        self.end.notify_one();
    }

    pub fn arrivals(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn serve(
    mut stream: TcpStream,
    id: Name,
    behavior: Rc<Cell<Behavior>>,
    requests: Rc<RefCell<Vec<String>>>,
    disconnected: Rc<Cell<usize>>,
    endless_bytes: Rc<Cell<usize>>,
    end: Rc<Notify>,
) {
    while let Some(text) = read(&mut stream).await {
        let request_id = field(&text, "x-id").unwrap_or_default();
        let is_crash = text.lines().next().is_some_and(|it| it.contains("crash"));
        requests.borrow_mut().push(text);
        let number = requests.borrow().len();
        let body = format!("{:_>16}", id.as_str());
        let answer = |request_id: &str, body: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-signature: {id}.{number}\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let bytes = match behavior.get() {
            Behavior::Crash if is_crash => {
                end.notify_one();
                return std::future::pending().await;
            }
            Behavior::Correct | Behavior::Crash => answer(&request_id, &body),
            Behavior::Shed => {
                "HTTP/1.1 503 Full\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Behavior::Bare503 => format!(
                "HTTP/1.1 503 Broken\r\nx-id: {request_id}\r\nx-signature: {id}.{number}\r\n\
                 content-length: 0\r\n\r\n"
            ),
            Behavior::Truncated => {
                let whole = answer(&request_id, &body);
                let part = &whole.as_bytes()[..whole.len() - 8];
                let _ = stream.write_all(part).await;
                return;
            }
            Behavior::Closed => return,
            Behavior::OtherRequest => answer("another", &body),
            Behavior::Extra => {
                answer(&request_id, &body) + &answer(&request_id, "extra bytes here")
            }
            Behavior::Endless(head, bytes) => {
                if stream.write_all(head.as_bytes()).await.is_err() {
                    return;
                }
                let bytes = bytes.repeat(64 * 1_024 / bytes.len());
                while endless_bytes.get() < ENDLESS_BYTES {
                    if stream.write_all(bytes.as_bytes()).await.is_err() {
                        return;
                    }
                    endless_bytes.set(endless_bytes.get() + bytes.len());
                }
                return std::future::pending().await;
            }
            Behavior::Hang => {
                let mut rest = [0; 16];
                if matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {
                    disconnected.set(disconnected.get() + 1);
                }
                return;
            }
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a request with its body. Returns `None` at the end of the connection.
async fn read(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = field(head, "content-length").and_then(|it| it.parse().ok());
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer).await {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend(&buffer[..count]),
        }
    }
}

/// Returns the value of a header.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.split("\r\n").filter_map(|it| it.split_once(':'));
    let found = lines.find(|it| it.0.eq_ignore_ascii_case(name))?;
    Some(found.1.trim().to_owned())
}
