//! The decisions: who shares what, for how long, and what each is told.
//!
//! The path of a read: a flight for the same that is still open to newcomers -> join it; none, or one that hangs ->
//! open one; past a bound -> alone. A write on a key closes the key's flights to newcomers. An answer goes to all who
//! wait for it, in flights for the same begun earlier too.

use crate::latency_tracker::LatencyTracker;
use crate::settings::{Bounds, ClassSettings};
use load_balancer::{ClassId, Micros, RequestId, TenantId};
use rustc_hash::FxHashMap;
use std::collections::{BTreeSet, HashMap};
use std::fmt;

/// A flight, by the name of the request of the decision library that it is: the id of its first waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightId(pub RequestId);

/// A read that may be joined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read<'a> {
    /// Its name; never used twice.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Who sends it.
    pub tenant: Option<TenantId>,
    /// The key, which writes name too.
    pub key: &'a [u8],
    /// What else changes the answer, in any form that is equal for equal reads.
    pub what: &'a [u8],
    /// When its client gives up.
    pub expires: Micros,
}

/// How a flight ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlightOutcome {
    /// With an answer.
    Served,
    /// Declined, with advice on when to come back.
    Rejected(Option<Micros>),
    /// With nothing promised.
    Failed,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A read came that may be joined. Exactly one [`Action::Open`], [`Action::Join`] or [`Action::Alone`] follows.
    Read(Read<'a>),
    /// A write on this key was taken or has ended, however it did.
    Write {
        /// The key.
        key: &'a [u8],
    },
    /// A waiter's client left.
    ClientDisconnected {
        /// The waiter.
        id: RequestId,
    },
    /// A further attempt has gone out for the flight, since the one before failed.
    Retried {
        /// The flight.
        flight: FlightId,
    },
    /// A flight has its final answer.
    Ended {
        /// The flight.
        flight: FlightId,
        /// How.
        how: FlightOutcome,
    },
    /// The time that [`Coalescer::next_due`] named has come.
    Due,
}

/// What is to be done, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Open a flight as the request of the read that came, with all that it says.
    Open {
        /// The flight.
        flight: FlightId,
    },
    /// The read that came waits for this flight; the decision library hears of it.
    Join {
        /// The flight.
        flight: FlightId,
        /// Who joins it.
        tenant: Option<TenantId>,
        /// Until when the flight may take.
        expires: Micros,
    },
    /// The read that came goes its own way.
    Alone {
        /// The read.
        id: RequestId,
    },
    /// A waiter's final answer: the one of the flight that [`Event::Ended`] has just named if it is served.
    Answer {
        /// The waiter.
        id: RequestId,
        /// What it is told.
        how: FlightOutcome,
    },
    /// The waiter with the most time has left: the flight may take no longer than this. The decision library hears of it.
    Shorten {
        /// The flight.
        flight: FlightId,
        /// Until when it may take.
        expires: Micros,
    },
    /// Nobody waits for this flight: it is to end, with its attempt. Its end is not to be told.
    Withdraw {
        /// The flight.
        flight: FlightId,
    },
}

/// What passed so far; for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Flights opened.
    pub flights: u64,
    /// Reads that joined one.
    pub joined: u64,
    /// Reads that travelled alone past a bound.
    pub alone: u64,
    /// Of the flights, those opened since an earlier one hung.
    pub second: u64,
    /// Flights closed to newcomers by a write.
    pub closed: u64,
    /// Flights that nobody waited for any more.
    pub withdrawn: u64,
    /// Waiters whose own time was up first.
    pub expired: u64,
    /// Waiters refused since a further attempt of their flight could not have helped them in time.
    pub outrun: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counters {
            flights,
            joined,
            alone,
            second,
            closed,
            withdrawn,
            expired,
            outrun,
        } = self;
        write!(
            f,
            "{flights} flights, {joined} joined, {alone} alone, {second} second, {closed} closed, {withdrawn} withdrawn, {expired} expired, {outrun} outrun"
        )
    }
}

#[derive(Debug)]
struct Waiter {
    flight: FlightId,
    /// Its place among the flight's waiters.
    place: u32,
    expires: Micros,
}

#[derive(Debug)]
struct Flight {
    key: Box<[u8]>,
    what: Box<[u8]>,
    class: ClassId,
    /// Flights are numbered in the order in which they began.
    number: u64,
    began: Micros,
    /// The latest of its waiters' ends.
    expires: Micros,
    /// Newcomers may join.
    open: bool,
    waiters: Vec<RequestId>,
}

/// See the module.
#[derive(Debug)]
pub struct Coalescer {
    bounds: Bounds,
    /// The longest advice; `None`: none is given.
    advice: Option<Micros>,
    paces: Vec<LatencyTracker>,
    /// What a further attempt needs, by class.
    needs: Vec<Micros>,
    /// These two by names that no client chooses, so that a quick hash will do.
    flights: FxHashMap<FlightId, Flight>,
    /// Of each key with flights: those, the youngest last.
    keys: HashMap<Box<[u8]>, Vec<FlightId>>,
    waiters: FxHashMap<RequestId, Waiter>,
    due: BTreeSet<(Micros, RequestId)>,
    counters: Counters,
}

impl Coalescer {
    /// Nothing is joined yet. `classes` are those of the deployment, in the order of their numbers.
    pub fn new(bounds: Bounds, classes: &[ClassSettings]) -> Coalescer {
        Coalescer {
            bounds,
            advice: None,
            paces: classes
                .iter()
                .map(|class| LatencyTracker::new(class.latency_objective))
                .collect(),
            needs: classes.iter().map(|class| class.needs).collect(),
            flights: FxHashMap::default(),
            keys: HashMap::new(),
            waiters: FxHashMap::default(),
            due: BTreeSet::new(),
            counters: Counters::default(),
        }
    }

    /// Refusals may say when to come back, at the latest after so long.
    pub fn advising(self, most: Option<Micros>) -> Coalescer {
        Coalescer {
            advice: most,
            ..self
        }
    }

    /// Takes one event that happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, out: &mut Vec<Action>) {
        match event {
            Event::Read(read) => self.on_read(now, &read, out),
            Event::Write { key } => self.on_write(key),
            Event::ClientDisconnected { id } => self.leave(now, id, out),
            Event::Retried { flight } => self.on_again(now, flight, out),
            Event::Ended { flight, how } => self.on_ended(now, flight, how, out),
            Event::Due => self.on_due(now, out),
        }
    }

    /// When the next waiter's time is up.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|due| due.0)
    }

    /// What passed.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Waiters and flights at the moment.
    pub fn held(&self) -> (usize, usize) {
        (self.waiters.len(), self.flights.len())
    }

    /// The age of the oldest flight, for operators who look for one that hangs.
    pub fn oldest(&self, now: Micros) -> Option<Micros> {
        self.flights
            .values()
            .map(|flight| now.since(flight.began))
            .max()
    }

    fn on_read(&mut self, now: Micros, read: &Read<'_>, out: &mut Vec<Action>) {
        let class = read.class.0;
        if self.waiters.len() >= self.bounds.waiters
            || class >= self.paces.len()
            || read.expires <= now
        {
            return self.alone(read, out);
        }
        let of_key: &[FlightId] = self.keys.get(read.key).map_or(&[], Vec::as_slice);
        let same = of_key.iter().rev().filter(|id| {
            let flight = &self.flights[id];
            flight.open && flight.class == read.class && *flight.what == *read.what
        });
        let (mut youngest, mut open) = (None, 0);
        for &flight in same {
            youngest = youngest.or(Some(flight));
            open += 1;
        }
        let pace = &self.paces[class];
        let hangs =
            |id: FlightId| !pace.is_slow() && now.since(self.flights[&id].began) > pace.hangs_at();
        match youngest {
            Some(flight) if open > self.bounds.second_flights || !hangs(flight) => {
                self.join(flight, read, out)
            }
            _ if of_key.len() >= self.bounds.flights_per_key => self.alone(read, out),
            older => {
                self.counters.second += u64::from(older.is_some());
                self.open(now, read, out);
            }
        }
    }

    fn alone(&mut self, read: &Read<'_>, out: &mut Vec<Action>) {
        self.counters.alone += 1;
        out.push(Action::Alone { id: read.id });
    }

    fn join(&mut self, id: FlightId, read: &Read<'_>, out: &mut Vec<Action>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        if flight.waiters.len() >= self.bounds.waiters_per_flight {
            return self.alone(read, out);
        }
        self.counters.joined += 1;
        flight.expires = flight.expires.max(read.expires);
        let expires = flight.expires;
        self.wait(id, read);
        out.push(Action::Join {
            flight: id,
            tenant: read.tenant,
            expires,
        });
    }

    fn open(&mut self, now: Micros, read: &Read<'_>, out: &mut Vec<Action>) {
        let id = FlightId(read.id);
        self.counters.flights += 1;
        let flight = Flight {
            key: read.key.into(),
            what: read.what.into(),
            class: read.class,
            number: self.counters.flights,
            began: now,
            expires: read.expires,
            open: true,
            waiters: Vec::new(),
        };
        self.flights.insert(id, flight);
        match self.keys.get_mut(read.key) {
            Some(flights) => flights.push(id),
            None => _ = self.keys.insert(read.key.into(), vec![id]),
        }
        self.wait(id, read);
        out.push(Action::Open { flight: id });
    }

    fn wait(&mut self, id: FlightId, read: &Read<'_>) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let place = flight.waiters.len() as u32;
        flight.waiters.push(read.id);
        self.waiters.insert(
            read.id,
            Waiter {
                flight: id,
                place,
                expires: read.expires,
            },
        );
        self.due.insert((read.expires, read.id));
    }

    /// Guards reads that come after a write began: what an earlier flight brings may be from before it. Heard again at
    /// the write's end, it guards those that come after its answer: flights begun meanwhile may have been quicker than
    /// the write.
    fn on_write(&mut self, key: &[u8]) {
        for id in self.keys.get(key).map_or(&[][..], Vec::as_slice) {
            if let Some(flight) = self.flights.get_mut(id) {
                self.counters.closed += u64::from(std::mem::replace(&mut flight.open, false));
            }
        }
    }

    /// A waiter waits no more; its flight ends with the last one.
    fn leave(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(waiter) = self.waiters.remove(&id) else {
            return;
        };
        self.due.remove(&(waiter.expires, id));
        let Some(flight) = self.flights.get_mut(&waiter.flight) else {
            return;
        };
        let place = waiter.place as usize;
        flight.waiters.swap_remove(place);
        if let Some(moved) = flight
            .waiters
            .get(place)
            .and_then(|moved| self.waiters.get_mut(moved))
        {
            moved.place = waiter.place;
        }
        if flight.waiters.is_empty() {
            self.counters.withdrawn += 1;
            if let Some(flight) = self.forget(waiter.flight) {
                self.learn(now, &flight, false);
            }
            out.push(Action::Withdraw {
                flight: waiter.flight,
            });
        } else if waiter.expires == flight.expires {
            // Seldom so unless it is meant: of those who leave one has the most time, and of those whose time is up none.
            let longest = flight
                .waiters
                .iter()
                .map(|id| self.waiters[id].expires)
                .max()
                .unwrap_or_default();
            if longest < std::mem::replace(&mut flight.expires, longest) {
                out.push(Action::Shorten {
                    flight: waiter.flight,
                    expires: longest,
                });
            }
        }
    }

    fn forget(&mut self, id: FlightId) -> Option<Flight> {
        let flight = self.flights.remove(&id)?;
        if let Some(of_key) = self.keys.get_mut(&flight.key) {
            of_key.retain(|&other| other != id);
            if of_key.is_empty() {
                self.keys.remove(&flight.key);
            }
        }
        Some(flight)
    }

    /// Waiters whose time is up. Reads are harmless to repeat, so that they are declined.
    fn on_due(&mut self, now: Micros, out: &mut Vec<Action>) {
        while let Some(&(_, id)) = self.due.first().filter(|due| due.0 <= now) {
            self.counters.expired += 1;
            let usual = self.usual_of(id);
            out.push(Action::Answer {
                id,
                how: FlightOutcome::Rejected(self.advice_for(id, usual)),
            });
            self.leave(now, id, out);
        }
    }

    /// One further attempt is out for all. Those whom it cannot help in time are told so now.
    fn on_again(&mut self, now: Micros, flight: FlightId, out: &mut Vec<Action>) {
        let Some(of) = self.flights.get(&flight) else {
            return;
        };
        let needs = self.needs[of.class.0];
        // The one with the most time has been found to have enough of it.
        let in_vain = |id: &RequestId| {
            let expires = self.waiters[id].expires;
            expires.since(now) < needs && expires < of.expires
        };
        let outrun: Vec<RequestId> = of.waiters.iter().copied().filter(in_vain).collect();
        for id in outrun {
            self.counters.outrun += 1;
            out.push(Action::Answer {
                id,
                how: FlightOutcome::Rejected(self.advice_for(id, Some(needs))),
            });
            self.leave(now, id, out);
        }
    }

    /// The answer goes to all who wait for it. Served, it is as good for those of earlier flights for the same, which
    /// are still out: it was made after they asked.
    fn on_ended(&mut self, now: Micros, id: FlightId, how: FlightOutcome, out: &mut Vec<Action>) {
        let Some(flight) = self.forget(id) else {
            return;
        };
        let served = how == FlightOutcome::Served;
        self.learn(now, &flight, served);
        self.tell(&flight, how, out);
        if !served {
            return;
        }
        let before = |other: &FlightId| {
            let other = &self.flights[other];
            other.number < flight.number && other.class == flight.class && other.what == flight.what
        };
        let of_key = self.keys.get(&flight.key).map_or(&[][..], Vec::as_slice);
        let older: Vec<FlightId> = of_key.iter().copied().filter(before).collect();
        for id in older {
            if let Some(older) = self.forget(id) {
                self.learn(now, &older, false);
                self.tell(&older, how, out);
                out.push(Action::Withdraw { flight: id });
            }
        }
    }

    fn learn(&mut self, now: Micros, flight: &Flight, served: bool) {
        let (pace, age) = (&mut self.paces[flight.class.0], now.since(flight.began));
        if served {
            pace.answered(age)
        } else {
            pace.unanswered(age)
        }
    }

    fn tell(&mut self, flight: &Flight, how: FlightOutcome, out: &mut Vec<Action>) {
        for &id in &flight.waiters {
            if let Some(waiter) = self.waiters.remove(&id) {
                self.due.remove(&(waiter.expires, id));
            }
            let how = match how {
                FlightOutcome::Rejected(Some(after)) => {
                    FlightOutcome::Rejected(self.advice_for(id, Some(after)))
                }
                how => how,
            };
            out.push(Action::Answer { id, how });
        }
    }

    fn usual_of(&self, waiter: RequestId) -> Option<Micros> {
        let flight = self.flights.get(&self.waiters.get(&waiter)?.flight)?;
        self.paces[flight.class.0].usual()
    }

    /// When to come back: those who are declined together are not to return together, so that each is told another
    /// time, evenly spread over as long again as the advice for one.
    fn advice_for(&self, id: RequestId, after: Option<Micros>) -> Option<Micros> {
        let most = self.advice?;
        let after = after
            .unwrap_or(most)
            .min(most.scaled(0.5))
            .max(Micros::from_millis(1));
        // The golden ratio's multiples spread evenly however many there are.
        let place = f64::from(id.0.wrapping_mul(0x9E37_79B9)) / f64::from(u32::MAX);
        Some(after.scaled(1.0 + place))
    }
}
