//! Log lines for clients' connections that the router ends while requests may be lost with them.

use super::client::Client;
use super::connections::ClientConnections;
use crate::environment::Environment;
use std::cell::Cell;
use std::fmt;
use std::time::{Duration, Instant};

/// At most one line in this time; the ends between are counted in the next one.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Why the router ends a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CloseReason {
    /// A streamed answer broke off: its client is told by the end of the connection.
    AnswerBrokenOff,
    /// The client reads nothing of its answer.
    ClientStalled,
    /// A command is malformed: what follows it cannot be told apart.
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

/// When the last line was written, and how many ends are not logged since.
#[derive(Default)]
pub(super) struct CloseLog {
    logged_at: Cell<Option<Instant>>,
    unlogged_count: Cell<u64>,
}

impl<E: Environment> ClientConnections<E> {
    /// Logs that the router ends a connection. `unread`: bytes that were read from it and not taken.
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
