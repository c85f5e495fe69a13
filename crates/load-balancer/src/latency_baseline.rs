//! A moving average of latencies and its minimum, which tells whether something waits.

use crate::time::Micros;

/// The average of latencies, and the least of it, rising slowly: the latency without a queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyBaseline {
    average: Micros,
    minimum: Micros,
    /// Samples over which the average is taken.
    average_span: u64,
    /// Samples over which the minimum rises.
    minimum_span: u64,
}

impl LatencyBaseline {
    /// Without samples both are zero.
    pub const fn new(average_span: u64, minimum_span: u64) -> LatencyBaseline {
        LatencyBaseline {
            average: Micros(0),
            minimum: Micros(0),
            average_span,
            minimum_span,
        }
    }

    /// Takes one latency in.
    pub fn observe(&mut self, latency: Micros) {
        if self.minimum == Micros(0) {
            self.average = latency;
            self.minimum = latency;
        }
        self.average = self.average.toward(latency, self.average_span);
        let raised_minimum = self.minimum.toward(self.average, self.minimum_span);
        self.minimum = raised_minimum.min(self.average);
    }

    /// The average.
    pub const fn average(&self) -> Micros {
        self.average
    }

    /// A multiple of the minimum.
    pub fn scaled_minimum(&self, ratio: f64) -> Micros {
        self.minimum.scaled(ratio)
    }
}
