//! Instants and lengths of time in whole microseconds.

/// An instant or a length of time, in whole microseconds. Instants count from any fixed origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The longest time that can be stated.
    pub const MAX: Micros = Micros(u64::MAX);

    /// Whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis.saturating_mul(1_000))
    }

    /// Seconds, rounded to the nearest microsecond; negative and not-a-number count as zero.
    pub fn from_secs_f64(secs: f64) -> Self {
        Micros((secs * 1e6).round() as u64)
    }

    /// The same in seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// `self + other`, at most [`Micros::MAX`].
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// `self - earlier`, zero when `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// This time moved by one part in `parts` toward `other`: one step of a moving average over `parts` samples.
    pub fn toward(self, other: Micros, parts: u64) -> Micros {
        Micros(self.0 - self.0 / parts.max(1) + other.0 / parts.max(1))
    }

    /// A multiple of this time, rounded down; negative factors count as zero.
    pub fn scaled(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}
