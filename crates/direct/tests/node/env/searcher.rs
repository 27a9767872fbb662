use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
};

use mimosabridge::name::Name;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// How a server answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Manner {
    /// As it should.
    Sound,
    /// It says that it did not run the request.
    Shed,
    /// It breaks off in the middle of the body.
    Short,
    /// It closes the connection without an answer.
    Silent,
    /// Its answer is for another request.
    Other,
    /// It sends a second answer after the first.
    Extra,
    /// It never answers.
    Hang,
    /// It says 503 without saying that the request did not run.
    Bare503,
}

/// A backend server on loopback that writes its bytes itself, so that it can write wrong ones.
pub struct Searcher {
    pub id: Name,
    pub service: Name,
    pub address: SocketAddr,
    pub manner: Rc<Cell<Manner>>,
    /// The heads and bodies that arrived.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// Connections that the other side closed while an answer was due.
    pub left: Rc<Cell<usize>>,
}

impl Searcher {
    /// Starts a server of a service.
    pub async fn start(id: &str, service: &str, manner: Manner) -> Searcher {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let searcher = Searcher {
            id: Name::new(id),
            service: Name::new(service),
            address: listener.local_addr().expect("a bound socket has an address"),
            manner: Rc::new(Cell::new(manner)),
            requests: Rc::default(),
            left: Rc::default(),
        };
        let (manner, requests) = (searcher.manner.clone(), searcher.requests.clone());
        let left = searcher.left.clone();
        let id = searcher.id.clone();
        tokio::task::spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (manner, requests) = (manner.clone(), requests.clone());
                tokio::task::spawn_local(serve(stream, id.clone(), manner, requests, left.clone()));
            }
        });
        searcher
    }

    pub fn arrivals(&self) -> usize {
        self.requests.borrow().len()
    }
}

async fn serve(
    mut stream: TcpStream,
    id: Name,
    manner: Rc<Cell<Manner>>,
    requests: Rc<RefCell<Vec<String>>>,
    left: Rc<Cell<usize>>,
) {
    while let Some(text) = read(&mut stream).await {
        let request_id = field(&text, "x-id").unwrap_or_default();
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
        let bytes = match manner.get() {
            Manner::Sound => answer(&request_id, &body),
            Manner::Shed => {
                "HTTP/1.1 503 Full\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n".to_owned()
            }
            Manner::Bare503 => format!(
                "HTTP/1.1 503 Broken\r\nx-id: {request_id}\r\nx-signature: {id}.{number}\r\n\
                 content-length: 0\r\n\r\n"
            ),
            Manner::Short => {
                let whole = answer(&request_id, &body);
                let part = &whole.as_bytes()[..whole.len() - 8];
                let _ = stream.write_all(part).await;
                return;
            }
            Manner::Silent => return,
            Manner::Other => answer("another", &body),
            Manner::Extra => answer(&request_id, &body) + &answer(&request_id, "extra bytes here"),
            Manner::Hang => {
                let mut rest = [0; 16];
                if matches!(stream.read(&mut rest).await, Ok(0) | Err(_)) {
                    left.set(left.get() + 1);
                }
                return;
            }
        };
        if stream.write_all(bytes.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads a request with its body. Returns nothing at the end of the connection.
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

/// Returns a header of a head.
pub fn field(head: &str, name: &str) -> Option<String> {
    let mut lines = head.split("\r\n").filter_map(|it| it.split_once(':'));
    let found = lines.find(|it| it.0.eq_ignore_ascii_case(name))?;
    Some(found.1.trim().to_owned())
}
