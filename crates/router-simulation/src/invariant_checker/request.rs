//! The state of each request and its attempts.

use super::rule::Idempotency;
use crate::executor::Time;
use std::collections::{BTreeSet, HashMap};

/// The outcome of an attempt, as far as the router can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AttemptState {
    InFlight,
    NeverRan,
    MayHaveRun,
}

/// A complete command that a router has written to a server.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) connection: u32,
    pub(super) server: usize,
    /// When its last byte was written.
    pub(super) sent_at: Time,
    pub(super) state: AttemptState,
    /// The connection is still open at the router.
    pub(super) is_connection_open: bool,
}

impl Attempt {
    pub(super) fn is_in_flight(&self) -> bool {
        self.state == AttemptState::InFlight && self.is_connection_open
    }
}

/// A request of a client. Times are virtual, in microseconds.
#[derive(Debug)]
pub(super) struct RequestState {
    pub(super) router: usize,
    pub(super) connection: u32,
    pub(super) class: String,
    pub(super) key: Vec<u8>,
    pub(super) is_write: bool,
    pub(super) idempotency: Idempotency,
    /// How long the client waits from when the last byte is at the router's machine.
    pub(super) timeout: Time,
    /// The end of `timeout`, or [`DEADLINE_UNKNOWN`] before the request has arrived.
    pub(super) deadline: Time,
    /// When the last byte arrived at the router's machine.
    pub(super) arrived_at: Option<Time>,
    /// When the first attempt was completely written.
    pub(super) first_sent_at: Option<Time>,
    /// When the serving reply arrived at the router's machine.
    pub(super) served_at: Option<Time>,
    /// When the final answer was completely written.
    pub(super) answered_at: Option<Time>,
    /// When the client's disconnect arrived at the router's machine.
    pub(super) disconnected_at: Option<Time>,
    /// No answer is due because the client or the router is gone.
    pub(super) is_abandoned: bool,
    pub(super) attempts: Vec<Attempt>,
}

/// The deadline of a request that has not arrived, later than the end of any run.
pub(super) const DEADLINE_UNKNOWN: Time = Time::MAX / 2;

impl RequestState {
    /// Returns the first attempt that may have taken effect.
    pub(super) fn first_possible_effect(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    pub(super) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Tells whether it has arrived and has no answer yet.
    pub(super) fn is_waiting(&self) -> bool {
        self.arrived_at.is_some() && self.answered_at.is_none()
    }
}

/// All requests by id, and the times at which their answers are due.
pub(super) struct RequestTable {
    by_id: HashMap<u64, RequestState>,
    due: BTreeSet<(Time, u64)>,
    answer_grace: Time,
}

impl RequestTable {
    pub(super) fn new(answer_grace: Time) -> RequestTable {
        RequestTable {
            by_id: HashMap::new(),
            due: BTreeSet::new(),
            answer_grace,
        }
    }

    pub(super) fn get(&self, id: u64) -> Option<&RequestState> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: u64) -> Option<&mut RequestState> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn contains(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn insert(&mut self, id: u64, request: RequestState) {
        self.by_id.insert(id, request);
    }

    /// Returns the attempt of a request on this connection.
    pub(super) fn attempt_mut(&mut self, id: u64, connection: u32) -> Option<&mut Attempt> {
        let request = self.by_id.get_mut(&id)?;
        request
            .attempts
            .iter_mut()
            .rev()
            .find(|attempt| attempt.connection == connection)
    }

    /// Records that the last byte arrives at the router's machine, from which the deadline counts.
    /// Returns false if no answer is due any more.
    pub(super) fn arrived(&mut self, id: u64, now: Time) -> bool {
        let Some(request) = self
            .by_id
            .get_mut(&id)
            .filter(|request| !request.is_abandoned)
        else {
            return false;
        };
        request.arrived_at = Some(now);
        request.deadline = now + request.timeout;
        self.due.insert((request.deadline + self.answer_grace, id));
        true
    }

    /// Records that the final answer is completely written.
    pub(super) fn answered(&mut self, id: u64, now: Time) -> Option<&RequestState> {
        let request = self.by_id.get_mut(&id)?;
        request.answered_at = Some(now);
        self.due.remove(&(request.deadline + self.answer_grace, id));
        Some(request)
    }

    /// Records that no answer is due any more.
    pub(super) fn abandon(&mut self, id: u64) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.is_abandoned = true;
            self.due.remove(&(request.deadline + self.answer_grace, id));
        }
    }

    /// Returns the requests of a router without an answer.
    pub(super) fn unanswered_of(&self, router: usize) -> Vec<u64> {
        let unanswered = self
            .by_id
            .iter()
            .filter(|(_, request)| request.router == router && request.answered_at.is_none());
        unanswered.map(|(&id, _)| id).collect()
    }

    /// Tells whether a request's deadline and the grace have passed.
    pub(super) fn is_past_grace(&self, id: u64, now: Time) -> bool {
        self.by_id
            .get(&id)
            .is_some_and(|request| request.deadline + self.answer_grace < now)
    }

    /// Extends the time for an answer to the grace from now on.
    pub(super) fn extend_grace(&mut self, id: u64, now: Time) {
        self.due.insert((now + self.answer_grace, id));
    }

    /// Removes and returns the next request whose answer was due before this time and is missing.
    pub(super) fn take_overdue(&mut self, now: Time) -> Option<u64> {
        while let Some(&(due, id)) = self.due.first().filter(|&&(due, _)| due < now) {
            self.due.remove(&(due, id));
            let is_missing =
                |request: &RequestState| request.answered_at.is_none() && !request.is_abandoned;
            if self.by_id.get(&id).is_some_and(is_missing) {
                return Some(id);
            }
        }
        None
    }
}
