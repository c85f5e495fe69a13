//! Counters of requests, attempts and connections, and the resources that a router uses.
//!
//! Requests are counted when the response is written to the client, and attempts when their last
//! byte is written, so that the counts match what the peers see. Counters are `Cell`s, used by one
//! thread.

use crate::memory_budget::MemoryReport;
use load_balancer::{CacheStatus, ConnectionUse, Outcome};
use std::cell::{Cell, RefCell};

/// The final result of a request, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served completely.
    Served,
    /// Rejected.
    Rejected,
    /// Failed, or its value was cut off.
    Failed,
}

/// Metrics of a router for operators. Counts start at 0 with the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Counts of requests for each class name.
    pub requests_by_class: Vec<(String, ClassCounts)>,
    /// Attempts that were written completely to a cache server.
    pub attempts_written: u64,
    /// Requests that were accepted and have not ended.
    pub in_progress: usize,
    /// Cache servers in the endpoint list.
    pub endpoints_listed: usize,
    /// Listed cache servers that this router avoids now: disabled by an operator, or unresponsive.
    pub endpoints_avoided: usize,
    /// Cache servers that are listed as ready at an address that another process has.
    pub endpoints_without_address: usize,
    /// Version of the endpoint list.
    pub list_version: u64,
    /// Calls to discovery.
    pub discovery_calls: u64,
    /// Memory that is held for clients and cache servers.
    pub memory: MemoryReport,
}

/// Resources that a router uses at this moment, for tests and operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResourceUsage {
    /// Requests without a final response.
    pub unanswered_requests: usize,
    /// Requests without a final response, or with attempts that have not ended.
    pub open_requests: usize,
    /// Timers that are not due yet.
    pub timers: usize,
    /// Requests that the decision library tracks.
    pub tracked_requests: usize,
    /// Servers that the decision library tracks.
    pub tracked_servers: usize,
    /// Client connections.
    pub client_connections: usize,
    /// Idle connections to cache servers.
    pub idle_upstream_connections: usize,
    /// Reads that wait for a flight.
    pub coalesced_waiters: usize,
    /// Flights that reads wait for.
    pub coalesced_flights: usize,
}

/// Counts of requests of one class since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

/// Counters of one process.
#[derive(Debug, Default)]
pub struct RouterMetrics {
    by_class: RefCell<Vec<ClassCounts>>,
    attempts_written: Cell<u64>,
    in_progress: Cell<usize>,
    attempts: Cell<AttemptCounts>,
}

/// Outcomes of attempts, and their names in the summary line.
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
    /// Attempts by outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; OUTCOMES.len()],
    /// Attempts on a new connection that the server answered as overloaded, possibly because it had
    /// reached its limit of connections.
    pub overloaded_new_connections: u64,
    /// Attempts that missed the cache and needed an origin fetch.
    pub misses: u64,
}

impl RouterMetrics {
    /// Counters for this number of classes.
    pub fn new(classes: usize) -> RouterMetrics {
        RouterMetrics {
            by_class: RefCell::new(vec![ClassCounts::default(); classes]),
            ..RouterMetrics::default()
        }
    }

    /// Counts a request that was accepted.
    pub fn request_started(&self) {
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// Counts a request that has ended; `None` if its client disconnected before its response.
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

    /// Counts an attempt that was written completely.
    pub fn attempt_written(&self) {
        self.attempts_written.set(self.attempts_written.get() + 1);
    }

    /// Counts an attempt to open a connection to a cache server.
    pub fn connect_ended(&self, is_open: bool) {
        let mut attempts = self.attempts.get();
        if is_open {
            attempts.connections_opened += 1;
        } else {
            attempts.connections_failed += 1;
        }
        self.attempts.set(attempts);
    }

    /// Counts a call to discovery.
    pub fn discovery_called(&self) {
        let mut attempts = self.attempts.get();
        attempts.discovery_calls += 1;
        self.attempts.set(attempts);
    }

    /// Counts an attempt that has ended.
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
            attempts.overloaded_new_connections += 1;
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

    /// Number of attempts that were written completely.
    pub fn attempts_written(&self) -> u64 {
        self.attempts_written.get()
    }

    /// Number of requests that were accepted and have not ended.
    pub fn in_progress(&self) -> usize {
        self.in_progress.get()
    }
}
