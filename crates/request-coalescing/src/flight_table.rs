//! Flights and their waiters, indexed by id, by key and by deadline. This is state alone; decisions
//! are made by the coalescer.

use crate::event::{FlightId, Read};
use load_balancer::{ClassId, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};

/// A client's read that waits for a flight.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// The flight it waits for.
    pub flight: FlightId,
    /// Its index in [`Flight::waiters`].
    index: u32,
    /// Its deadline.
    pub expires: Micros,
}

/// One upstream request that its waiters share.
#[derive(Debug)]
pub(crate) struct Flight {
    pub key: Box<[u8]>,
    pub variant: Box<[u8]>,
    pub class: ClassId,
    /// Position in the order in which flights are opened.
    pub sequence: u64,
    pub opened_at: Micros,
    /// The latest deadline of its waiters.
    pub expires: Micros,
    /// Whether further reads may join.
    pub is_open: bool,
    /// Never empty while the flight is in the table, except between the removal of its last waiter
    /// and its own.
    pub waiters: Vec<RequestId>,
}

impl Flight {
    /// Whether both flights carry the same read.
    pub fn is_same_read(&self, other: &Flight) -> bool {
        self.class == other.class && self.variant == other.variant
    }

    /// Whether this read may wait for the flight. The caller has already compared the keys.
    pub fn accepts(&self, read: &Read<'_>) -> bool {
        self.is_open && self.class == read.class && *self.variant == *read.variant
    }
}

/// All flights and waiters at the moment.
#[derive(Debug, Default)]
pub(crate) struct FlightTable {
    /// Keyed, like `waiters`, by ids that no client chooses, so that an unkeyed hash is safe.
    flights: FxHashMap<FlightId, Flight>,
    waiters: FxHashMap<RequestId, Waiter>,
    /// The flights of each key, the newest last. Clients choose keys, so the hash is keyed with a
    /// secret.
    by_key: HashMap<Box<[u8]>, Vec<FlightId>>,
    by_deadline: BTreeSet<(Micros, RequestId)>,
    /// The number of flights opened so far.
    opened_count: u64,
}

impl FlightTable {
    pub fn flight_count(&self) -> usize {
        self.flights.len()
    }

    pub fn waiter_count(&self) -> usize {
        self.waiters.len()
    }

    pub fn flight(&self, id: FlightId) -> Option<&Flight> {
        self.flights.get(&id)
    }

    pub fn waiter(&self, id: RequestId) -> Option<&Waiter> {
        self.waiters.get(&id)
    }

    /// The flights of a key, the newest last.
    pub fn flights_of_key(&self, key: &[u8]) -> &[FlightId] {
        self.by_key.get(key).map_or(&[], Vec::as_slice)
    }

    /// The flights of a key that a read may join, the newest first.
    pub fn joinable(&self, read: &Read<'_>) -> impl Iterator<Item = (FlightId, &Flight)> {
        self.flights_of_key(read.key)
            .iter()
            .rev()
            .filter_map(|&id| Some((id, self.flights.get(&id)?)))
            .filter(|(_, flight)| flight.accepts(read))
    }

    /// When the oldest flight was opened.
    pub fn oldest_opened_at(&self) -> Option<Micros> {
        self.flights.values().map(|flight| flight.opened_at).min()
    }

    /// The earliest deadline of all waiters.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.by_deadline.first().map(|&(expires, _)| expires)
    }

    /// The waiter with the earliest deadline, if that is reached.
    pub fn first_expired(&self, now: Micros) -> Option<RequestId> {
        self.by_deadline
            .first()
            .filter(|&&(expires, _)| expires <= now)
            .map(|&(_, id)| id)
    }

    /// Opens a flight with the read as its first waiter.
    pub fn open(&mut self, now: Micros, read: &Read<'_>) -> FlightId {
        let id = FlightId(read.id);
        self.opened_count += 1;
        let flight = Flight {
            key: read.key.into(),
            variant: read.variant.into(),
            class: read.class,
            sequence: self.opened_count,
            opened_at: now,
            expires: read.expires,
            is_open: true,
            waiters: Vec::new(),
        };
        self.flights.insert(id, flight);
        match self.by_key.get_mut(read.key) {
            Some(flights) => flights.push(id),
            None => {
                self.by_key.insert(read.key.into(), vec![id]);
            }
        }
        self.add_waiter(id, read);
        id
    }

    /// Adds the read to a flight's waiters; returns the flight's deadline, which is at least the
    /// read's.
    pub fn add_waiter(&mut self, id: FlightId, read: &Read<'_>) -> Option<Micros> {
        let flight = self.flights.get_mut(&id)?;
        flight.expires = flight.expires.max(read.expires);
        let waiter = Waiter {
            flight: id,
            index: flight.waiters.len() as u32,
            expires: read.expires,
        };
        flight.waiters.push(read.id);
        self.waiters.insert(read.id, waiter);
        self.by_deadline.insert((read.expires, read.id));
        Some(flight.expires)
    }

    /// Removes a waiter. Its flight stays in the table, without waiters if this was the last one.
    pub fn remove_waiter(&mut self, id: RequestId) -> Option<Waiter> {
        let waiter = self.waiters.remove(&id)?;
        self.by_deadline.remove(&(waiter.expires, id));
        if let Some(flight) = self.flights.get_mut(&waiter.flight) {
            let index = waiter.index as usize;
            flight.waiters.swap_remove(index);
            let moved = flight.waiters.get(index);
            if let Some(moved) = moved.and_then(|moved| self.waiters.get_mut(moved)) {
                moved.index = waiter.index;
            }
        }
        Some(waiter)
    }

    /// Removes a flight with all of its waiters; the returned flight still lists them.
    pub fn remove_flight(&mut self, id: FlightId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        if let Some(flights) = self.by_key.get_mut(&flight.key) {
            flights.retain(|&other| other != id);
            if flights.is_empty() {
                self.by_key.remove(&flight.key);
            }
        }
        for waiter_id in &flight.waiters {
            if let Some(waiter) = self.waiters.remove(waiter_id) {
                self.by_deadline.remove(&(waiter.expires, *waiter_id));
            }
        }
        Some(flight)
    }

    /// Closes all flights of a key to further reads; returns how many were open.
    pub fn close_to_further_reads(&mut self, key: &[u8]) -> u64 {
        let mut closed_count = 0;
        for id in self.by_key.get(key).map_or(&[][..], Vec::as_slice) {
            if let Some(flight) = self.flights.get_mut(id)
                && flight.is_open
            {
                flight.is_open = false;
                closed_count += 1;
            }
        }
        closed_count
    }

    /// Sets a flight's deadline to the latest one of its waiters; returns it if that is earlier
    /// than before.
    pub fn shorten_to_waiters(&mut self, id: FlightId) -> Option<Micros> {
        let flight = self.flights.get_mut(&id)?;
        let latest = flight
            .waiters
            .iter()
            .map(|waiter| self.waiters[waiter].expires)
            .max()
            .unwrap_or_default();
        let previous = std::mem::replace(&mut flight.expires, latest);
        (latest < previous).then_some(latest)
    }
}
