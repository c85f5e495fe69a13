//! Detects servers that do not respond at all.
//!
//! The inputs are how a server's attempts ended, since when it owes an answer that needs no origin
//! fetch (µs), and the shortest latency objective (µs). The results are whether the server is
//! unresponsive, and when an unresponsive server gets its next health check.
//!
//! A server that hangs or has vanished answers nothing, not even hits, whereas a slow origin or a
//! queue still lets some answers through. The server's successors on the ring take over its arcs,
//! and a real request is sent now and then as a health check.

use crate::concurrency_limit::SLOW_RATIO;
use crate::request::{AttemptEnd, Outcome};
use crate::time::Micros;

/// Consecutive attempts without a response that make a server unresponsive. A single response may
/// be lost at any server.
const UNRESPONSIVE_ATTEMPT_COUNT: u32 = 2;
/// The interval between health checks of an unresponsive server, as a multiple of the shortest
/// latency objective.
const HEALTH_CHECK_INTERVAL_RATIO: f64 = 4.0;

/// The record of whether one server responds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Responsiveness {
    consecutive_unanswered_attempts: u32,
    /// When the first attempt since the last response was sent that needs no origin fetch.
    first_unanswered_at: Option<Micros>,
}

impl Responsiveness {
    /// Records that an attempt was sent that needs no origin fetch.
    pub fn record_send(&mut self, now: Micros) {
        self.first_unanswered_at.get_or_insert(now);
    }

    /// Records how an attempt ended. Any response shows that the server responds. A missing
    /// response shows nothing if the attempt was not written or had hardly any time.
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

    /// Whether enough consecutive attempts ended without a response.
    pub fn has_failed_repeatedly(&self) -> bool {
        self.consecutive_unanswered_attempts >= UNRESPONSIVE_ATTEMPT_COUNT
    }

    /// Whether the server is unresponsive: consecutive attempts failed, or the answer to an attempt
    /// that needs no origin fetch is overdue.
    pub fn is_unresponsive(&self, now: Micros, in_flight: u32, shortest_objective: Micros) -> bool {
        let is_overdue = |since: Micros| in_flight > 0 && now.since(since) > shortest_objective;
        self.has_failed_repeatedly() || self.first_unanswered_at.is_some_and(is_overdue)
    }
}

/// Whether an unresponsive server is due for a request that serves as its health check.
pub(crate) fn is_health_check_due(
    now: Micros,
    last_sent_at: Micros,
    shortest_objective: Micros,
) -> bool {
    now.since(last_sent_at) >= shortest_objective.scaled(HEALTH_CHECK_INTERVAL_RATIO)
}
