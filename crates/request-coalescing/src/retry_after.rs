//! Computes when a rejected waiter may send its read again (Retry-After).

use load_balancer::{Micros, RequestId};

/// The shortest Retry-After.
const MIN_RETRY_AFTER: Micros = Micros::from_millis(1);
/// The longest estimate, as a fraction of the maximum: spreading at most doubles it.
const MAX_ESTIMATE_RATIO: f64 = 0.5;
/// 2^32 divided by the golden ratio. Its multiples modulo 2^32 are spread evenly, whatever their
/// count.
const GOLDEN_RATIO_MULTIPLIER: u32 = 0x9E37_79B9;

/// Computes the Retry-After of each rejected waiter.
#[derive(Debug)]
pub(crate) struct RetryAfter {
    /// The longest Retry-After; `None` if none is given.
    pub maximum: Option<Micros>,
}

impl RetryAfter {
    /// The Retry-After for one waiter, between `estimate` and twice that, chosen by its id.
    ///
    /// Consecutive ids are spread evenly over the interval, so that waiters rejected together do
    /// not return together.
    pub fn spread(&self, id: RequestId, estimate: Option<Micros>) -> Option<Micros> {
        let maximum = self.maximum?;
        let shortest = estimate
            .unwrap_or(maximum)
            .min(maximum.scaled(MAX_ESTIMATE_RATIO))
            .max(MIN_RETRY_AFTER);
        let hash = id.0.wrapping_mul(GOLDEN_RATIO_MULTIPLIER);
        let position = f64::from(hash) / f64::from(u32::MAX);
        Some(shortest.scaled(1.0 + position))
    }
}
