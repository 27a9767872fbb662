//! Signals to the daemons.

use std::{
    io::{BufRead, BufReader, ErrorKind, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::{fd::OwnedFd, unix::net::UnixStream},
    process::{Child, Command, ExitStatus},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use mimosabridge::name::Name;
use mimosabridge_standin::server::Spec;
use rstest::rstest;
use serde_json::{Value, json};

use crate::env::Fleet;

const NODE: &str = env!("CARGO_BIN_EXE_mimosabridge-node");

/// How long a server works for a request: longer than the signals take.
const LONG_WORK: Duration = Duration::from_millis(1_500);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a wait may take before its test fails. It is no bound on speed.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The signals of an operator who stops a node and does not wait.
const SIGNALS: [&str; 6] = ["TERM", "HUP", "TERM", "INT", "INT", "TERM"];

/// A daemon in a process of its own.
struct Daemon {
    process: Child,
    http: SocketAddr,
}

impl Daemon {
    /// Starts a daemon in the data centre `a` of a fleet, with its log lines going to `log`.
    fn start(program: &str, fleet: &Fleet, log: UnixStream) -> Daemon {
        let free = TcpListener::bind("127.0.0.1:0").and_then(|it| it.local_addr());
        let http = free.expect("a port is free");
        let seeds: Vec<_> = fleet.nodes.values().map(|it| it.record().peer.to_string()).collect();
        let mut command = Command::new(program);
        command.args(["--name", "daemon", "--data-centre", "a", "--drain-ms", "200"]);
        command.args(["--rpc-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0"]);
        command.args(["--http-listen", &http.to_string(), "--seeds", &seeds.join(",")]);
        command.args(["--platform", &fleet.platform.address().to_string()]);
        command.env("RUST_LOG", "info").stderr(OwnedFd::from(log));
        Daemon { process: command.spawn().expect("the program starts"), http }
    }

    /// Returns whether the daemon counts as ready.
    async fn is_ready(&self) -> bool {
        let answer = client().get(format!("http://{}/health", self.http)).send().await;
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Sends a query and returns the verdict.
    async fn query(&self) -> Value {
        let request = client().post(format!("http://{}/v1/query", self.http));
        let request = request.json(&json!({ "rule": "rule", "query": {} }));
        let answer = request.send().await.expect("the request is not cut");
        let answer: Value = answer.json().await.expect("the answer is whole");
        answer["verdict"].clone()
    }

    fn signal(&self, name: &str) {
        let id = self.process.id().to_string();
        let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
        assert!(status.is_ok_and(|it| it.success()), "the daemon gets {name}");
    }

    /// Waits until the daemon has ended.
    async fn wait(&mut self) -> ExitStatus {
        let waiting = async {
            loop {
                if let Some(status) = self.process.try_wait().expect("it can be waited for") {
                    return status;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await.expect("the daemon ends")
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process has ended in tests that pass.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().expect("no TLS is needed")
}

/// The log lines of a daemon so far.
#[derive(Clone, Default)]
struct Log {
    lines: Arc<Mutex<Vec<String>>>,
}

impl Log {
    /// Reads log lines until the daemon has ended.
    fn read(stream: UnixStream) -> Log {
        let log = Log::default();
        let reader = log.clone();
        std::thread::spawn(move || {
            for line in BufReader::new(stream).lines() {
                reader.lock().push(line.expect("the log can be read"));
            }
        });
        log
    }

    /// Waits for a line with an event.
    async fn wait(&self, event: u16) {
        let text = format!("event={event}");
        let waiting = async {
            while !self.lock().iter().any(|it| it.contains(&text)) {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        };
        let waited = tokio::time::timeout(WAIT_TIMEOUT, waiting).await;
        assert!(waited.is_ok(), "no line {event} in {:?}", self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, Vec<String>> {
        self.lines.lock().expect("no holder of the lock panics")
    }
}

/// Fills a stream, so that the next writer waits until something is read.
fn fill(mut stream: &UnixStream) {
    stream.set_nonblocking(true).expect("the stream is open");
    for size in [4_096, 1] {
        loop {
            match stream.write(&[b'\n'; 4_096][..size]) {
                Ok(_) => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) => panic!("the stream can't be filled: {error}"),
            }
        }
    }
    stream.set_nonblocking(false).expect("the stream is open");
}

/// Guards against a signal of an operator that ends a daemon before its requests.
#[rstest]
#[case::entry(env!("CARGO_BIN_EXE_mimosabridge-entry"))]
#[case::gate(env!("CARGO_BIN_EXE_mimosabridge-gate"))]
#[case::node(NODE)]
#[tokio::test]
async fn signal_cuts_request(#[case] program: &str) {
    let spec = Spec { service_time: LONG_WORK, cold_factor: 1.0, straggle: 0.0, ..Spec::new() };
    let mut fleet = Fleet::start(spec).await;
    let (log, writer) = UnixStream::pair().expect("streams can be made");
    let mut daemon = Daemon::start(program, &fleet, writer);
    let log = Log::read(log);
    let is_known = |it: &Fleet| it.nodes["entry-a"].view().borrow().nodes.len() == 5;
    fleet.wait("the daemon is known", is_known).await;
    let is_gate = fleet.nodes["entry-a"].view().borrow().gates.contains_key(&Name::from("daemon"));
    let is_entry = program != env!("CARGO_BIN_EXE_mimosabridge-gate");
    while is_entry && !daemon.is_ready().await {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if is_gate {
        for name in ["gate-a", "gate-b"] {
            fleet.nodes.remove(name).expect("it was started").stop().await;
        }
    }
    let query = async {
        match is_entry {
            true => daemon.query().await,
            false => fleet.query("entry-a", json!({})).await.1["verdict"].clone(),
        }
    };
    let signals = async {
        fleet.wait("the request runs", |it| it.total(|stats| stats.started) >= 3).await;
        daemon.signal("HUP");
        log.wait(1006).await;
        for name in SIGNALS {
            daemon.signal(name);
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let (verdict, ()) = tokio::join!(query, signals);
    assert_eq!(verdict, "complete");
    assert!(daemon.wait().await.success(), "a planned stop is a success");
}

/// Guards against a SIGTERM that ends a daemon at once after it has begun to accept callers.
#[rstest]
#[case::terminate("TERM")]
#[case::interrupt("INT")]
#[case::hang_up("HUP")]
#[tokio::test]
async fn signal_before_serving(#[case] name: &str) {
    let fleet = Fleet::start(Spec::new()).await;
    let (log, writer) = UnixStream::pair().expect("streams can be made");
    fill(&writer);
    // The daemon waits with the line that says that it has started.
    let mut daemon = Daemon::start(NODE, &fleet, writer);
    while TcpStream::connect(daemon.http).is_err() {
        assert!(daemon.process.try_wait().is_ok_and(|it| it.is_none()), "the daemon starts");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    daemon.signal(name);
    let log = Log::read(log);
    if name == "HUP" {
        while !daemon.is_ready().await {
            let end = daemon.process.try_wait().expect("the daemon can be waited for");
            assert_eq!(end, None, "the daemon has ended");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        log.wait(1006).await;
        daemon.signal("TERM");
    }
    assert!(daemon.wait().await.success(), "a planned stop is a success");
    log.wait(1003).await;
}
