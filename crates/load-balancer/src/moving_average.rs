//! Exponential moving average of samples.

/// An average that moves toward each sample by `1 / span` of the difference.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    value: f64,
    /// The number of samples over which the average is taken.
    span: f64,
}

impl MovingAverage {
    /// Creates an average that starts at `value` and covers about `span` samples.
    pub const fn new(value: f64, span: f64) -> MovingAverage {
        MovingAverage { value, span }
    }

    /// The current average.
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Restores the average of a previous process.
    pub const fn restore(&mut self, value: f64) {
        self.value = value;
    }

    /// Records one sample.
    pub fn observe(&mut self, sample: f64) {
        self.value += (sample - self.value) / self.span;
    }

    /// Records whether an event happened; the average is then the ratio of samples in which it did.
    pub fn observe_event(&mut self, happened: bool) {
        let sample = if happened { 1.0 } else { 0.0 };
        self.observe(sample);
    }
}
