//! The state of one client connection, shared by its reading and writing halves and by the set of
//! connections.

use crate::request::ResponseStream;
use load_balancer::RequestId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// A client that sends nothing for this long after it connected is closed. One that has sent no
/// command for this long since its last response is evicted before others.
pub(super) const COMMAND_TIMEOUT: Duration = Duration::from_secs(2);
/// The age from which a connection without a complete command is evicted first; on a younger one, a
/// command may still be on its way.
const SILENT_AGE: Duration = Duration::from_millis(500);
/// A client that connected within this time most likely has a command on its way, which would be
/// lost if the connection were closed.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// A client that has sent no command for this long since its last response is idle.
const IDLE_AFTER: Duration = Duration::from_millis(100);

/// The order in which clients are evicted to make room for another; the first variant goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionPriority {
    /// It has not completed a command for longer than `SILENT_AGE`.
    LongSilent,
    /// It has sent no command for longer than `COMMAND_TIMEOUT` since its last response.
    LongUnused,
    /// It has not completed a command for longer than `ARRIVAL_GRACE`.
    Silent,
    /// It is idle between commands, and loses nothing when closed.
    BetweenCommands,
    /// It has just connected, or its command has just begun. Late, so that a burst of new
    /// connections does not evict itself.
    JustConnected,
    /// It has not taken all of its responses yet, which it could lose.
    Receiving,
}

/// The position of a client in the order of eviction: the smallest is evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct EvictionRank {
    priority: EvictionPriority,
    /// When its incomplete command began, or else when it connected or was last used.
    since: Instant,
}

/// The state of one client connection; see the module documentation.
pub(super) struct Client {
    /// To be closed as soon as no response is pending.
    pub is_closing: Cell<bool>,
    /// Notified when the state of the connection or of the process has changed.
    pub changed: Notify,
    /// The number of responses that are not written yet.
    pub pending_responses: Cell<usize>,
    /// The only pending response is being streamed, and nothing is read.
    pub is_streaming: Cell<bool>,
    /// Notified when a response has been written.
    advanced: Rc<Notify>,
    /// The client takes no more bytes of its responses for now.
    pub is_output_blocked: Cell<bool>,
    /// Its next command is not read for lack of memory.
    pub is_paused: Cell<bool>,
    /// Bytes of a further command have been read.
    pub has_unparsed_input: Cell<bool>,
    /// The client has sent a complete command.
    pub has_sent_command: Cell<bool>,
    /// The value of the incomplete command is discarded.
    pub is_discarding_value: Cell<bool>,
    /// When the incomplete command began to arrive.
    pub command_began_at: Cell<Option<Instant>>,
    /// The number of unknown commands so far.
    pub unknown_commands: Cell<u32>,
    /// When the client connected or was last read from or written to.
    pub last_used_at: Cell<Instant>,
    /// Requests that wait for their response.
    pub pending_requests: RefCell<BTreeSet<RequestId>>,
    /// The router is drained and the client never became idle: it is closed once no response is
    /// pending.
    pub is_closing_for_drain: Cell<bool>,
    /// The connection makes room for another: the rest of a command is not waited for.
    pub is_evicted: Cell<bool>,
    /// The connection is to be closed, but its client has not taken all of its responses yet.
    pub has_unsent_output: Cell<bool>,
}

impl Client {
    /// The state of a client that connects now.
    pub fn new(has_sent_command: bool, now: Instant) -> Self {
        Client {
            is_closing: Cell::new(false),
            changed: Notify::new(),
            pending_responses: Cell::new(0),
            is_streaming: Cell::new(false),
            advanced: Rc::default(),
            is_output_blocked: Cell::new(false),
            is_paused: Cell::new(false),
            has_unparsed_input: Cell::new(false),
            has_sent_command: Cell::new(has_sent_command),
            is_discarding_value: Cell::new(false),
            command_began_at: Cell::new(None),
            unknown_commands: Cell::new(0),
            last_used_at: Cell::new(now),
            pending_requests: RefCell::default(),
            is_closing_for_drain: Cell::new(false),
            is_evicted: Cell::new(false),
            has_unsent_output: Cell::new(false),
        }
    }

    /// Whether responses are pending.
    pub fn has_pending_responses(&self) -> bool {
        self.pending_responses.get() > 0
    }

    /// Records that a response was written.
    pub fn response_written(&self, now: Instant) {
        self.pending_responses.set(self.pending_responses.get() - 1);
        self.is_streaming.set(false);
        self.last_used_at.set(now);
        self.changed.notify_one();
        self.advanced.notify_waiters();
    }

    /// Whether the client has sent a part of a command.
    pub fn has_begun_command(&self) -> bool {
        self.command_began_at.get().is_some()
    }

    /// Whether the client is idle between commands, and not closing yet.
    pub fn is_idle(&self, now: Instant) -> bool {
        let is_at_rest = !self.has_pending_responses()
            && !self.has_begun_command()
            && !self.is_closing.get()
            && self.has_sent_command.get();
        is_at_rest && now.saturating_duration_since(self.last_used_at.get()) > IDLE_AFTER
    }

    /// The position in the order of eviction.
    pub fn eviction_rank(&self, now: Instant) -> EvictionRank {
        let since = self
            .command_began_at
            .get()
            .unwrap_or(self.last_used_at.get());
        let age = now.saturating_duration_since(since);
        let is_silent = !self.has_sent_command.get() || self.has_begun_command();
        let priority = match is_silent {
            _ if self.has_unsent_output.get() => EvictionPriority::Receiving,
            true if age > SILENT_AGE => EvictionPriority::LongSilent,
            true if age > ARRIVAL_GRACE => EvictionPriority::Silent,
            true => EvictionPriority::JustConnected,
            false if age > COMMAND_TIMEOUT => EvictionPriority::LongUnused,
            false => EvictionPriority::BetweenCommands,
        };
        EvictionRank { priority, since }
    }

    /// Closes the connection to make room for another, as soon as no response is pending.
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
    fn awaits_one_response(&self) -> bool {
        self.pending_responses.get() == 1 && !self.has_unparsed_input.get()
    }

    fn begin_streaming(&self) {
        self.is_streaming.set(true);
        self.changed.notify_one();
    }

    fn advanced(&self) -> &Rc<Notify> {
        &self.advanced
    }
}
