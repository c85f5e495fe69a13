//! Is a server an outlier that does not respond at all?
//!
//! Inputs: how its attempts ended, since when it owes an answer that needs no origin fetch (µs), the shortest
//! latency objective (µs). Answer: responsive or not, and when an unresponsive one gets its next health check.
//! Reason: a server that hangs or vanished answers nothing, not even hits; a slow origin or a queue lets some
//! answers through. Its successors on the ring take its arc, and one real request now and then finds out when it
//! is back.

use crate::concurrency_limit::SLOW_RATIO;
use crate::request::{AttemptEnd, Outcome};
use crate::time::Micros;

/// Attempts in a row without a response that make a server unresponsive: a single one may be lost anywhere.
const UNRESPONSIVE_ATTEMPT_COUNT: u32 = 2;
/// Time between health checks of an unresponsive server, as a multiple of the shortest latency objective.
const HEALTH_CHECK_INTERVAL_RATIO: f64 = 4.0;

/// Whether one server responds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Responsiveness {
    consecutive_unanswered_attempts: u32,
    /// Since the last response: when the first attempt was sent that needed no origin fetch.
    first_unanswered_at: Option<Micros>,
}

impl Responsiveness {
    /// Records an attempt that needs no origin fetch.
    pub fn record_send(&mut self, now: Micros) {
        self.first_unanswered_at.get_or_insert(now);
    }

    /// Records how an attempt ended. Any response shows that the server is there; no response shows nothing where
    /// the attempt was not written or had hardly any time.
    pub fn record_end(&mut self, end: &AttemptEnd, shortest_objective: Micros) {
        match end.outcome {
            Outcome::Cancelled | Outcome::NotSent => {}
            Outcome::TimedOut if !end.response_started => {
                if end.elapsed >= shortest_objective.scaled(SLOW_RATIO) {
                    self.record_unanswered();
                }
            }
            Outcome::Unreachable => self.record_unanswered(),
            _ => *self = Responsiveness::default(),
        }
    }

    fn record_unanswered(&mut self) {
        self.consecutive_unanswered_attempts =
            self.consecutive_unanswered_attempts.saturating_add(1);
    }

    /// Whether enough attempts in a row ended without a response.
    pub fn has_failed_repeatedly(&self) -> bool {
        self.consecutive_unanswered_attempts >= UNRESPONSIVE_ATTEMPT_COUNT
    }

    /// Whether the server does not respond: attempts in a row failed, or one that needs no fetch is overdue.
    pub fn is_unresponsive(&self, now: Micros, in_flight: u32, shortest_objective: Micros) -> bool {
        let is_overdue = |since: Micros| in_flight > 0 && now.since(since) > shortest_objective;
        self.has_failed_repeatedly() || self.first_unanswered_at.is_some_and(is_overdue)
    }
}

/// Whether an unresponsive server may be sent a request as its health check.
pub(crate) fn is_health_check_due(
    now: Micros,
    last_sent_at: Micros,
    shortest_objective: Micros,
) -> bool {
    now.since(last_sent_at) >= shortest_objective.scaled(HEALTH_CHECK_INTERVAL_RATIO)
}
