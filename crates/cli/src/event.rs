use std::fmt::Display;

use log::{
    Level, Record,
    kv::{Key, Value},
};

/// A kind of log event with a number that never changes. `docs/EVENTS.md` lists them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Event {
    /// The number of the event.
    pub number: u16,
    /// The log level of the event.
    pub level: Level,
    /// The message of the event.
    pub text: &'static str,
}

impl Event {
    /// Creates a kind of log event.
    pub const fn new(number: u16, level: Level, text: &'static str) -> Event {
        Event { number, level, text }
    }

    /// Writes the event to the log with its fields.
    pub fn emit(&self, fields: &[(&str, &dyn Display)]) {
        if self.level > log::max_level() {
            return;
        }
        let number = ("event", Value::from(self.number));
        let rest = fields.iter().map(|(name, value)| (*name, Value::from_dyn_display(*value)));
        let pairs: Vec<(Key<'_>, Value<'_>)> =
            std::iter::once(number).chain(rest).map(|(name, it)| (Key::from(name), it)).collect();
        let pairs = pairs.as_slice();
        log::logger().log(
            &Record::builder()
                .args(format_args!("{}", self.text))
                .level(self.level)
                .target("mimosabridge")
                .key_values(&pairs)
                .build(),
        );
    }
}

/// Initializes the log. `RUST_LOG` sets the level, `info` by default.
pub fn init_log() {
    let env = env_logger::Env::default().default_filter_or("info");
    // A second call, as in tests, keeps the first log.
    let _ = env_logger::Builder::from_env(env).try_init();
}
