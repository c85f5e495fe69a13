//! The coalescer's interface: the events it takes and the actions it returns.

use load_balancer::{ClassId, Micros, RequestId, TenantId};

/// Identifies a flight by the request of the decision library that carries it: the id of its first waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightId(pub RequestId);

/// A read that may share a flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read<'a> {
    /// Its id; unique for the life of the process.
    pub id: RequestId,
    /// Its request class.
    pub class: ClassId,
    /// The tenant that sends it.
    pub tenant: Option<TenantId>,
    /// The key, as writes name it too.
    pub key: &'a [u8],
    /// The variant: all other fields that change the answer, in a form that is equal for identical reads.
    pub variant: &'a [u8],
    /// Its deadline: when its client stops waiting.
    pub expires: Micros,
}

/// How a flight, or a waiter's part in it, ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlightOutcome {
    /// With an answer of a cache server.
    Served,
    /// Rejected, with a Retry-After where one is given.
    Rejected(Option<Micros>),
    /// Failed, without a Retry-After.
    Failed,
}

/// What happens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A read that may share a flight arrives. Exactly one [`Action::Open`], [`Action::Join`] or [`Action::Bypass`]
    /// follows.
    Read(Read<'a>),
    /// A write on this key is accepted, or has ended with any outcome. Both moments are reported.
    Write {
        /// The key.
        key: &'a [u8],
    },
    /// A waiter's client disconnects.
    ClientDisconnected {
        /// The waiter.
        id: RequestId,
    },
    /// A retry has been sent for the flight, as its previous attempt failed.
    Retried {
        /// The flight.
        flight: FlightId,
    },
    /// A flight has its final answer.
    FlightEnded {
        /// The flight.
        flight: FlightId,
        /// Its outcome.
        outcome: FlightOutcome,
    },
    /// The time of [`Coalescer::next_deadline`](crate::Coalescer::next_deadline) is reached.
    DeadlineReached,
}

/// What the caller has to do, in the order returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the read of this event upstream as a new flight.
    Open {
        /// The flight.
        flight: FlightId,
    },
    /// The read of this event waits for an existing flight. The decision library is notified.
    Join {
        /// The flight.
        flight: FlightId,
        /// The tenant that joins it.
        tenant: Option<TenantId>,
        /// The flight's deadline from now on.
        expires: Micros,
    },
    /// The read of this event bypasses coalescing: it is forwarded as a request of its own.
    Bypass {
        /// The read.
        id: RequestId,
    },
    /// Send a waiter its final answer; if it is served, the answer of the flight that [`Event::FlightEnded`] names.
    Answer {
        /// The waiter.
        id: RequestId,
        /// Its outcome.
        outcome: FlightOutcome,
    },
    /// Bring the flight's deadline forward, as the waiter with the latest one has left. The decision library is
    /// notified.
    Shorten {
        /// The flight.
        flight: FlightId,
        /// The flight's deadline from now on.
        expires: Micros,
    },
    /// Cancel a flight without waiters, and its attempt. No [`Event::FlightEnded`] follows for it.
    Withdraw {
        /// The flight.
        flight: FlightId,
    },
}
