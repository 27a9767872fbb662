use mimosabridge_cli::Event;
use mimosabridge_direct::events;
use serde_json::{Map, Value};

/// A log line of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// The node that wrote the line.
    pub node: String,
    /// The time in the form of RFC 3339, which sorts as text.
    pub time: String,
    /// The number of the event.
    pub event: u64,
    fields: Map<String, Value>,
}

/// Parses the log lines of one file.
#[derive(Clone, Debug)]
pub struct Reader {
    node: String,
}

impl Reader {
    /// Creates a reader of a file. The name of the file stands for the node until a line names the
    /// node.
    pub fn new(file: &str) -> Reader {
        Reader { node: file.to_owned() }
    }

    /// Parses a line. Returns `None` if it holds no event.
    pub fn read(&mut self, text: &str) -> Option<Line> {
        let start = text.find('{')?;
        let fields: Map<_, _> = serde_json::from_str(&text[start..]).ok()?;
        let event = fields.get("event")?.as_u64()?;
        let time = fields.get("time")?.as_str()?.to_owned();
        if event == u64::from(events::STARTED.number)
            && let Some(node) = fields.get("node").and_then(Value::as_str)
        {
            self.node = node.to_owned();
        }
        let prefix = text[..start].split_whitespace().last();
        let node = prefix.unwrap_or(&self.node).to_owned();
        Some(Line { node, time, event, fields })
    }
}

impl Line {
    /// Returns the event of the line, or `None` if another binary than a node wrote it.
    pub fn kind(&self) -> Option<Event> {
        events::ALL.iter().copied().find(|it| self.is(*it))
    }

    /// Returns whether the line records an event.
    pub fn is(&self, event: Event) -> bool {
        self.event == u64::from(event.number)
    }

    /// Returns whether the line records one of several events.
    pub fn is_any(&self, events: &[Event]) -> bool {
        events.iter().any(|it| self.is(*it))
    }

    /// Returns a field as text.
    pub fn text(&self, field: &str) -> Option<String> {
        match self.fields.get(field)? {
            Value::String(text) => Some(text.clone()),
            value => Some(value.to_string()),
        }
    }

    /// Returns the event and its fields as text, without empty fields and those that are shown
    /// elsewhere.
    pub fn summary(&self) -> String {
        let omitted = ["event", "id", "level", "message", "time"];
        let message = self.text("message").unwrap_or_default();
        let fields = self.fields.iter().filter(|(name, value)| {
            !omitted.contains(&name.as_str()) && **value != Value::String(String::new())
        });
        let fields =
            fields.map(|(name, _)| format!("{name}={}", self.text(name).unwrap_or_default()));
        let fields: Vec<_> = fields.collect();
        format!("{} {message}: {}", self.event, fields.join(", "))
    }
}
