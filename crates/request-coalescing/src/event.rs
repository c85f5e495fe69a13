//! The coalescer's interface: the events it takes and the actions it returns.

use load_balancer::{ClassId, Micros, RequestId, TenantId};

/// Identifies a flight by the load balancer's request that carries it, which has the id of the
/// flight's first waiter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlightId(pub RequestId);

/// A read that may share a flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Read<'a> {
    /// Its id; unique for the life of the process.
    pub id: RequestId,
    /// Its request class.
    pub class: ClassId,
    /// The tenant that sends it, if any.
    pub tenant: Option<TenantId>,
    /// The key; a write on the same key affects this read.
    pub key: &'a [u8],
    /// The variant: all other fields that change the answer, encoded equally for identical reads.
    pub variant: &'a [u8],
    /// Its deadline: when its client stops waiting.
    pub expires: Micros,
}

/// How a flight, or the wait of a single waiter, ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FlightOutcome {
    /// Served with an answer of a cache server.
    Served,
    /// Rejected, with a Retry-After if one is given.
    Rejected(Option<Micros>),
    /// Failed, without a Retry-After.
    Failed,
}

/// An event for the coalescer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A read that may share a flight arrives. Exactly one [`Action::Open`], [`Action::Join`] or
    /// [`Action::Bypass`] follows.
    Read(Read<'a>),
    /// A write on this key is accepted, or has ended with any outcome. Both times are reported.
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
    /// The time returned by [`Coalescer::next_deadline`](crate::Coalescer::next_deadline) is
    /// reached.
    DeadlineReached,
}

/// An action for the caller, to be executed in the order returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the read of this event upstream as a new flight.
    Open {
        /// The flight.
        flight: FlightId,
    },
    /// The read of this event waits for an existing flight. The load balancer is to be notified.
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
    /// Send a waiter its final answer. If it is served, it is the answer of the flight named by
    /// [`Event::FlightEnded`].
    Answer {
        /// The waiter.
        id: RequestId,
        /// Its outcome.
        outcome: FlightOutcome,
    },
    /// Make the flight's deadline earlier, as the waiter with the latest one has left. The load
    /// balancer is to be notified.
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
