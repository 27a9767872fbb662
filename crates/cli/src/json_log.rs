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

/// Maximum number of queued lines. Further lines are dropped and counted, so that a slow reader of
/// the log never delays a request.
const MAX_QUEUED_LINES: usize = 4_096;

/// Batch size from which no further lines are added to a write.
const BATCH_BYTES: usize = 64 * 1024;

/// Maximum time to wait for queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(80);

/// Interval at which the end of the process checks for queued lines.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUED: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Initializes a JSON log on standard output. `RUST_LOG` sets the level, `info` by default.
pub fn init_json_log() {
    let (lines, inbox) = sync_channel(MAX_QUEUED_LINES);
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
            // The visitor never returns an error.
            let _ = record.key_values().visit(&mut fields);
            let dropped = DROPPED.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                fields.0.insert("dropped_before".to_owned(), dropped.into());
            }
            writeln!(buffer, "{}", serde_json::Value::Object(fields.0))
        })
        .try_init();
}

/// Waits until the queued lines of the log are written, but at most `FLUSH_TIMEOUT`.
pub fn flush_json_log() {
    let begin = Instant::now();
    let is_pending = || WRITTEN.load(Ordering::Relaxed) < QUEUED.load(Ordering::Relaxed);
    while is_pending() && begin.elapsed() < FLUSH_TIMEOUT {
        thread::sleep(FLUSH_POLL_INTERVAL);
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

/// Queues lines for the thread that writes them.
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

/// Writes queued lines in batches.
fn write(inbox: &Receiver<Vec<u8>>) {
    while let Ok(mut bytes) = inbox.recv() {
        let mut lines = 1;
        while bytes.len() < BATCH_BYTES {
            let Ok(more) = inbox.try_recv() else { break };
            bytes.extend(more);
            lines += 1;
        }
        // Without a reader the lines are lost, but the service keeps running.
        let _ = io::stdout().write_all(&bytes);
        let _ = io::stdout().flush();
        WRITTEN.fetch_add(lines, Ordering::Relaxed);
    }
}
