//! Did a failed attempt fail at its server or in a fetch from the origin, where the error does not tell?
//!
//! Inputs: how long failed attempts took against the typical latency of hits (µs), the cache mode. Answer: the end
//! of the attempt, marked as a miss where a fetch failed. Reason: what a server fails by itself, it fails sooner
//! than it serves hits; a later failure was a fetch. While many are late, the quick ones are fetches too: a full
//! origin rejects them at once.

use crate::moving_average::MovingAverage;
use crate::request::{AttemptEnd, CacheStatus, Outcome};
use crate::settings::CacheMode;
use crate::time::Micros;

/// Unexplained failures over which the ratio of late ones is averaged.
const LATE_FAILURE_SPAN: f64 = 16.0;
/// The ratio of late failures above which the origin fails: servers' own are seldom late.
const ORIGIN_LATE_FAILURE_RATIO: f64 = 0.2;

/// The ratio of late ones among the unexplained failures.
#[derive(Debug)]
pub(crate) struct FailureAttribution {
    late_failures: MovingAverage,
}

impl FailureAttribution {
    /// Without failures so far.
    pub fn new() -> FailureAttribution {
        FailureAttribution {
            late_failures: MovingAverage::new(0.0, LATE_FAILURE_SPAN),
        }
    }

    /// The ratio of late ones among the unexplained failures.
    pub fn late_failure_ratio(&self) -> f64 {
        self.late_failures.value()
    }

    /// Marks an unexplained failure as a miss if a fetch most likely failed.
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
