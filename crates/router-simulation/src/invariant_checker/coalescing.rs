//! What may be shared: a coalesced answer goes to reads of the same key, from a flight that is not older than the last
//! write before the read, and each flight is one upstream request for all.

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

/// Coalescing's view of the requests: those of each router and key.
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

    /// A client sends a request.
    pub(super) fn add(&mut self, id: u64, request: &RequestState) {
        let key = (request.router, request.key.clone());
        let requests = self.by_key.entry(key).or_default();
        if request.is_write {
            requests.writes.push(id);
        } else {
            requests.reads.push(id);
        }
    }

    /// Whether requests of this class share flights.
    pub(super) fn covers(&self, class: &str) -> bool {
        self.parameters.class == class
    }

    /// What is wrong with serving `reader` the value that a server made for `first`.
    pub(super) fn check_shared_answer(
        &self,
        table: &RequestTable,
        reader: &RequestState,
        first: &RequestState,
    ) -> Vec<String> {
        let mut problems = Vec::new();
        if reader.is_write || first.is_write || !self.covers(&reader.class) {
            problems.push("served with another's value, and it is no read that may be".to_string());
        }
        let is_same_key = (&reader.class, &reader.key) == (&first.class, &first.key);
        if !is_same_key || reader.router != first.router {
            problems.push(format!(
                "served with the value for {:?} of router {}",
                (&first.class, &first.key),
                first.router
            ));
        }
        let arrived_at = reader.arrived_at.unwrap_or(0);
        // A value whose load report never came whole has no time.
        let was_complete = first.served_at.is_some_and(|served| arrived_at > served);
        if first.first_sent_at.is_none() || was_complete {
            problems.push("served with a value that was there before it asked".to_string());
        }
        if self.is_older_than_write(table, reader, first) {
            problems
                .push("served from a flight that is older than a write it came after".to_string());
        }
        problems
    }

    /// Whether the flight of `first` began before a write that `reader` came after. A write begins at the router between
    /// its arrival and its first attempt, and ends between the reply to that and its answer.
    fn is_older_than_write(
        &self,
        table: &RequestTable,
        reader: &RequestState,
        first: &RequestState,
    ) -> bool {
        let arrived_at = reader.arrived_at.unwrap_or(0);
        let flight_began = first.first_sent_at.unwrap_or(Time::MAX);
        let separates = |before: Option<Time>, after: Option<Time>| {
            before
                .zip(after)
                .is_some_and(|(before, after)| flight_began < before && arrived_at > after)
        };
        let key = (reader.router, reader.key.clone());
        let writes = self.by_key.get(&key).map_or(&[][..], |of| &of.writes);
        writes.iter().filter_map(|&id| table.get(id)).any(|write| {
            separates(write.arrived_at, write.first_sent_at)
                || separates(write.served_at, write.answered_at)
        })
    }

    /// What is wrong with sending on a read that may share a flight, of which an attempt goes out now.
    pub(super) fn check_attempt(
        &self,
        now: Time,
        table: &RequestTable,
        request: &RequestState,
    ) -> Option<String> {
        if request.is_write || !self.covers(&request.class) {
            return None;
        }
        let key = (request.router, request.key.clone());
        let requests = self.by_key.get(&key)?;
        let reads = || requests.reads.iter().filter_map(|&id| table.get(id));
        if request.answered_at.is_some() && !reads().any(RequestState::is_waiting) {
            return Some("sent on when nobody waits for it any more".to_string());
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
        // Each begin and each end of a write closes the flights before it.
        let limit = self.parameters.max_flights_per_key * (1 + 2 * writes);
        (count > limit)
            .then(|| format!("{count} attempts for its key are out where {limit} would do"))
    }
}

/// Writes that have arrived and were not answered before this time: no flight is older than its first reader.
fn count_writes_since(table: &RequestTable, writes: &[u64], since: Time) -> usize {
    let is_near = |write: &&RequestState| {
        write.arrived_at.is_some() && write.answered_at.is_none_or(|at| at >= since)
    };
    let known = writes.iter().filter_map(|&id| table.get(id));
    known.filter(is_near).count()
}
