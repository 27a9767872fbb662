use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::ReadBuf,
    time::{Sleep, sleep},
};

use super::State;

/// How long a connection lingers at most.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);

/// The same for an idle connection that carries a notice of its close.
const NOTICE_LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// How much a lingering connection reads at most.
const MAX_LINGER_BYTES: usize = 4 * 1_024 * 1_024;

/// How much is read at a time.
const BUFFER_BYTES: usize = 8 * 1_024;

/// The end of a connection that is closed while its caller still sends: bytes are read and dropped
/// until the caller closes, within bounds. Bytes that are left unread reset a connection, and the
/// caller may lose an answer that it has not read yet.
#[derive(Debug)]
pub struct Linger {
    end: Pin<Box<Sleep>>,
    left: usize,
}

impl Linger {
    /// Begins to linger.
    pub fn new(state: &State) -> Linger {
        let timeout = if state.is_noticed() { NOTICE_LINGER_TIMEOUT } else { LINGER_TIMEOUT };
        Linger { end: Box::pin(sleep(timeout)), left: MAX_LINGER_BYTES }
    }

    /// Reads on by `read`. Is ready once the connection can be closed.
    pub fn poll(
        &mut self,
        context: &mut Context<'_>,
        state: &State,
        mut read: impl FnMut(&mut Context<'_>, &mut ReadBuf<'_>) -> Poll<io::Result<()>>,
    ) -> Poll<()> {
        let mut bytes = [0; BUFFER_BYTES];
        while self.left > 0 {
            let mut buffer = ReadBuf::new(&mut bytes);
            match read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    self.left = self.left.saturating_sub(buffer.filled().len());
                }
                Poll::Pending if state.expects_bytes() => return self.end.as_mut().poll(context),
                // An error of the connection matters only to the caller.
                Poll::Ready(_) | Poll::Pending => break,
            }
        }
        Poll::Ready(())
    }
}
