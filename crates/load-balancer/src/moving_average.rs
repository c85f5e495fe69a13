//! Exponential moving average of samples.

/// An average that moves toward each sample by one part in `span` of their difference.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MovingAverage {
    value: f64,
    /// Samples over which it averages.
    span: f64,
}

impl MovingAverage {
    /// Starts at `value`; averages over about `span` samples.
    pub const fn new(value: f64, span: f64) -> MovingAverage {
        MovingAverage { value, span }
    }

    /// The average so far.
    pub const fn value(&self) -> f64 {
        self.value
    }

    /// Replaces the average, as stored by another process.
    pub const fn restore(&mut self, value: f64) {
        self.value = value;
    }

    /// Takes one sample in.
    pub fn observe(&mut self, sample: f64) {
        self.value += (sample - self.value) / self.span;
    }

    /// Takes in whether something happened: the average is then its share, 0 to 1.
    pub fn observe_event(&mut self, happened: bool) {
        let sample = if happened { 1.0 } else { 0.0 };
        self.observe(sample);
    }
}
