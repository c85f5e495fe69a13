//! Lifecycle of one router process, as a state machine without I/O.
//!
//! ```text
//!            EndpointsKnown             SuccessorServes
//!  Starting ----------------> Serving ------------------> HandingOver
//!     |                          |     <------------------     |
//!     |                          |        SuccessorLost        |
//!     | Terminate                | Terminate                   | Terminate
//!     v                          v                             v
//!  ShuttingDown, no successor <--------------------------> ShuttingDown, with successor
//!                             SuccessorServes, SuccessorLost
//! ```
//!
//! `SuccessorServes` also takes a process from `Starting` to `HandingOver`. An event without an
//! arrow changes nothing. Whether operators have drained the router is independent of the phase:
//! `DrainRouter` and `ResumeRouter` apply in every phase, and are idempotent.
//!
//! The caller reports events with their time, and queries the state for what to do with the
//! listener, a `PING` and a connection. One state covers both phase and drain because they occur
//! together: a drain during a replacement, a successor that exits before it serves, SIGTERM while
//! drained.

use load_balancer::Micros;

/// Time for the first command of a client that connects to a drained router. Such a client
/// connected before it noticed a failed health check, which takes at most 0.2 s.
pub const FIRST_COMMAND_GRACE: Micros = Micros::from_millis(500);
/// Time after the start of a drain in which commands are still read from a connection that does not
/// become idle. The platform requires connections to be closed after 4 s, and a request that is
/// read in the last 2 s before that may be answered too late.
pub const DRAIN_READ_DURATION: Micros = Micros::from_millis(2_100);

/// An event in the lifecycle of a process.
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
    /// The process shuts down: SIGTERM was received, and the time in which late clients are still
    /// accepted is over.
    Terminate,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The process accepts clients, but knows no cache servers yet.
    Starting,
    /// The process accepts clients and can serve.
    Serving,
    /// A successor process accepts the clients and takes the connections that become idle.
    HandingOver,
    /// The process ends once its connections have ended. With a successor, connections that become
    /// idle are handed over instead of closed.
    ShuttingDown { has_successor: bool },
}

/// What to do with an idle connection, which has no unanswered request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdleConnectionPolicy {
    /// Keep it open.
    Keep,
    /// Close it, but wait [`FIRST_COMMAND_GRACE`] for the first command of a new connection.
    Close,
    /// Close it at once, even if it has not sent a command yet.
    CloseNow,
    /// Hand it over to the successor process.
    HandOver,
}

/// State of one process. A new one is starting and not drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lifecycle {
    phase: Phase,
    /// Start of the drain; `None` if the router is not drained.
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

    /// Whether this process can serve. A drained process can; one that hands over to a successor
    /// cannot.
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

    /// Whether more commands are read at time `now` from a connection with unanswered requests. If
    /// not, the connection becomes idle once these are answered.
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
        let shutting_down = |has_successor| Phase::ShuttingDown { has_successor };
        match (self, event) {
            (Phase::Starting, EndpointsKnown) => Phase::Serving,
            (Phase::Starting | Phase::Serving, SuccessorServes) => Phase::HandingOver,
            (Phase::HandingOver, SuccessorLost) => Phase::Serving,
            (Phase::Starting | Phase::Serving, Terminate) => shutting_down(false),
            (Phase::HandingOver, Terminate) => shutting_down(true),
            (Phase::ShuttingDown { .. }, SuccessorServes) => shutting_down(true),
            (Phase::ShuttingDown { .. }, SuccessorLost) => shutting_down(false),
            (phase, _) => phase,
        }
    }
}
