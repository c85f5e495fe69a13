//! Detection of stale connections: idle connections that are already dead.
//!
//! Firewalls and peers can drop idle connections without notice, and a request that is sent on one
//! is lost. From how attempts on idle connections end, and how long the connections had been idle
//! (µs), this module derives whether connections with a given idle time are closed before use, and
//! whether an attempt was sent on a dead connection.

use crate::request::{AttemptEnd, ConnectionUse, Outcome};
use crate::time::Micros;

/// Attempts without a response on idle connections, minus those with one, from which on idle
/// connections count as stale.
const STALE_EVIDENCE_COUNT: u32 = 3;
/// Connections that were idle for this ratio of the idle time of a failed one count as dead too.
const STALE_RATIO: f64 = 0.5;
/// Idle connections are not dropped earlier than this. A failure after a shorter idle time has
/// another cause.
const MIN_STALE_IDLE: Micros = Micros::from_millis(1_000);
/// After a failure, idle connections are closed before use for this long.
const STALE_DURATION: Micros = Micros::from_millis(20_000);

/// The idle time from which connections count as stale, for all servers together.
#[derive(Debug)]
pub(crate) struct StaleConnections {
    /// Connections that were idle for at least this long are not used until `stale_until`.
    min_idle: Micros,
    stale_until: Micros,
    /// Attempts without a response on idle connections, minus those with one.
    stale_evidence: u32,
}

impl StaleConnections {
    /// Creates the state without observations.
    pub fn new() -> StaleConnections {
        StaleConnections {
            min_idle: Micros::MAX,
            stale_until: Micros(0),
            stale_evidence: 0,
        }
    }

    /// Whether a connection that has been idle for this long is probably dead.
    pub fn is_stale(&self, now: Micros, idle: Micros) -> bool {
        idle >= self.min_idle && now < self.stale_until
    }

    /// Records how an attempt ended whose connection had been idle for `idle`. A lost connection is
    /// sufficient evidence. A missing response can have other causes, so several are needed. If a
    /// response had started, the connection was alive and the failure is the server's.
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

/// Whether an attempt was sent on a reused connection that was already dead: it broke sooner than
/// any response could arrive. The server did no work and still has the key cached, so the next
/// attempt, on another connection to the same server, is free. Guards against taking the end of a
/// connection (idle timeout, firewall, restart) for a failure of the server.
pub(crate) fn had_stale_connection(end: &AttemptEnd, typical_latency: Micros) -> bool {
    let is_reused = matches!(end.connection_use, ConnectionUse::Reused(_));
    let is_early = end.elapsed.scaled(2.0) <= typical_latency;
    end.outcome == Outcome::ConnectionLost && !end.response_started && is_reused && is_early
}
