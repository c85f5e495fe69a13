//! The coalescing decisions: which reads share a flight, for how long, and what each waiter is
//! answered.
//!
//! A read joins the newest open flight for the same class, key and variant. If there is none, or if
//! that one hangs, it opens a flight; past a bound it bypasses coalescing. A write on a key closes
//! the key's flights to further reads. A served answer goes to the waiters of the flight and to
//! those of earlier flights for the same read.

use crate::counters::{Counters, Usage};
use crate::event::{Action, Event, FlightId, FlightOutcome, Read};
use crate::flight_table::{Flight, FlightTable};
use crate::latency_tracker::LatencyTracker;
use crate::retry_after::RetryAfter;
use crate::settings::{Bounds, ClassSettings};
use load_balancer::{Micros, RequestId};

/// How a read is forwarded.
#[derive(Clone, Copy, Debug)]
enum ReadDecision {
    /// It waits for this flight.
    Join(FlightId),
    /// It opens the only flight for this read.
    Open,
    /// It opens a flight in addition to a hung one.
    OpenReplacement,
    /// It is forwarded as a request of its own.
    Bypass,
}

/// The coalescer's state of a request class.
#[derive(Debug)]
struct ClassState {
    latency: LatencyTracker,
    minimum_retry_time: Micros,
}

/// Decides which identical reads share one upstream request (singleflight).
///
/// It has no clock and no I/O: [`Coalescer::handle`] takes events with their time and returns
/// actions.
#[derive(Debug)]
pub struct Coalescer {
    bounds: Bounds,
    retry_after: RetryAfter,
    classes: Vec<ClassState>,
    table: FlightTable,
    counters: Counters,
}

impl Coalescer {
    /// Creates a coalescer without flights. `classes` has one entry for each class of the
    /// deployment, indexed by class id.
    pub fn new(bounds: Bounds, classes: &[ClassSettings]) -> Coalescer {
        let classes = classes.iter().map(|class| ClassState {
            latency: LatencyTracker::new(class.latency_objective),
            minimum_retry_time: class.minimum_retry_time,
        });
        Coalescer {
            bounds,
            retry_after: RetryAfter { maximum: None },
            classes: classes.collect(),
            table: FlightTable::default(),
            counters: Counters::default(),
        }
    }

    /// Gives rejected waiters a Retry-After of at most `max_retry_after`; with `None`, none is
    /// given.
    pub fn with_max_retry_after(self, max_retry_after: Option<Micros>) -> Coalescer {
        Coalescer {
            retry_after: RetryAfter {
                maximum: max_retry_after,
            },
            ..self
        }
    }

    /// Handles one event that happens at `now` and appends the actions it causes.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Read(read) => self.on_read(now, &read, actions),
            Event::Write { key } => self.on_write(key),
            Event::ClientDisconnected { id } => self.remove_waiter(now, id, actions),
            Event::Retried { flight } => self.on_retried(now, flight, actions),
            Event::FlightEnded { flight, outcome } => self.on_ended(now, flight, outcome, actions),
            Event::DeadlineReached => self.on_deadline_reached(now, actions),
        }
    }

    /// The earliest deadline of all waiters, at which [`Event::DeadlineReached`] is expected.
    pub fn next_deadline(&self) -> Option<Micros> {
        self.table.next_deadline()
    }

    /// Counts since the start of the process.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The current number of waiters and flights.
    pub fn usage(&self) -> Usage {
        Usage {
            waiters: self.table.waiter_count(),
            flights: self.table.flight_count(),
        }
    }

    /// The age of the oldest flight, for operators who look for one that hangs.
    pub fn oldest_flight_age(&self, now: Micros) -> Option<Micros> {
        let opened_at = self.table.oldest_opened_at()?;
        Some(now.since(opened_at))
    }

    fn on_read(&mut self, now: Micros, read: &Read<'_>, actions: &mut Vec<Action>) {
        match self.decide(now, read) {
            ReadDecision::Join(flight) => self.join(flight, read, actions),
            ReadDecision::Open => self.open(now, read, actions),
            ReadDecision::OpenReplacement => {
                self.counters.replacements += 1;
                self.open(now, read, actions);
            }
            ReadDecision::Bypass => {
                self.counters.bypassed += 1;
                actions.push(Action::Bypass { id: read.id });
            }
        }
    }

    fn decide(&self, now: Micros, read: &Read<'_>) -> ReadDecision {
        let Some(class) = self.classes.get(read.class.0) else {
            return ReadDecision::Bypass;
        };
        if self.table.waiter_count() >= self.bounds.waiters || read.expires <= now {
            return ReadDecision::Bypass;
        }
        let is_hung = |flight: &Flight| {
            let age = now.since(flight.opened_at);
            !class.latency.is_slow() && age > class.latency.hung_after()
        };
        let mut joinable = self.table.joinable(read);
        let newest = joinable.next();
        let older_count = joinable.count();
        if let Some((id, flight)) = newest
            && (older_count >= self.bounds.replacement_flights || !is_hung(flight))
        {
            return if flight.waiters.len() >= self.bounds.waiters_per_flight {
                ReadDecision::Bypass
            } else {
                ReadDecision::Join(id)
            };
        }
        if self.table.flights_of_key(read.key).len() >= self.bounds.flights_per_key {
            return ReadDecision::Bypass;
        }
        if newest.is_some() {
            ReadDecision::OpenReplacement
        } else {
            ReadDecision::Open
        }
    }

    fn join(&mut self, flight: FlightId, read: &Read<'_>, actions: &mut Vec<Action>) {
        if let Some(expires) = self.table.add_waiter(flight, read) {
            self.counters.joined += 1;
            actions.push(Action::Join {
                flight,
                tenant: read.tenant,
                expires,
            });
        }
    }

    fn open(&mut self, now: Micros, read: &Read<'_>, actions: &mut Vec<Action>) {
        self.counters.flights += 1;
        let flight = self.table.open(now, read);
        actions.push(Action::Open { flight });
    }

    /// Closes the key's flights, so that no read sees a value from before a write that precedes it.
    ///
    /// When the write begins, open flights may return the value from before it. When it ends,
    /// flights opened meanwhile may have reached the server before it.
    fn on_write(&mut self, key: &[u8]) {
        self.counters.closed += self.table.close_to_further_reads(key);
    }

    /// Removes a waiter. Its flight ends with the last one, and is shortened if this one had the
    /// latest deadline.
    fn remove_waiter(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(waiter) = self.table.remove_waiter(id) else {
            return;
        };
        let Some(flight) = self.table.flight(waiter.flight) else {
            return;
        };
        if flight.waiters.is_empty() {
            self.withdraw(now, waiter.flight, actions);
        } else if waiter.expires == flight.expires {
            // Scans all waiters, but only in this case: a waiter that expires normally does not
            // have the latest deadline.
            if let Some(expires) = self.table.shorten_to_waiters(waiter.flight) {
                actions.push(Action::Shorten {
                    flight: waiter.flight,
                    expires,
                });
            }
        }
    }

    fn withdraw(&mut self, now: Micros, id: FlightId, actions: &mut Vec<Action>) {
        self.counters.withdrawn += 1;
        if let Some(flight) = self.table.remove_flight(id) {
            self.record_unserved(now, &flight);
        }
        actions.push(Action::Withdraw { flight: id });
    }

    /// Rejects waiters at their deadline. A read is idempotent, so the client may send it again.
    fn on_deadline_reached(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some(id) = self.table.first_expired(now) {
            self.counters.expired += 1;
            let retry_after = self.retry_after.spread(id, self.median_latency(id));
            actions.push(Action::Answer {
                id,
                outcome: FlightOutcome::Rejected(retry_after),
            });
            self.remove_waiter(now, id, actions);
        }
    }

    /// Rejects the waiters for whom the retry comes too late. The one with the latest deadline
    /// stays, as the load balancer has allowed the retry for it.
    fn on_retried(&mut self, now: Micros, id: FlightId, actions: &mut Vec<Action>) {
        let Some(flight) = self.table.flight(id) else {
            return;
        };
        let minimum_retry_time = self.classes[flight.class.0].minimum_retry_time;
        let is_too_late = |waiter: &RequestId| {
            let Some(waiter) = self.table.waiter(*waiter) else {
                return false;
            };
            waiter.expires.since(now) < minimum_retry_time && waiter.expires < flight.expires
        };
        let rejected: Vec<RequestId> = flight.waiters.iter().copied().filter(is_too_late).collect();
        for id in rejected {
            self.counters.retry_too_late += 1;
            let retry_after = self.retry_after.spread(id, Some(minimum_retry_time));
            actions.push(Action::Answer {
                id,
                outcome: FlightOutcome::Rejected(retry_after),
            });
            self.remove_waiter(now, id, actions);
        }
    }

    /// Answers all waiters of a flight. A served answer also ends the earlier flights for the same
    /// read, as it was produced after their waiters asked.
    fn on_ended(
        &mut self,
        now: Micros,
        id: FlightId,
        outcome: FlightOutcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.table.remove_flight(id) else {
            return;
        };
        let is_served = outcome == FlightOutcome::Served;
        if is_served {
            self.record_served(now, &flight);
        } else {
            self.record_unserved(now, &flight);
        }
        self.answer_waiters(&flight, outcome, actions);
        if !is_served {
            return;
        }
        for earlier_id in self.earlier_flights(&flight) {
            if let Some(earlier) = self.table.remove_flight(earlier_id) {
                self.record_unserved(now, &earlier);
                self.answer_waiters(&earlier, outcome, actions);
                actions.push(Action::Withdraw { flight: earlier_id });
            }
        }
    }

    /// Flights for the same read that were opened before this one.
    fn earlier_flights(&self, flight: &Flight) -> Vec<FlightId> {
        let is_earlier = |id: &FlightId| {
            self.table
                .flight(*id)
                .is_some_and(|other| other.sequence < flight.sequence && other.is_same_read(flight))
        };
        let of_key = self.table.flights_of_key(&flight.key);
        of_key.iter().copied().filter(is_earlier).collect()
    }

    fn answer_waiters(&self, flight: &Flight, outcome: FlightOutcome, actions: &mut Vec<Action>) {
        for &id in &flight.waiters {
            let outcome = match outcome {
                FlightOutcome::Rejected(Some(estimate)) => {
                    FlightOutcome::Rejected(self.retry_after.spread(id, Some(estimate)))
                }
                outcome => outcome,
            };
            actions.push(Action::Answer { id, outcome });
        }
    }

    fn record_served(&mut self, now: Micros, flight: &Flight) {
        let latency = now.since(flight.opened_at);
        self.classes[flight.class.0].latency.record_served(latency);
    }

    fn record_unserved(&mut self, now: Micros, flight: &Flight) {
        let age = now.since(flight.opened_at);
        self.classes[flight.class.0].latency.record_unserved(age);
    }

    /// The typical latency of the class of a waiter's flight.
    fn median_latency(&self, waiter: RequestId) -> Option<Micros> {
        let waiter = self.table.waiter(waiter)?;
        let flight = self.table.flight(waiter.flight)?;
        self.classes[flight.class.0].latency.median()
    }
}
