//! How many requests may one router have in flight at one server?
//!
//! Inputs: answers of the server (slow or not), rejections by it, the time (µs). Answer: a limit in requests; below
//! one it is a pace, one request in so much time. Reason: quick answers raise the limit a little while it is in
//! use, slow ones cut it (additive increase, bounded decrease). Observations age: a router that seldom sees a
//! server would otherwise take one late answer for the server's state. A pace saves up what was not used, since a
//! strict gap between random arrivals loses every pause.

use crate::time::Micros;

/// How much one slow answer takes off a limit, in requests; below one, as a ratio of the limit.
pub(crate) const LIMIT_DECREASE_RATIO: f64 = 0.5;
/// Ratio of slow answers at which a limit rests: some requests are heavy without any fault of the server.
const TOLERATED_SLOW_RATIO: f64 = 0.1;
/// Time constant with which observations fade.
const OBSERVATION_DECAY_TIME: Micros = Micros::from_millis(30_000);
/// Observations, less what their age takes off, that make the limit well founded.
const RELIABLE_OBSERVATION_COUNT: f64 = 3.0;
/// Requests that a pace may save up, and that the highest priority may draw ahead.
const PACE_BURST_COUNT: f64 = 3.0;
/// Requests in flight to one server that all routers together start with.
pub(crate) const INITIAL_TOTAL_IN_FLIGHT: f64 = 16.0;
/// An answer that takes longer than this ratio of the latency objective is slow: what waits longer is late.
pub(crate) const SLOW_RATIO: f64 = 0.5;

/// An adaptive concurrency limit for one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    pub in_flight: u32,
    /// The limit as of `observed_at`, in requests.
    pub limit: f64,
    /// Where the limit starts, and drifts back to as observations age.
    pub initial: f64,
    /// Observations, each less what its age took off, as of `observed_at`.
    decayed_observations: f64,
    observed_at: Micros,
    /// The server itself rejected requests: that holds until it answers otherwise.
    was_rejected_by_server: bool,
    /// Up to when the allowance of a pace is used.
    pace_used_until: Micros,
    /// When the last request was sent.
    last_sent_at: Micros,
}

impl ConcurrencyLimit {
    /// A limit without observations, with so many requests already in flight.
    pub fn new(in_flight: u32, initial: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            in_flight,
            limit: initial,
            initial,
            ..ConcurrencyLimit::default()
        }
    }

    /// Whether one more request fits now. `random_fraction` in [0, 1) lets a part of them through while the limit is below
    /// one.
    pub fn has_capacity(&self, multiplier: f64, random_fraction: f64) -> bool {
        let limit = self.limit * multiplier;
        let max_in_flight = if self.limit < 1.0 {
            self.initial
        } else {
            limit
        };
        f64::from(self.in_flight) < max_in_flight && random_fraction < limit
    }

    /// What age has left of the observations, 0 to 1.
    fn decay_factor(&self, now: Micros) -> f64 {
        if self.was_rejected_by_server {
            return 1.0;
        }
        let age = now.since(self.observed_at);
        (-age.as_secs_f64() / OBSERVATION_DECAY_TIME.as_secs_f64()).exp()
    }

    /// The limit now: observed by the weight that is left, initial for the rest.
    pub fn current(&self, now: Micros) -> f64 {
        self.initial * (self.limit / self.initial).powf(self.decay_factor(now))
    }

    /// Whether the limit rests on enough observations. Requests in flight count as such, and so does the server's
    /// own rejection.
    pub fn is_reliable(&self, now: Micros) -> bool {
        if self.was_rejected_by_server {
            return true;
        }
        let observations = self.decayed_observations * self.decay_factor(now);
        observations + f64::from(self.in_flight) >= RELIABLE_OBSERVATION_COUNT
    }

    /// Takes over the limit of a previous process as if it had been observed now.
    pub fn restore(&mut self, now: Micros, limit: f64) {
        self.limit = limit;
        self.decayed_observations = 1.0;
        self.observed_at = now;
        self.was_rejected_by_server = false;
    }

    /// Adjusts the limit to an answer, slow or not; it falls no lower than `minimum`.
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
        // The allowance was saved up for a server that was well.
        self.pace_used_until = self.pace_used_until.max(self.last_sent_at);
    }

    /// Adjusts the limit to a rejection by the server.
    pub fn record_rejection(&mut self, now: Micros, minimum: f64) {
        self.record_answer(now, true, minimum);
        self.was_rejected_by_server = true;
    }

    /// Whether one more request may be sent at a pace of one every `interval`. `rank` is its priority among recent
    /// requests, 0 (lowest) to 1: a high one draws ahead of the pace, a low one waits for saved allowance.
    pub fn may_send_at_pace(&self, now: Micros, interval: Micros, rank: f64) -> bool {
        let burst_allowance = PACE_BURST_COUNT * (2.0 * rank - 1.0);
        let needed = interval.scaled((1.0 - burst_allowance).max(0.0));
        let borrowed = interval.scaled((burst_allowance - 1.0).max(0.0));
        self.pace_used_until.plus(needed) <= now.plus(borrowed)
    }

    /// Records a request sent at a pace of one every `interval`; 0 where no pace holds.
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
