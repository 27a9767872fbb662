use std::cell::Cell;

/// What the owner of a connection and its transport tell each other.
#[derive(Debug, Default)]
pub struct State {
    close: Cell<Close>,
    delivery: Cell<Delivery>,
    /// Whether a part of a request has arrived, and no answer was sent since.
    is_partial: Cell<bool>,
    /// Whether the latest request was not read as a whole.
    body_comes: Cell<bool>,
    /// Whether this node has made an answer since the last bytes were read.
    has_answer: Cell<bool>,
    /// Whether bytes were written since the last read began.
    has_sent: Cell<bool>,
    /// Whether the caller knows by an answer that the connection is closed after it.
    is_close_announced: Cell<bool>,
}

/// How far a planned stop has closed a connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Close {
    /// Not at all.
    #[default]
    Open,
    /// It is closed once no request is under way.
    Begun,
    /// The caller of the idle connection was told.
    Noticed,
}

/// How the caller takes what is written.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Delivery {
    /// All of the latest answer so far was taken at once.
    #[default]
    Prompt,
    /// A part waits for the caller to read.
    Blocked,
    /// A part of the latest answer had to wait, and the caller may still read it.
    Slow,
}

impl State {
    /// Makes each read see what has arrived by then, and the close of a connection carry a notice
    /// unless an answer announces it.
    pub fn begin_close(&self) {
        self.close.set(Close::Begun);
    }

    /// Records whether all of the latest request has arrived.
    pub fn set_whole(&self, is_whole: bool) {
        self.is_partial.set(!is_whole);
        self.body_comes.set(!is_whole);
    }

    /// Records whether the latest answer announces that the connection is closed.
    pub fn on_answer(&self, is_close_announced: bool) {
        self.is_close_announced.set(is_close_announced);
        self.has_answer.set(true);
        self.delivery.set(Delivery::Prompt);
    }

    /// Returns whether a part of a request has arrived.
    pub fn is_partial(&self) -> bool {
        self.is_partial.get()
    }

    /// Returns whether a part of an answer waits for the caller to read.
    pub fn is_write_blocked(&self) -> bool {
        self.delivery.get() == Delivery::Blocked
    }

    /// Returns whether a planned stop closes the connection.
    pub(super) fn is_closing(&self) -> bool {
        self.close.get() != Close::Open
    }

    /// Records that the HTTP server reads: what it has written before answered the latest request.
    pub(super) fn begin_read(&self) {
        if self.has_sent.take() {
            self.is_partial.set(false);
        }
    }

    /// Records that bytes were read.
    pub(super) fn on_read(&self) {
        self.is_partial.set(true);
        self.has_answer.set(false);
    }

    /// Records that the HTTP server has written, and whether the system took all.
    pub(super) fn on_write(&self, is_complete: bool) {
        self.has_sent.set(true);
        self.delivery.set(match self.delivery.get() {
            _ if !is_complete => Delivery::Blocked,
            Delivery::Blocked => Delivery::Slow,
            other => other,
        });
        if !self.has_answer.get() {
            // The HTTP server closes the connection after the answers that it makes itself.
            self.is_close_announced.set(true);
        }
    }

    /// Returns whether the close of the connection is to be told: not behind an answer that the caller
    /// may still read.
    pub(super) fn needs_notice(&self) -> bool {
        let is_prompt = self.delivery.get() == Delivery::Prompt;
        self.is_closing() && !self.is_close_announced.get() && is_prompt
    }

    /// Records that the caller of the idle connection was told of its close.
    pub(super) fn on_notice(&self) {
        self.close.set(Close::Noticed);
    }

    /// Returns whether the caller was told of the close of its idle connection.
    pub(super) fn is_noticed(&self) -> bool {
        self.close.get() == Close::Noticed
    }

    /// Returns whether bytes that come after the end could cost the caller an answer.
    pub(super) fn can_lose_answer(&self) -> bool {
        self.has_sent.get() || self.body_comes.get() || self.is_noticed()
    }

    /// Returns whether bytes of the caller may come after the end.
    pub(super) fn expects_bytes(&self) -> bool {
        self.is_partial.get() || self.body_comes.get() || self.is_noticed()
    }
}
