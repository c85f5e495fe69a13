//! Requests in progress and their attempts, as plain data.

use crate::ids::{AttemptNumber, RequestId};
use crate::origin_fetch_limit::POPULARITY_LEVEL_COUNT;
use crate::request::Request;
use crate::server_table::ServerTable;
use crate::time::Micros;
use std::collections::HashMap;

/// An attempt in flight for less than this multiple of the typical latency may yet turn out to be a hit.
const UNDECIDED_LATENCY_RATIO: f64 = 2.0;

/// Whether an attempt is in flight, and else whether it may have run.
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
    /// Counted as a fetch from the origin.
    pub is_fetch: bool,
    /// Popularity level of the key.
    pub popularity: usize,
    /// How long its connection had been idle; `None` for a new or a busy one.
    pub idle: Option<Micros>,
    /// It met a connection that was dead already: its server may be tried again.
    pub had_stale_connection: bool,
}

/// A request, until it is answered and its last attempt has ended.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub request: Request,
    /// When its client first asked, earlier tries included.
    pub first_arrived_at: Micros,
    /// Of the key.
    pub ring_position: u32,
    /// Where in an arc the key lies, 0 to 1, the same at every router: a server that serves part of its arcs takes
    /// the keys below that part.
    pub arc_fraction: f64,
    pub attempts: Vec<Attempt>,
    pub is_answered: bool,
    pub is_streaming: bool,
    /// Popularity level of the key.
    pub popularity: usize,
    /// A cache server answered that it lacks the key.
    pub has_missed: bool,
}

impl PendingRequest {
    /// Whether an attempt is in flight.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// Attempts that met no stale connection.
    pub fn attempts_delivered(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| !attempt.had_stale_connection)
            .count()
    }

    /// Whether an attempt was delivered to a server.
    pub fn was_delivered_to(&self, server: usize) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == server && !attempt.had_stale_connection)
    }

    /// The first attempt that may have run or may yet.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// The attempt of this number, if it is in flight.
    pub fn attempt_in_flight(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts
            .get_mut(number.0 as usize)
            .filter(|attempt| attempt.state == AttemptState::InFlight)
    }

    /// The cache server of the latest attempt at one.
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
    /// Requests in progress.
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

    /// Takes a request out, to be put back by [`PendingRequests::insert`] or `reinsert_unless_done`.
    pub fn remove(&mut self, id: RequestId) -> Option<PendingRequest> {
        self.0.remove(&id)
    }

    /// Puts a request in.
    pub fn insert(&mut self, pending: PendingRequest) {
        self.0.insert(pending.request.id, pending);
    }

    /// Puts a request back unless it is answered and its last attempt has ended.
    pub fn reinsert_unless_done(&mut self, pending: PendingRequest) {
        if !pending.is_answered || pending.has_attempt_in_flight() {
            self.insert(pending);
        }
    }

    /// Attempts in flight that count as fetches but were sent so recently that they may turn out to be hits, by
    /// popularity level.
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
