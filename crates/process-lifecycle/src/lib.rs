//! Lifecycle of one router process, as a state machine without I/O.
//!
//! ```text
//!            EndpointsKnown             SuccessorServes
//!  Starting ----------------> Serving ------------------> HandingOver
//!     |                          |     <------------------     |
//!     |                          |        SuccessorLost        |
//!     | Terminate                | Terminate                   | Terminate
//!     v                          v                             v
//!  Ending without successor <----------------------------> Ending with successor
//!                             SuccessorServes, SuccessorLost
//! ```
//!
//! A process that is still `Starting` goes to `HandingOver` on `SuccessorServes` as well. An event without an arrow
//! changes nothing. Whether operators have drained the router is independent of the phase: `DrainRouter` and
//! `ResumeRouter` count in every phase, and are idempotent.
//!
//! The caller reports events with their time and asks what to do with the listener, a `PING`, and a connection.
//! Phase and drain stand side by side because they meet: a drain during a replacement, a successor that dies before
//! it serves, SIGTERM while drained.

use load_balancer::Micros;

/// Time that a client which connects to a drained router has for its first command. The client was on its way before
/// it saw a failed health check, which takes it at most 0.2 s.
pub const FIRST_COMMAND_GRACE: Micros = Micros::from_millis(500);
/// Time after the start of a drain in which commands are still read from a connection that is never idle. The platform
/// wants connections closed after 4 s; a request that is read in the last 2 s of these may be answered too late.
pub const DRAIN_READ_DURATION: Micros = Micros::from_millis(2_100);

/// An event in the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LifecycleEvent {
    /// The process knows cache servers, and can serve.
    EndpointsKnown,
    /// Operators drain the router.
    DrainRouter,
    /// Operators end the drain.
    ResumeRouter,
    /// A successor process has taken over the listener.
    SuccessorServes,
    /// The successor process has ended, or its channel has failed.
    SuccessorLost,
    /// SIGTERM was received, and the time in which new clients still connect is over.
    Terminate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Serving,
    HandingOver,
    ShuttingDown { has_successor: bool },
}

/// What to do with an idle connection: one without an unanswered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnectionPolicy {
    /// Keep it open.
    Keep,
    /// Close it; one that has not sent a command yet only after [`FIRST_COMMAND_GRACE`].
    Close,
    /// Close it at once, whether it has sent a command or not.
    CloseNow,
    /// Hand it over to the successor process.
    HandOver,
}

/// State of one process. A new one is starting and not drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    phase: Phase,
    /// Start of the drain, `None` if the router is not drained.
    drained_since: Option<Micros>,
}

impl Default for Lifecycle {
    fn default() -> Self {
        Lifecycle {
            phase: Phase::Starting,
            drained_since: None,
        }
    }
}

impl Lifecycle {
    /// The state after `event` at time `now`.
    #[must_use]
    pub fn after(self, now: Micros, event: LifecycleEvent) -> Lifecycle {
        Lifecycle {
            phase: self.phase.after(event),
            drained_since: match event {
                LifecycleEvent::DrainRouter => self.drained_since.or(Some(now)),
                LifecycleEvent::ResumeRouter => None,
                _ => self.drained_since,
            },
        }
    }

    /// Whether a health check (`PING`) succeeds.
    pub fn reports_healthy(&self) -> bool {
        self.drained_since.is_none()
    }

    /// Whether operators have drained the router.
    pub fn is_drained(&self) -> bool {
        self.drained_since.is_some()
    }

    /// Whether this process can serve. A drained one can; one whose successor serves cannot.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether this process accepts connections from the listener.
    pub fn accepts_connections(&self) -> bool {
        matches!(self.phase, Phase::Starting | Phase::Serving)
    }

    /// Whether a successor process takes the connections that become idle.
    pub fn hands_over_connections(&self) -> bool {
        matches!(
            self.phase,
            Phase::HandingOver
                | Phase::ShuttingDown {
                    has_successor: true
                }
        )
    }

    /// What to do with idle connections.
    pub fn idle_connection_policy(&self) -> IdleConnectionPolicy {
        match self.phase {
            _ if self.hands_over_connections() => IdleConnectionPolicy::HandOver,
            Phase::ShuttingDown { .. } => IdleConnectionPolicy::CloseNow,
            _ if self.is_drained() => IdleConnectionPolicy::Close,
            _ => IdleConnectionPolicy::Keep,
        }
    }

    /// Whether more commands are read at time `now` from a connection with unanswered requests. If not, the
    /// connection becomes idle once these are answered.
    pub fn may_read_more(&self, now: Micros) -> bool {
        match self.drained_since {
            _ if self.hands_over_connections() => false,
            Some(start) => now.since(start) < DRAIN_READ_DURATION,
            None => true,
        }
    }
}

impl Phase {
    /// The phase after `event`.
    fn after(self, event: LifecycleEvent) -> Phase {
        use LifecycleEvent::{EndpointsKnown, SuccessorLost, SuccessorServes, Terminate};
        let ending = |has_successor| Phase::ShuttingDown { has_successor };
        match (self, event) {
            (Phase::Starting, EndpointsKnown) => Phase::Serving,
            (Phase::Starting | Phase::Serving, SuccessorServes) => Phase::HandingOver,
            (Phase::HandingOver, SuccessorLost) => Phase::Serving,
            (Phase::Starting | Phase::Serving, Terminate) => ending(false),
            (Phase::HandingOver, Terminate) => ending(true),
            (Phase::ShuttingDown { .. }, SuccessorServes) => ending(true),
            (Phase::ShuttingDown { .. }, SuccessorLost) => ending(false),
            (phase, _) => phase,
        }
    }
}
