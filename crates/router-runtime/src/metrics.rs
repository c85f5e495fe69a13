//! What requests came to, counted where a client gets its answer and where an attempt is written whole, so that a figure
//! cannot differ from what the peers saw.

use load_balancer::{CacheStatus, ConnectionUse, Outcome};
use std::cell::{Cell, RefCell};

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Served, the last byte included.
    Passed,
    /// Refused.
    Dropped,
    /// Failed; also a value that was broken off.
    BadGateway,
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
    /// Requests refused.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
}

/// The counts of one process.
#[derive(Debug, Default)]
pub struct RouterMetrics {
    ends: RefCell<Vec<ClassCounts>>,
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

/// What the attempts of one process came to since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Connections opened to cache servers, and those that could not be.
    pub opened: u64,
    /// See above.
    pub unopened: u64,
    /// Calls for the list.
    pub calls: u64,
    /// By outcome, in the order of [`OUTCOMES`].
    pub outcomes: [u64; OUTCOMES.len()],
    /// Of those turned away, the ones on a new connection: the server may hold as many as it can.
    pub full_new: u64,
    /// Answers that cost a fetch.
    pub misses: u64,
}

impl RouterMetrics {
    /// With this many classes.
    pub fn new(classes: usize) -> RouterMetrics {
        RouterMetrics {
            ends: RefCell::new(vec![ClassCounts::default(); classes]),
            ..RouterMetrics::default()
        }
    }

    /// A request was taken.
    pub fn began(&self) {
        self.in_progress.set(self.in_progress.get() + 1);
    }

    /// A request that was taken has ended, or its client has gone (`None`).
    pub fn ended(&self, class: usize, end: Option<End>) {
        self.in_progress.set(self.in_progress.get() - 1);
        let mut ends = self.ends.borrow_mut();
        let Some(ends) = ends.get_mut(class) else {
            return;
        };
        match end {
            Some(End::Passed) => ends.served += 1,
            Some(End::Dropped) => ends.rejected += 1,
            Some(End::BadGateway) => ends.failed += 1,
            None => {}
        }
    }

    /// An attempt was written whole to a cache server.
    pub fn attempt_written(&self) {
        self.attempts_written.set(self.attempts_written.get() + 1);
    }

    fn count(&self, change: impl FnOnce(&mut AttemptCounts)) {
        let mut attempts = self.attempts.get();
        change(&mut attempts);
        self.attempts.set(attempts);
    }

    /// A connection to a cache server was opened, or could not be.
    pub fn connection_opened(&self, is_open: bool) {
        self.count(|attempts| {
            if is_open {
                attempts.opened += 1
            } else {
                attempts.unopened += 1
            }
        });
    }

    /// Discovery was called.
    pub fn discovery_called(&self) {
        self.count(|attempts| attempts.calls += 1);
    }

    /// An attempt ended.
    pub fn attempt_ended(
        &self,
        outcome: Outcome,
        connection_use: ConnectionUse,
        cache_status: Option<CacheStatus>,
    ) {
        self.count(|attempts| {
            attempts.full_new +=
                u64::from(outcome == Outcome::Overloaded && connection_use == ConnectionUse::New);
            if let Some(place) = OUTCOMES.iter().position(|(known, _)| *known == outcome) {
                attempts.outcomes[place] += 1;
            }
            attempts.misses += u64::from(matches!(
                cache_status,
                Some(CacheStatus::Miss | CacheStatus::MissPending)
            ));
        });
    }

    /// What the attempts came to.
    pub fn attempts(&self) -> AttemptCounts {
        self.attempts.get()
    }

    /// By class, attempts, and requests taken and not ended.
    pub fn read(&self) -> (Vec<ClassCounts>, u64, usize) {
        (
            self.ends.borrow().clone(),
            self.attempts_written.get(),
            self.in_progress.get(),
        )
    }
}
