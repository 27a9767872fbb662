use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Instant,
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
    /// It rejects another request.
    OtherRejection,
    /// It sends a second answer after the first.
    Extra,
    /// It sends a second copy of each answer late: in front of the next answer on the connection.
    LateCopy,
    /// It rejects every second request with this status line and runs the others. A second copy of
    /// each rejection comes late: in front of the next answer on the connection.
    LateRejection(&'static str),
    /// It never answers.
    Hang,
    /// It ends when it receives a request for a path that contains "crash", and answers others.
    Crash,
    /// It ends like [`Behavior::Crash`], but its end looks different from outside.
    End(Trace),
    /// It sends these bytes again and again after the head of an answer, or in its place, until the
    /// connection is closed.
    Endless(&'static str, &'static str),
    /// It answers with this status, signed.
    Status(&'static str),
    /// It begins an answer without an end, sends so many bytes of it, and then nothing.
    Stalled(usize),
    /// It answers 503 without the header that says that the request has not run.
    Bare503,
}

/// What a server that has ended leaves behind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trace {
    /// The caller's connection breaks. All others stay open, new ones are accepted, and nothing is
    /// said.
    OpenConnections,
    /// All connections break. New ones are accepted, and nothing is said.
    OpenPort,
    /// All connections break. Another server listens at the address.
    OtherServer,
    /// A proxy answers that it reaches no server.
    Proxy,
    /// No connection breaks, and nothing is said.
    Silence,
}

/// A backend server on loopback that writes raw bytes, so that it can send invalid answers.
#[derive(Clone)]
pub struct Server {
    pub id: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub behavior: Rc<Cell<Behavior>>,
    /// The requests that were received, each with its head and body.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// The identities of the requests that [`Behavior::LateRejection`] ran.
    pub runs: Rc<RefCell<Vec<String>>>,
    /// Header lines that the server adds to its answers, each with its end.
    pub more: Rc<RefCell<String>>,
    /// The number of late copies that were sent in front of other answers.
    pub copies: Rc<Cell<usize>>,
    /// The number of connections that the other side closed before the answer.
    pub disconnected: Rc<Cell<usize>>,
    /// The number of bytes of endless answers that were sent.
    pub endless_bytes: Rc<Cell<usize>>,
    /// When the server has ended, if it has left a trace.
    pub ended: Rc<Cell<Option<Instant>>>,
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
            runs: Rc::default(),
            more: Rc::default(),
            copies: Rc::default(),
            disconnected: Rc::default(),
            endless_bytes: Rc::default(),
            ended: Rc::default(),
            end: Rc::default(),
        };
        tokio::task::spawn_local(accept(server.clone(), listener));
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

async fn accept(server: Server, listener: TcpListener) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = server.end.notified() => {
                // Drops all connections, and the listener unless the server leaves it behind.
                connections.shutdown().await;
                if server.ended.get().is_none() {
                    return;
                }
            }
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(connections.spawn_local(serve(server.clone(), stream))),
                Err(_) => return,
            },
        }
    }
}

async fn serve(server: Server, mut stream: TcpStream) {
    let Server { id, behavior, requests, disconnected, endless_bytes, ended, end, .. } = &server;
    let mut previous_id: Option<String> = None;
    let mut late_copy = String::new();
    while let Some(text) = read(&mut stream).await {
        if let (Behavior::End(trace), Some(_)) = (behavior.get(), ended.get()) {
            if !leave_trace(trace, &mut stream).await {
                return std::future::pending().await;
            }
            continue;
        }
        if text.starts_with("GET /health ") {
            if behavior.get() == Behavior::Hang {
                return std::future::pending().await;
            }
            let more = server.more.borrow().clone();
            let head =
                format!("HTTP/1.1 200 OK\r\nx-server-id: {id}\r\n{more}content-length: 0\r\n\r\n");
            if stream.write_all(head.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        let request_id = field(&text, "x-id").unwrap_or_default();
        let is_crash = text.lines().next().is_some_and(|it| it.contains("crash"));
        requests.borrow_mut().push(text);
        let number = requests.borrow().len();
        let body = format!("{:_>16}", id.as_str());
        let more = server.more.borrow().clone();
        let answer = |request_id: &str, body: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nx-id: {request_id}\r\nx-signature: {id}.{number}\r\n{more}\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            )
        };
        let bytes = match behavior.get() {
            Behavior::Crash if is_crash => {
                end.notify_one();
                return std::future::pending().await;
            }
            Behavior::End(trace) if is_crash => {
                ended.set(Some(Instant::now()));
                match trace {
                    Trace::OpenConnections => return,
                    Trace::OpenPort | Trace::OtherServer => end.notify_one(),
                    Trace::Proxy => drop(leave_trace(trace, &mut stream).await),
                    Trace::Silence => {}
                }
                return std::future::pending().await;
            }
            Behavior::Correct | Behavior::Crash | Behavior::End(_) => answer(&request_id, &body),
            Behavior::Shed => rejection("503 Full", &request_id, &more),
            Behavior::Status(status) => answer(&request_id, &body).replacen("200", status, 1),
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
            Behavior::OtherRejection => rejection("503 Full", "another", &more),
            Behavior::Extra => {
                answer(&request_id, &body) + &answer(&request_id, "extra bytes here")
            }
            Behavior::LateCopy => {
                let previous = previous_id.replace(request_id.to_string());
                let copy = previous.map_or_else(String::new, |it| answer(&it, "a late copy here"));
                copy + &answer(&request_id, &body)
            }
            Behavior::LateRejection(status) => {
                let copy = std::mem::take(&mut late_copy);
                if !copy.is_empty() {
                    server.copies.set(server.copies.get() + 1);
                }
                if number % 2 == 1 {
                    late_copy = rejection(status, &request_id, &more);
                    copy + &late_copy
                } else {
                    server.runs.borrow_mut().push(request_id.clone());
                    copy + &answer(&request_id, &body)
                }
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
            Behavior::Stalled(length) => {
                let head = "HTTP/1.1 200 OK\r\nx-signature: s\r\n\r\n";
                if stream
                    .write_all((head.to_owned() + &"x".repeat(length)).as_bytes())
                    .await
                    .is_err()
                {
                    return;
                }
                let _ = stream.read(&mut [0; 16]).await;
                return;
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

/// Returns the rejection of a request that has not run.
fn rejection(status: &str, request_id: &str, more: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-refused: 1\r\nx-id: {request_id}\r\n{more}content-length: 0\r\n\r\n"
    )
}

/// Answers a request in the place of a server that has ended. Returns whether there is an answer.
async fn leave_trace(trace: Trace, stream: &mut TcpStream) -> bool {
    let head = match trace {
        Trace::OpenConnections | Trace::OpenPort | Trace::Silence => return false,
        Trace::OtherServer => "421 Misdirected",
        Trace::Proxy => "502 Bad Gateway",
    };
    let answer = format!("HTTP/1.1 {head}\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(answer.as_bytes()).await.is_ok()
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
