//! Rules of coalescing. A coalesced answer goes only to reads of the same key, from a flight that
//! is not older than the last write before the read. Each flight is one upstream request for all
//! its waiters.

use super::request::{RequestState, RequestTable};
use super::rule::CoalescingParameters;
use crate::executor::Time;
use std::collections::BTreeMap;

/// The requests for one key at one router.
#[derive(Default)]
struct KeyRequests {
    writes: Vec<u64>,
    reads: Vec<u64>,
}

/// The requests of each router and key.
pub(super) struct Coalescing {
    parameters: CoalescingParameters,
    by_key: BTreeMap<(usize, Vec<u8>), KeyRequests>,
}

impl Coalescing {
    pub(super) fn new(parameters: CoalescingParameters) -> Coalescing {
        Coalescing {
            parameters,
            by_key: BTreeMap::new(),
        }
    }

    /// Adds a request that a client sends.
    pub(super) fn add(&mut self, id: u64, request: &RequestState) {
        let key = (request.router, request.key.clone());
        let requests = self.by_key.entry(key).or_default();
        if request.is_write {
            requests.writes.push(id);
        } else {
            requests.reads.push(id);
        }
    }

    /// Tells whether requests of this class share flights.
    pub(super) fn applies_to(&self, class: &str) -> bool {
        self.parameters.class == class
    }

    /// Returns the violations in answering `reader` with the value that a server made for `first`.
    pub(super) fn check_shared_answer(
        &self,
        table: &RequestTable,
        reader: &RequestState,
        first: &RequestState,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        if reader.is_write || first.is_write || !self.applies_to(&reader.class) {
            violations.push(
                "served with the value of another request where coalescing is not allowed"
                    .to_string(),
            );
        }
        let is_same_key = (&reader.class, &reader.key) == (&first.class, &first.key);
        if !is_same_key || reader.router != first.router {
            violations.push(format!(
                "served with the value of {:?} at router {}",
                (&first.class, &first.key),
                first.router
            ));
        }
        let arrived_at = reader.arrived_at.unwrap_or(0);
        // A value without its complete load report has no time.
        let was_complete = first.served_at.is_some_and(|served| arrived_at > served);
        if first.first_sent_at.is_none() || was_complete {
            violations
                .push("served with a value that was complete before the read arrived".to_string());
        }
        if self.is_older_than_write(table, reader, first) {
            violations.push(
                "served from a flight that is older than a write before the read".to_string(),
            );
        }
        violations
    }

    /// Tells whether the flight of `first` began before a write that precedes `reader`. The router
    /// starts a write between its arrival and its first attempt, and ends it between the reply to
    /// that attempt and the final answer.
    fn is_older_than_write(
        &self,
        table: &RequestTable,
        reader: &RequestState,
        first: &RequestState,
    ) -> bool {
        let arrived_at = reader.arrived_at.unwrap_or(0);
        let flight_began = first.first_sent_at.unwrap_or(Time::MAX);
        let is_between = |before: Option<Time>, after: Option<Time>| {
            before
                .zip(after)
                .is_some_and(|(before, after)| flight_began < before && arrived_at > after)
        };
        let key = (reader.router, reader.key.clone());
        let writes = self
            .by_key
            .get(&key)
            .map_or(&[][..], |requests| &requests.writes);
        writes.iter().filter_map(|&id| table.get(id)).any(|write| {
            is_between(write.arrived_at, write.first_sent_at)
                || is_between(write.served_at, write.answered_at)
        })
    }

    /// Returns the violation if an attempt is sent for a read that no client waits for, or if more
    /// flights for its key are open than allowed.
    pub(super) fn check_attempt(
        &self,
        now: Time,
        table: &RequestTable,
        request: &RequestState,
    ) -> Option<String> {
        if request.is_write || !self.applies_to(&request.class) {
            return None;
        }
        let key = (request.router, request.key.clone());
        let requests = self.by_key.get(&key)?;
        let reads = || requests.reads.iter().filter_map(|&id| table.get(id));
        if request.answered_at.is_some() && !reads().any(RequestState::is_waiting) {
            return Some("sent when no client waits for it".to_string());
        }
        let in_flight = || reads().filter(|read| read.has_attempt_in_flight());
        let is_new = !request.has_attempt_in_flight();
        let count = in_flight().count() + usize::from(is_new);
        let oldest = in_flight()
            .filter_map(|read| read.arrived_at)
            .chain(request.arrived_at)
            .min()
            .unwrap_or(now);
        let writes = count_writes_since(table, &requests.writes, oldest);
        // The start and the end of each write close the earlier flights to new readers.
        let limit = self.parameters.max_flights_per_key * (1 + 2 * writes);
        (count > limit).then(|| {
            format!("{count} attempts for the key are in flight where {limit} are allowed")
        })
    }
}

/// Returns the number of writes that have arrived and were not answered before this time, which is
/// the arrival of the oldest reader: no flight is older than its first reader.
fn count_writes_since(table: &RequestTable, writes: &[u64], since: Time) -> usize {
    let overlaps = |write: &&RequestState| {
        write.arrived_at.is_some() && write.answered_at.is_none_or(|at| at >= since)
    };
    let known = writes.iter().filter_map(|&id| table.get(id));
    known.filter(overlaps).count()
}
