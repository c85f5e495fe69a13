//! The state of one client's connection, as its two halves and the set of connections share it.

use crate::request::ResponseStream;
use load_balancer::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A client that sends nothing for this long after it connected is closed. One that has sent no command for this long
/// since its last response is closed before others when room is needed.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// A client that has sent nothing so soon after it connected may be about to.
const SILENT_AGE: Duration = Duration::from_millis(500);
/// A client that connected within this time most likely has its command on the way: closed now, it would lose it.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// A client that has sent no command for this long since its last response is idle.
const IDLE_AFTER: Duration = Duration::from_millis(100);

/// Which idle client is closed first to make room for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionPriority {
    /// It had its time to send a command and has not.
    LongSilent,
    /// It has sent no command for long.
    LongUnused,
    /// It has sent no whole command yet.
    Silent,
    /// It is idle between commands. Closed, it loses nothing.
    BetweenCommands,
    /// It has just connected. Last, so that connections of a crowd do not close each other.
    JustConnected,
}

/// Where a client stands among those that may be closed: the smallest is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    priority: EvictionPriority,
    /// When it connected, was last used, or its unfinished command began.
    since: Instant,
}

/// See the module.
pub(super) struct Client {
    /// To be closed as soon as no response is pending.
    pub is_closing: Cell<bool>,
    /// Told when the connection is to look at its state and the process's again.
    pub changed: Notify,
    /// Responses that are not written yet.
    pub pending_responses: Cell<usize>,
    /// The one pending response is streamed: nothing is read.
    pub is_streaming: Cell<bool>,
    /// Bytes of a further command were read.
    pub has_unparsed_input: Cell<bool>,
    /// It has sent a whole command.
    pub has_sent_command: Cell<bool>,
    /// When a command began to arrive that is not whole yet.
    pub command_began_at: Cell<Option<Instant>>,
    /// Commands so far that are not for a router.
    pub unknown_commands: Cell<u32>,
    /// When it connected or was last read from or written to.
    pub last_used_at: Cell<Instant>,
    /// Requests that wait for their response.
    pub pending_requests: RefCell<BTreeSet<RequestId>>,
    /// Never idle while the router is drained: once no response is pending it is closed.
    pub is_closing_for_drain: Cell<bool>,
    /// Its place is wanted for another: the rest of a command is not waited for.
    pub is_evicted: Cell<bool>,
}

impl Client {
    /// A client that connects now.
    pub fn new(has_sent_command: bool, now: Instant) -> Self {
        Client {
            is_closing: Cell::new(false),
            changed: Notify::new(),
            pending_responses: Cell::new(0),
            is_streaming: Cell::new(false),
            has_unparsed_input: Cell::new(false),
            has_sent_command: Cell::new(has_sent_command),
            command_began_at: Cell::new(None),
            unknown_commands: Cell::new(0),
            last_used_at: Cell::new(now),
            pending_requests: RefCell::default(),
            is_closing_for_drain: Cell::new(false),
            is_evicted: Cell::new(false),
        }
    }

    /// Whether responses are pending.
    pub fn has_pending_responses(&self) -> bool {
        self.pending_responses.get() > 0
    }

    /// A response was written.
    pub fn response_written(&self, now: Instant) {
        self.pending_responses.set(self.pending_responses.get() - 1);
        self.is_streaming.set(false);
        self.last_used_at.set(now);
        self.changed.notify_one();
    }

    /// Whether it has sent a part of a command.
    pub fn has_begun_command(&self) -> bool {
        self.command_began_at.get().is_some()
    }

    /// Whether it is idle between commands, and not closing yet.
    pub fn is_idle(&self, now: Instant) -> bool {
        let is_at_rest = !self.has_pending_responses()
            && !self.has_begun_command()
            && !self.is_closing.get()
            && self.has_sent_command.get();
        is_at_rest && now.saturating_duration_since(self.last_used_at.get()) > IDLE_AFTER
    }

    /// Where it stands among the clients that may be closed.
    pub fn eviction_rank(&self, now: Instant) -> EvictionRank {
        let since = self
            .command_began_at
            .get()
            .unwrap_or(self.last_used_at.get());
        let age = now.saturating_duration_since(since);
        let is_silent = !self.has_sent_command.get() || self.has_begun_command();
        let priority = match is_silent {
            true if age > SILENT_AGE => EvictionPriority::LongSilent,
            true if age > ARRIVAL_GRACE => EvictionPriority::Silent,
            true => EvictionPriority::JustConnected,
            false if age > COMMAND_TIMEOUT => EvictionPriority::LongUnused,
            false => EvictionPriority::BetweenCommands,
        };
        EvictionRank { priority, since }
    }

    /// Closes the connection for another, as soon as no response is pending.
    pub fn evict(&self) {
        self.is_evicted.set(true);
        self.close();
    }

    /// Closes the connection between commands, as soon as no response is pending.
    pub fn close(&self) {
        self.is_closing.set(true);
        self.changed.notify_one();
    }
}

impl ResponseStream for Client {
    fn begin_streaming(&self) -> bool {
        let is_only_request = self.pending_responses.get() == 1 && !self.has_unparsed_input.get();
        if is_only_request {
            self.is_streaming.set(true);
            self.changed.notify_one();
        }
        is_only_request
    }
}
