//! Log lines for client connections that the router closes while requests may be lost with them.

use super::client::Client;
use super::connections::ClientConnections;
use crate::environment::Environment;
use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

/// At most one line is written per interval; closes in between are counted in the next line.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why the router closes a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// A streamed answer broke off; closing the connection tells the client so.
    AnswerBrokenOff,
    /// The client has stopped reading its answer.
    ClientStalled,
    /// A command is malformed, so that the start of the next one is unknown.
    MalformedCommand,
}

impl fmt::Display for CloseReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            CloseReason::AnswerBrokenOff => "answer broken off",
            CloseReason::ClientStalled => "client stopped reading",
            CloseReason::MalformedCommand => "malformed command",
        })
    }
}

/// When the last line was written, and how many closes are not logged since.
#[derive(Default)]
pub(super) struct CloseLog {
    logged_at: Cell<Option<Instant>>,
    unlogged_count: Cell<u64>,
}

impl<E: Environment> ClientConnections<E> {
    /// Logs that the router closes a connection. `unread` is the number of bytes that were read
    /// from it and not parsed.
    pub(super) fn log_close(&self, reason: CloseReason, client: &Client, unread: usize) {
        let now = self.environment.now();
        let log = &self.close_log;
        let is_recent = |at| now.saturating_duration_since(at) < LOG_INTERVAL;
        if log.logged_at.get().is_some_and(is_recent) {
            log.unlogged_count.set(log.unlogged_count.get() + 1);
            return;
        }
        log.logged_at.set(Some(now));
        let pending = client.pending_responses.get();
        let others = log.unlogged_count.take();
        self.environment.log(format_args!(
            "client connection ended: {reason}; {pending} responses pending, {unread} bytes not taken; {others} more since the last line"
        ));
    }
}
