//! Limits how many requests one router may have in flight at one server.
//!
//! The inputs are the server's answers (slow or not), its rejections, and the time (µs). The result
//! is a limit in requests. A limit below one is a pace, which allows one request per interval.
//!
//! Quick answers raise the limit slowly while it is in use, and slow answers reduce it (additive
//! increase, bounded decrease). Observations lose weight with age, because a router that seldom
//! sends to a server would otherwise take one late answer for the server's current state. A pace
//! accumulates unused allowance, because with a strict interval between requests that arrive at
//! random every gap would be lost.

use crate::time::Micros;

/// How much one slow answer takes off a limit, in requests; off a limit below one, as a ratio of
/// the limit.
pub(crate) const LIMIT_DECREASE_RATIO: f64 = 0.5;
/// The ratio of slow answers at which a limit stays the same. Some requests are expensive without
/// any fault of the server.
const TOLERATED_SLOW_RATIO: f64 = 0.1;
/// The time constant with which observations lose weight.
const OBSERVATION_DECAY_TIME: Micros = Micros::from_millis(30_000);
/// Observations, weighted by age, that make a limit reliable.
const RELIABLE_OBSERVATION_COUNT: f64 = 3.0;
/// Requests for which a pace may accumulate allowance, and by which the highest priority may run
/// ahead of the pace.
const PACE_BURST_COUNT: f64 = 3.0;
/// Requests in flight to one server that all routers together may have initially.
pub(crate) const INITIAL_TOTAL_IN_FLIGHT: f64 = 16.0;
/// An answer that takes longer than this ratio of the latency objective is slow, because
/// requests that wait any longer are answered late.
pub(crate) const SLOW_RATIO: f64 = 0.5;

/// The adaptive concurrency limit of one router for one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub in_flight: u32,
    /// The limit as of `observed_at`, in requests.
    pub limit: f64,
    /// The limit without observations, toward which it returns as observations age.
    pub initial: f64,
    /// The number of observations, weighted by age, as of `observed_at`.
    decayed_observations: f64,
    observed_at: Micros,
    /// Whether the latest observation is a rejection by the server itself. It does not lose weight
    /// with age; it holds until the server answers otherwise.
    was_rejected_by_server: bool,
    /// The time up to which the allowance of the pace is used up.
    pace_used_until: Micros,
    last_sent_at: Micros,
}

impl ConcurrencyLimit {
    /// Creates a limit without observations and with this many requests in flight.
    pub fn new(in_flight: u32, initial: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight,
            limit: initial,
            initial,
            ..ConcurrencyLimit::default()
        }
    }

    /// Whether one more request may be sent now. `random_fraction` in [0, 1) admits only a part of
    /// the requests while the limit is below one.
    pub fn has_capacity(&self, multiplier: f64, random_fraction: f64) -> bool {
        let limit = self.limit * multiplier;
        let max_in_flight = if self.limit < 1.0 {
            self.initial
        } else {
            limit
        };
        f64::from(self.in_flight) < max_in_flight && random_fraction < limit
    }

    /// The weight that the observations still have at their age, 0 to 1.
    fn decay_factor(&self, now: Micros) -> f64 {
        if self.was_rejected_by_server {
            return 1.0;
        }
        let age = now.since(self.observed_at);
        (-age.as_secs_f64() / OBSERVATION_DECAY_TIME.as_secs_f64()).exp()
    }

    /// The limit now: the geometric mean of the observed and the initial limit, by the weight that
    /// the observations still have.
    pub fn current(&self, now: Micros) -> f64 {
        self.initial * (self.limit / self.initial).powf(self.decay_factor(now))
    }

    /// Whether the limit is based on enough observations. Requests in flight count as observations,
    /// and a rejection by the server suffices.
    pub fn is_reliable(&self, now: Micros) -> bool {
        if self.was_rejected_by_server {
            return true;
        }
        let observations = self.decayed_observations * self.decay_factor(now);
        observations + f64::from(self.in_flight) >= RELIABLE_OBSERVATION_COUNT
    }

    /// Restores the limit of a previous process as if it had been observed now.
    pub fn restore(&mut self, now: Micros, limit: f64) {
        self.limit = limit;
        self.decayed_observations = 1.0;
        self.observed_at = now;
        self.was_rejected_by_server = false;
    }

    /// Adjusts the limit to an answer, slow or not. The limit does not fall below `minimum`.
    pub fn record_answer(&mut self, now: Micros, is_slow: bool, minimum: f64) {
        self.limit = self.current(now);
        self.decayed_observations = self.decayed_observations * self.decay_factor(now) + 1.0;
        self.was_rejected_by_server = false;
        self.observed_at = now;
        if is_slow {
            self.decrease(minimum);
        } else if f64::from(self.in_flight + 1) * 2.0 >= self.limit {
            self.limit +=
                LIMIT_DECREASE_RATIO * TOLERATED_SLOW_RATIO / (1.0 - TOLERATED_SLOW_RATIO);
        } else if self.limit > self.initial {
            self.limit -= LIMIT_DECREASE_RATIO * TOLERATED_SLOW_RATIO;
        }
    }

    fn decrease(&mut self, minimum: f64) {
        let decreased = self.limit - LIMIT_DECREASE_RATIO * self.limit.min(1.0);
        self.limit = decreased.max(minimum.min(self.limit));
        // The accumulated allowance is dropped: it was granted while the server was healthy.
        self.pace_used_until = self.pace_used_until.max(self.last_sent_at);
    }

    /// Adjusts the limit to a rejection by the server.
    pub fn record_rejection(&mut self, now: Micros, minimum: f64) {
        self.record_answer(now, true, minimum);
        self.was_rejected_by_server = true;
    }

    /// Whether one more request may be sent at a pace of one per `interval`. `rank` is its priority
    /// among recent requests, 0 (lowest) to 1. A request of high rank may run ahead of the pace;
    /// one of low rank needs accumulated allowance.
    pub fn may_send_at_pace(&self, now: Micros, interval: Micros, rank: f64) -> bool {
        let burst_allowance = PACE_BURST_COUNT * (2.0 * rank - 1.0);
        let needed = interval.scaled((1.0 - burst_allowance).max(0.0));
        let borrowed = interval.scaled((burst_allowance - 1.0).max(0.0));
        self.pace_used_until.plus(needed) <= now.plus(borrowed)
    }

    /// Records that a request was sent at a pace of one per `interval`; 0 if requests are not
    /// paced.
    pub fn record_send(&mut self, now: Micros, interval: Micros) {
        self.in_flight += 1;
        self.last_sent_at = now;
        self.pace_used_until = if interval == Micros(0) {
            now
        } else {
            let earliest = Micros(
                now.0
                    .saturating_sub(interval.scaled(PACE_BURST_COUNT + 1.0).0),
            );
            self.pace_used_until.max(earliest).plus(interval)
        };
    }

    /// Records that a request is no longer in flight.
    pub fn record_end(&mut self) {
        self.in_flight -= 1;
    }
}
