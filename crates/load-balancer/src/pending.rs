//! Requests in progress and their attempts, as plain data.

use crate::deadline::TimeLeft;
use crate::ids::{AttemptNumber, RequestId};
use crate::origin_fetch_limit::POPULARITY_LEVEL_COUNT;
use crate::request::Request;
use crate::server_table::ServerTable;
use crate::time::Micros;
use std::collections::HashMap;

/// An attempt in flight for less than this multiple of the typical latency may still be a hit.
const UNDECIDED_LATENCY_RATIO: f64 = 2.0;

/// Whether an attempt is in flight, and if not, whether it may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    /// Index in the server table.
    pub server: usize,
    pub sent_at: Micros,
    pub state: AttemptState,
    /// Counted as an origin fetch.
    pub is_fetch: bool,
    /// The time that its request had left.
    pub time_left: TimeLeft,
    /// Popularity level of the key.
    pub popularity: usize,
    /// How long its connection had been idle; `None` for a connection that was new or in use.
    pub idle: Option<Micros>,
    /// It was sent on a connection that was already dead, so its server may be tried again.
    pub had_stale_connection: bool,
}

/// A request that is not answered yet or has attempts in flight.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    /// When the client first sent it; for a recognized retry, the arrival of the original request.
    pub first_arrived_at: Micros,
    /// Ring position of the key.
    pub ring_position: u32,
    /// Position of the key within its arc, 0 to 1, the same at every router. A server with partial
    /// arcs takes the keys below its fraction.
    pub arc_fraction: f64,
    pub attempts: Vec<Attempt>,
    pub is_answered: bool,
    pub is_streaming: bool,
    /// Popularity level of the key.
    pub popularity: usize,
    /// A cache server answered with a miss.
    pub has_missed: bool,
}

impl PendingRequest {
    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Number of attempts that were not lost on a stale connection.
    pub fn attempts_delivered(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| !attempt.had_stale_connection)
            .count()
    }

    /// Whether an attempt to a server was not lost on a stale connection.
    pub fn was_delivered_to(&self, server: usize) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == server && !attempt.had_stale_connection)
    }

    /// The first attempt that may have run or may still run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// The attempt with this number, if it is in flight.
    pub fn attempt_in_flight(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(number.0 as usize)
            .filter(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// The cache server of the latest attempt that was sent to a cache server.
    pub fn last_cache_server(&self, servers: &ServerTable) -> Option<usize> {
        self.attempts
            .iter()
            .rev()
            .map(|attempt| attempt.server)
            .find(|&server| !servers[server].is_origin)
    }
}

/// All requests in progress, by id.
#[derive(Debug, Default)]
pub(crate) struct PendingRequests(HashMap<RequestId, PendingRequest>);

impl PendingRequests {
    /// Number of requests in progress.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether a request is in progress.
    pub fn contains(&self, id: RequestId) -> bool {
        self.0.contains_key(&id)
    }

    /// A request in progress.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut PendingRequest> {
        self.0.get_mut(&id)
    }

    /// Removes a request, to be put back by [`PendingRequests::insert`] or
    /// [`PendingRequests::reinsert_unless_done`].
    pub fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.0.remove(&id)
    }

    /// Adds a request.
    pub fn insert(&mut self, pending: PendingRequest) {
        self.0.insert(pending.request.id, pending);
    }

    /// Puts a request back unless it is answered and its last attempt has ended.
    pub fn reinsert_unless_done(&mut self, pending: PendingRequest) {
        if !pending.is_answered || pending.has_attempt_in_flight() {
            self.insert(pending);
        }
    }

    /// Number of attempts in flight that count as fetches but may still be hits, since they were
    /// sent recently, by popularity level.
    pub fn undecided_fetches(
        &self,
        now: Micros,
        typical_latency: Micros,
    ) -> [u32; POPULARITY_LEVEL_COUNT] {
        let sent_since = now.since(typical_latency.scaled(UNDECIDED_LATENCY_RATIO));
        let mut undecided = [0; POPULARITY_LEVEL_COUNT];
        let attempts = self.0.values().flat_map(|pending| &pending.attempts);
        for attempt in attempts {
            let is_in_flight = attempt.state == AttemptState::InFlight;
            if attempt.is_fetch && is_in_flight && attempt.sent_at >= sent_since {
                undecided[attempt.popularity] += 1;
            }
        }
        undecided
    }
}
