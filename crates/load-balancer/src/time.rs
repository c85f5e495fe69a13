//! Instants and durations in whole microseconds.

/// An instant or a duration in whole microseconds. Instants may count from any fixed origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// The longest duration that can be represented.
    pub const MAX: Micros = Micros(u64::MAX);

    /// Creates a duration from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Micros(millis.saturating_mul(1_000))
    }

    /// Creates a duration from seconds, rounded to the nearest microsecond. Negative values and NaN
    /// count as zero.
    pub fn from_secs_f64(secs: f64) -> Self {
        Micros((secs * 1e6).round() as u64)
    }

    /// Converts to seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// `self + other`, at most [`Micros::MAX`].
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// `self - earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Moves this time toward `other` by `1 / parts` of the difference: one step of a moving
    /// average over `parts` samples.
    pub fn toward(self, other: Micros, parts: u64) -> Micros {
        Micros(self.0 - self.0 / parts.max(1) + other.0 / parts.max(1))
    }

    /// Multiplies this time by `factor` and rounds down. Negative factors count as zero.
    pub fn scaled(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}
