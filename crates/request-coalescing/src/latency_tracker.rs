//! Tracks how long the flights of one class take, and from which age a flight counts as hung.

use load_balancer::Micros;

/// The number of latencies kept. Most are cache hits: the window is wide enough to hold some
/// misses, so that a miss does not count as hung.
const WINDOW_COUNT: usize = 256;
/// The number of latencies before the first estimate, and between two estimates: sorting
/// occasionally costs less than an ordered tree.
const ESTIMATE_INTERVAL_COUNT: usize = 8;
/// A flight hangs if it is older than this multiple of the second-longest latency.
const HUNG_RATIO: f64 = 2.0;
/// The lowest age at which a flight counts as hung: shorter delays come from scheduling.
const HUNG_AFTER_MINIMUM: Micros = Micros::from_millis(10);
/// The number of flights over which the share of hung ones is averaged.
const HUNG_SHARE_SPAN_COUNT: f64 = 32.0;
/// Above this share of hung flights, the class as a whole is slow, and replacing flights would only
/// add load.
const SLOW_CLASS_SHARE: f64 = 0.1;

/// Estimates from one class's latencies.
#[derive(Clone, Copy, Debug)]
struct Estimate {
    /// The median.
    median: Micros,
    /// The second longest, as the longest may itself be that of a hung flight.
    second_longest: Micros,
}

/// Tracks the latencies of one request class.
#[derive(Debug)]
pub struct LatencyTracker {
    /// The latest latencies, up to [`LatencyTracker::WINDOW_COUNT`]; a ring buffer once full.
    window: Vec<Micros>,
    /// The number of latencies recorded so far.
    recorded: usize,
    /// `None` until enough latencies are recorded.
    estimate: Option<Estimate>,
    /// The share of flights that hung and ended unserved, exponentially smoothed.
    hung_share: f64,
    latency_objective: Micros,
}

impl LatencyTracker {
    /// The maximum number of latencies in an estimate.
    pub const WINDOW_COUNT: usize = WINDOW_COUNT;
    /// The number of latencies before the first estimate.
    pub const FIRST_ESTIMATE_COUNT: usize = ESTIMATE_INTERVAL_COUNT;
    /// The lowest result of [`LatencyTracker::hung_after`] once there is an estimate.
    pub const HUNG_AFTER_MINIMUM: Micros = HUNG_AFTER_MINIMUM;

    /// Creates a tracker without latencies. Until there are enough, a flight counts as hung past
    /// the class's latency objective.
    pub fn new(latency_objective: Micros) -> LatencyTracker {
        LatencyTracker {
            window: Vec::new(),
            recorded: 0,
            estimate: None,
            hung_share: 0.0,
            latency_objective,
        }
    }

    /// Records the latency of a served flight.
    pub fn record_served(&mut self, latency: Micros) {
        self.hung_share -= self.hung_share / HUNG_SHARE_SPAN_COUNT;
        if self.window.len() < WINDOW_COUNT {
            self.window.push(latency);
        } else {
            self.window[self.recorded % WINDOW_COUNT] = latency;
        }
        self.recorded = self.recorded.wrapping_add(1);
        if self.window.len() >= ESTIMATE_INTERVAL_COUNT
            && self.recorded.is_multiple_of(ESTIMATE_INTERVAL_COUNT)
        {
            self.update_estimate();
        }
    }

    /// Records the age of a flight that ended unserved; it counts only if the flight hung.
    pub fn record_unserved(&mut self, age: Micros) {
        if age > self.hung_after() {
            self.hung_share += (1.0 - self.hung_share) / HUNG_SHARE_SPAN_COUNT;
        }
    }

    /// The age past which a flight counts as hung.
    pub fn hung_after(&self) -> Micros {
        self.estimate
            .map_or(self.latency_objective, |estimate| {
                estimate.second_longest.scaled(HUNG_RATIO)
            })
            .max(HUNG_AFTER_MINIMUM)
    }

    /// Whether so many flights hang that the class as a whole is slow.
    pub fn is_slow(&self) -> bool {
        self.hung_share > SLOW_CLASS_SHARE
    }

    /// The median latency; `None` until there is an estimate.
    pub fn median(&self) -> Option<Micros> {
        self.estimate.map(|estimate| estimate.median)
    }

    fn update_estimate(&mut self) {
        let mut sorted = self.window.clone();
        sorted.sort_unstable();
        self.estimate = Some(Estimate {
            median: sorted[sorted.len() / 2],
            second_longest: sorted[sorted.len() - 2],
        });
    }
}
