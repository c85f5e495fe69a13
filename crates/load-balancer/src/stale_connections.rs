//! Is a connection that has been idle for some time still usable?
//!
//! Inputs: how attempts on idle connections end, and how long those had been idle (µs). Answer: whether
//! connections idle for so long are closed before use; and whether an attempt met a connection that was dead
//! already. Reason: a firewall or a peer drops idle connections unseen, and a request sent on one is lost.

use crate::request::{AttemptEnd, ConnectionUse, Outcome};
use crate::time::Micros;

/// Attempts on idle connections without a response, less those with one, after which idleness is at fault.
const STALE_EVIDENCE_COUNT: u32 = 3;
/// Connections idle for this ratio of the idle time of one that failed are taken to be dead too.
const STALE_RATIO: f64 = 0.5;
/// What drops idle connections unseen waits this long at least: an earlier failure has another cause.
const MIN_STALE_IDLE: Micros = Micros::from_millis(1_000);
/// How long idle connections are closed before use after one failed.
const STALE_DURATION: Micros = Micros::from_millis(20_000);

/// From which idle time on connections are stale, at whichever server.
#[derive(Debug)]
pub(crate) struct StaleConnections {
    /// Connections idle for as long as this are not used before `stale_until`.
    min_idle: Micros,
    stale_until: Micros,
    /// Attempts on idle connections without a response, less those with one.
    stale_evidence: u32,
}

impl StaleConnections {
    /// Nothing is known.
    pub fn new() -> StaleConnections {
        StaleConnections {
            min_idle: Micros::MAX,
            stale_until: Micros(0),
            stale_evidence: 0,
        }
    }

    /// Whether connections that have been idle for so long are most likely dead.
    pub fn is_stale(&self, now: Micros, idle: Micros) -> bool {
        idle >= self.min_idle && now < self.stale_until
    }

    /// Records how an attempt ended whose connection had been idle for `idle`. A lost connection is proof; no
    /// response has other causes too and needs repetition. A response that breaks off was the server's fault.
    pub fn record_end(&mut self, now: Micros, idle: Option<Micros>, end: &AttemptEnd) {
        let Some(idle) = idle.filter(|&idle| idle >= MIN_STALE_IDLE) else {
            return;
        };
        self.stale_evidence = match end.outcome {
            Outcome::TimedOut if !end.response_started => {
                (self.stale_evidence + 1).min(STALE_EVIDENCE_COUNT)
            }
            Outcome::ConnectionLost if !end.response_started => STALE_EVIDENCE_COUNT,
            _ => self.stale_evidence.saturating_sub(1),
        };
        if self.stale_evidence == STALE_EVIDENCE_COUNT {
            let known = if now < self.stale_until {
                self.min_idle
            } else {
                Micros::MAX
            };
            self.min_idle = known.min(idle.scaled(STALE_RATIO).max(MIN_STALE_IDLE));
            self.stale_until = now.plus(STALE_DURATION);
        }
    }
}

/// Whether an attempt met a reused connection that was dead already: it broke sooner than any answer comes. No work
/// was done and the key is cached there, so the next attempt at the same server is free, on another connection.
/// Guards against taking a connection's end (idle limit, firewall, restart) for the server's.
pub(crate) fn had_stale_connection(end: &AttemptEnd, typical_latency: Micros) -> bool {
    let is_reused = matches!(end.connection_use, ConnectionUse::Reused(_));
    let is_early = end.elapsed.scaled(2.0) <= typical_latency;
    end.outcome == Outcome::ConnectionLost && !end.response_started && is_reused && is_early
}
