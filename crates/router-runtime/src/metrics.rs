//! Counts of requests, attempts and connections, and what a router holds.
//!
//! Requests are counted where the client gets its response, attempts where their last byte is written: no figure
//! differs from what the peers see. Counts are in cells: they rely on one thread.

use load_balancer::{CacheStatus, ConnectionUse, Outcome};
use std::cell::{Cell, RefCell};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served, the last byte included.
    Served,
    /// Rejected.
    Rejected,
    /// Failed; also a value that was broken off.
    Failed,
}

/// What a router shows operators. Counts begin at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// By class, under its name.
    pub requests_by_class: Vec<(String, ClassCounts)>,
    /// Attempts whose last byte was written to a cache server.
    pub attempts_written: u64,
    /// Requests that were taken and have not ended.
    pub in_progress: usize,
    /// Cache servers in the list.
    pub endpoints_listed: usize,
    /// Those of them that this router avoids now: disabled by an operator, or unresponsive.
    pub endpoints_avoided: usize,
}

/// What a router holds at this moment; for tests and for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Requests that wait for their final response.
    pub unanswered_requests: usize,
    /// Requests that wait for their response or whose attempts have not all ended.
    pub open_requests: usize,
    /// Timers that are not due yet.
    pub timers: usize,
    /// Requests that the decision library tracks.
    pub tracked_requests: usize,
    /// Servers that the decision library tracks.
    pub tracked_servers: usize,
    /// Connections of clients.
    pub client_connections: usize,
    /// Idle connections to cache servers.
    pub idle_upstream_connections: usize,
    /// Reads that wait for a flight.
    pub coalesced_waiters: usize,
    /// Flights that reads wait for.
    pub coalesced_flights: usize,
}

/// Counts of one class since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

/// Counts of one process, from its start.
#[derive(Debug, Default)]
pub struct RouterMetrics {
    by_class: RefCell<Vec<ClassCounts>>,
    attempts_written: Cell<u64>,
    in_progress: Cell<usize>,
    attempts: Cell<AttemptCounts>,
}

/// Outcomes of attempts under the names that operators read.
pub const OUTCOMES: [(Outcome, &str); 9] = [
    (Outcome::Success, "served"),
    (Outcome::Failure, "failed"),
    (Outcome::Overloaded, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::Unreachable, "unreachable"),
    (Outcome::ConnectionLost, "broken"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "void"),
    (Outcome::Miss, "absent"),
];

/// Counts of attempts and connections of one process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Connections opened to cache servers.
    pub connections_opened: u64,
    /// Connections to cache servers that could not be opened.
    pub connections_failed: u64,
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// By outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; OUTCOMES.len()],
    /// Attempts that found the server overloaded on a new connection: it may have all the connections that it can hold.
    pub overloaded_when_new: u64,
    /// Reads that cost an origin fetch.
    pub misses: u64,
}

impl RouterMetrics {
    /// Counts for so many classes.
    pub fn new(classes: usize) -> RouterMetrics {
        RouterMetrics {
            by_class: RefCell::new(vec![ClassCounts::default(); classes]),
            ..RouterMetrics::default()
        }
    }

    /// A request was taken.
    pub fn request_started(&self) {
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// A request has ended; `None`: its client has disconnected before.
    pub fn request_ended(&self, class: usize, end: Option<RequestEnd>) {
        self.in_progress.set(self.in_progress.get() - 1);
        let mut by_class = self.by_class.borrow_mut();
        let Some(counts) = by_class.get_mut(class) else {
            return;
        };
        match end {
            Some(RequestEnd::Served) => counts.served += 1,
            Some(RequestEnd::Rejected) => counts.rejected += 1,
            Some(RequestEnd::Failed) => counts.failed += 1,
            None => {}
        }
    }

    /// The last byte of an attempt was written to a cache server.
    pub fn attempt_written(&self) {
        self.attempts_written.set(self.attempts_written.get() + 1);
    }

    /// A connection to a cache server was opened, or could not be.
    pub fn connect_ended(&self, is_open: bool) {
        let mut attempts = self.attempts.get();
        if is_open {
            attempts.connections_opened += 1;
        } else {
            attempts.connections_failed += 1;
        }
        self.attempts.set(attempts);
    }

    /// Discovery was called.
    pub fn discovery_called(&self) {
        let mut attempts = self.attempts.get();
        attempts.discovery_calls += 1;
        self.attempts.set(attempts);
    }

    /// An attempt has ended.
    pub fn attempt_ended(
        &self,
        outcome: Outcome,
        connection_use: ConnectionUse,
        cache_status: Option<CacheStatus>,
    ) {
        let mut attempts = self.attempts.get();
        if let Some(place) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
            attempts.outcomes[place] += 1;
        }
        if outcome == Outcome::Overloaded && connection_use == ConnectionUse::New {
            attempts.overloaded_when_new += 1;
        }
        if matches!(
            cache_status,
            Some(CacheStatus::Miss | CacheStatus::MissPending)
        ) {
            attempts.misses += 1;
        }
        self.attempts.set(attempts);
    }

    /// Counts of attempts and connections.
    pub fn attempts(&self) -> AttemptCounts {
        self.attempts.get()
    }

    /// Counts of requests by class, in the order of the settings.
    pub fn requests_by_class(&self) -> Vec<ClassCounts> {
        self.by_class.borrow().clone()
    }

    /// Attempts whose last byte was written.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.get()
    }

    /// Requests that were taken and have not ended.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }
}
