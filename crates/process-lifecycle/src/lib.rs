//! The life of one process of the router: starting, serving, handing over to a successor, ending; and, apart from
//! that, whether operators have drained it.
//!
//! Pure: events and the time in, and for each state one answer to each question that sockets ask. Whoever holds the
//! sockets only carries it out. Guards against the states that meet: a drain during a replacement, a successor that
//! dies before it serves, SIGTERM while drained.
//!
//! | event | starting | serving | handing over | ending |
//! | --- | --- | --- | --- | --- |
//! | `EndpointsKnown` | serving | - | - | - |
//! | `SuccessorServes` | handing over | handing over | - | ending, to the successor |
//! | `SuccessorLost` | - | - | serving | ending, alone |
//! | `Terminate` | ending, alone | ending, alone | ending, to the successor | - |
//!
//! `DrainRouter` and `ResumeRouter` are kept in every state, and are idempotent.

use load_balancer::Micros;

/// A client that has just connected to a drained router has its first command on the way most likely: it has so long
/// for it. The front stops sending new ones 0.2 s after it was told no.
pub const NEWCOMER: Micros = Micros::from_millis(500);
/// For so long after a drain's begin a client that is never at rest is read on; then what it sends is not read, and its
/// connection is closed after what it is owed. The platform wants its connections closed at 4 s, and a request of the
/// last 2 s is one too many there.
pub const READ_ON: Micros = Micros::from_millis(2_100);

/// What happens to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// It knows servers, so that it can serve.
    EndpointsKnown,
    /// Operators drain the router.
    DrainRouter,
    /// The drain's end.
    ResumeRouter,
    /// Another process has taken over the listener.
    SuccessorServes,
    /// That other process has gone.
    SuccessorLost,
    /// SIGTERM, and the time in which new clients still come is over.
    Terminate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Serving,
    HandingOver,
    Ending { succeeded: bool },
}

/// What a connection gets that is at rest: nothing is owed on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnectionPolicy {
    /// It stays open.
    Keep,
    /// It is closed; one that has never asked only after [`NEWCOMER`].
    Close,
    /// The same, and one that has never asked at once.
    CloseNow,
    /// It is given to the successor.
    HandOver,
}

/// One process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    phase: Phase,
    /// Since when it is drained.
    drained: Option<Micros>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            phase: Phase::Starting,
            drained: None,
        }
    }
}

impl Lifecycle {
    /// The state after an event at `now`.
    #[must_use]
    pub fn after(self, now: Micros, event: LifecycleEvent) -> Lifecycle {
        use Phase::{Ending, HandingOver, Serving, Starting};
        let phase = match (self.phase, event) {
            (Starting, LifecycleEvent::EndpointsKnown) => Serving,
            (Starting | Serving, LifecycleEvent::SuccessorServes) => HandingOver,
            (Ending { .. }, LifecycleEvent::SuccessorServes) => Ending { succeeded: true },
            (HandingOver, LifecycleEvent::SuccessorLost) => Serving,
            (Ending { .. }, LifecycleEvent::SuccessorLost) => Ending { succeeded: false },
            (phase @ Ending { .. }, LifecycleEvent::Terminate) => phase,
            (phase, LifecycleEvent::Terminate) => Ending {
                succeeded: phase == HandingOver,
            },
            (phase, _) => phase,
        };
        let drained = match event {
            LifecycleEvent::DrainRouter => self.drained.or(Some(now)),
            LifecycleEvent::ResumeRouter => None,
            _ => self.drained,
        };
        Lifecycle { phase, drained }
    }

    /// Whether `PING` is answered with yes.
    pub fn reports_healthy(&self) -> bool {
        self.drained.is_none()
    }

    /// Whether operators have drained it.
    pub fn is_drained(&self) -> bool {
        self.drained.is_some()
    }

    /// Whether this process can serve: a drained one can, and one that a successor has relieved cannot.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether this process takes clients off the listener.
    pub fn accepts(&self) -> bool {
        matches!(self.phase, Phase::Starting | Phase::Serving)
    }

    /// Whether a successor takes what comes to rest.
    pub fn is_handed_over(&self) -> bool {
        matches!(
            self.phase,
            Phase::HandingOver | Phase::Ending { succeeded: true }
        )
    }

    /// What a connection at rest gets.
    pub fn idle_connection_policy(&self) -> IdleConnectionPolicy {
        match (self.phase, self.drained) {
            _ if self.is_handed_over() => IdleConnectionPolicy::HandOver,
            (Phase::Ending { .. }, _) => IdleConnectionPolicy::CloseNow,
            (_, Some(_)) => IdleConnectionPolicy::Close,
            _ => IdleConnectionPolicy::Keep,
        }
    }

    /// Whether a connection that is owed answers is read on, or is to come to rest.
    pub fn may_read_more(&self, now: Micros) -> bool {
        match self.drained {
            _ if self.is_handed_over() => false,
            Some(since) => now.since(since) < READ_ON,
            None => true,
        }
    }
}
