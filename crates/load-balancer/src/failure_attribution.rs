//! Attributes a failed attempt to its server or to an origin fetch if the error itself does not say
//! which.
//!
//! The inputs are how long failed attempts took in comparison with the typical latency of hits
//! (µs), and the cache mode. The result is the end of the attempt, marked as a cache miss if a
//! fetch most likely failed.
//!
//! A server that fails a request by itself does so sooner than it serves a hit; a later failure is
//! a failed fetch. While many failures are late, the early ones count as failed fetches too,
//! because an overloaded origin rejects fetches at once.

use crate::moving_average::MovingAverage;
use crate::request::{AttemptEnd, CacheStatus, Outcome};
use crate::settings::CacheMode;
use crate::time::Micros;

/// The number of unexplained failures over which the ratio of late ones is averaged.
const LATE_FAILURE_SPAN: f64 = 16.0;
/// The ratio of late failures above which all unexplained failures are attributed to the origin. A
/// server's own failures are seldom late.
const ORIGIN_LATE_FAILURE_RATIO: f64 = 0.2;

/// Tracks how many of the unexplained failures are late. A failure is unexplained if it carries no
/// cache status.
#[derive(Debug)]
pub(crate) struct FailureAttribution {
    late_failures: MovingAverage,
}

impl FailureAttribution {
    /// Creates the state before the first failure.
    pub fn new() -> FailureAttribution {
        FailureAttribution {
            late_failures: MovingAverage::new(0.0, LATE_FAILURE_SPAN),
        }
    }

    /// The ratio of late failures among the unexplained ones.
    pub fn late_failure_ratio(&self) -> f64 {
        self.late_failures.value()
    }

    /// Marks an unexplained failure as a cache miss if a fetch most likely failed.
    pub fn attribute(
        &mut self,
        end: AttemptEnd,
        mode: CacheMode,
        typical_latency: Micros,
    ) -> AttemptEnd {
        let is_unexplained = end.outcome == Outcome::Failure && end.cache_status.is_none();
        if !is_unexplained || mode != CacheMode::Through {
            return end;
        }
        let is_late = end.elapsed > typical_latency;
        self.late_failures.observe_event(is_late);
        let is_fetch = is_late || self.late_failures.value() > ORIGIN_LATE_FAILURE_RATIO;
        AttemptEnd {
            cache_status: is_fetch.then_some(CacheStatus::Miss),
            ..end
        }
    }
}
