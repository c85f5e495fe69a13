//! A moving average of latencies and its recent minimum. An average well above the minimum shows a
//! queue.

use crate::time::Micros;

/// The average of latencies and a minimum of that average, which rises slowly. The minimum
/// approximates the latency without a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyBaseline {
    average: Micros,
    minimum: Micros,
    /// The number of samples over which the average is taken.
    average_span: u64,
    /// The number of samples over which the minimum rises toward the average.
    minimum_span: u64,
}

impl LatencyBaseline {
    /// Creates a baseline without samples; the average and the minimum are zero.
    pub const fn new(average_span: u64, minimum_span: u64) -> LatencyBaseline {
        LatencyBaseline {
            average: Micros(0),
            minimum: Micros(0),
            average_span,
            minimum_span,
        }
    }

    /// Records one latency.
    pub fn observe(&mut self, latency: Micros) {
        if self.minimum == Micros(0) {
            self.average = latency;
            self.minimum = latency;
        }
        self.average = self.average.toward(latency, self.average_span);
        let raised_minimum = self.minimum.toward(self.average, self.minimum_span);
        self.minimum = raised_minimum.min(self.average);
    }

    /// The average of the recorded latencies.
    pub const fn average(&self) -> Micros {
        self.average
    }

    /// The minimum multiplied by `ratio`.
    pub fn scaled_minimum(&self, ratio: f64) -> Micros {
        self.minimum.scaled(ratio)
    }
}
