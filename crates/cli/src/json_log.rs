use std::{
    io::{self, Write},
    sync::{
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    thread,
    time::{Duration, Instant},
};

use env_logger::Target;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// Lines that may wait to be written. More are dropped and counted, so that a slow reader of the
/// log never holds up a request.
const WAITING_LINES: usize = 4_096;

/// The most bytes that are written at once.
const MAX_WRITE: usize = 64 * 1024;

/// How long the end of the process waits for lines to be written.
const FINISH_TIME: Duration = Duration::from_millis(200);

/// How often the end of the process looks whether lines are written.
const FINISH_PERIOD: Duration = Duration::from_millis(2);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Starts a log of JSON lines on standard output. `RUST_LOG` sets the level, `info` by default.
pub fn init_json_log() {
    let (lines, inbox) = sync_channel(WAITING_LINES);
    let writer = thread::Builder::new().name("log".to_owned()).spawn(move || write(&inbox));
    if let Err(error) = writer {
        eprintln!("cannot start the log: {error}");
        return;
    }
    let env = env_logger::Env::default().default_filter_or("info");
    let _ = env_logger::Builder::from_env(env)
        .target(Target::Pipe(Box::new(Queue { lines })))
        .format(|buffer, record| {
            let mut fields = Fields(Map::new());
            let time = buffer.timestamp_millis().to_string();
            fields.0.insert("time".to_owned(), time.into());
            fields.0.insert("level".to_owned(), record.level().as_str().into());
            fields.0.insert("message".to_owned(), record.args().to_string().into());
            // The visitor refuses nothing.
            let _ = record.key_values().visit(&mut fields);
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                fields.0.insert("dropped_before".to_owned(), dropped.into());
            }
            writeln!(buffer, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
}

/// Waits until the lines of the log are written, but not for long.
pub fn finish_json_log() {
    let begin = Instant::now();
    let waits = || WRITTEN.load(Ordering::Relaxed) < QUEUED.load(Ordering::Relaxed);
    while waits() && begin.elapsed() < FINISH_TIME {
        thread::sleep(FINISH_PERIOD);
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let text = value.to_string();
        let value = match text.parse::<u64>() {
            Ok(number) => number.into(),
            Err(_) => text.into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Passes lines to the thread that writes them.
struct Queue {
    lines: SyncSender<Vec<u8>>,
}

impl Write for Queue {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = match self.lines.try_send(bytes.to_vec()) {
            Ok(()) => &QUEUED,
            Err(_) => &DROPPED,
        };
        count.fetch_add(1, Ordering::Relaxed);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes lines, as many at once as wait.
fn write(inbox: &Receiver<Vec<u8>>) {
    while let Ok(mut bytes) = inbox.recv() {
        let mut lines = 1;
        while bytes.len() < MAX_WRITE {
            let Ok(more) = inbox.try_recv() else { break };
            bytes.extend(more);
            lines += 1;
        }
        // A log without a reader is lost; the service goes on.
        let _ = io::stdout().write_all(&bytes);
        let _ = io::stdout().flush();
        WRITTEN.fetch_add(lines, Ordering::Relaxed);
    }
}
