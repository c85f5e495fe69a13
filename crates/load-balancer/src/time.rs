//! Times. [`Micros`] are instants of this process and durations; [`WallTime`] is a time on a wall
//! clock. The two cannot be converted into each other, compared or subtracted.

use std::fmt;

/// A time on the wall clock of some machine, in microseconds since the Unix epoch; 0 if it is unknown.
///
/// Wall clocks differ between machines and are stepped, so the type has neither an order nor a
/// difference. Equal times identify the same event, such as the start of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct WallTime(u64);

impl WallTime {
    /// A time that is not known.
    pub const UNKNOWN: WallTime = WallTime(0);

    /// Creates a time from microseconds since the Unix epoch.
    pub const fn from_unix_micros(micros: u64) -> WallTime {
        WallTime(micros)
    }

    /// Creates a time from milliseconds since the Unix epoch.
    pub const fn from_unix_millis(millis: u64) -> WallTime {
        WallTime(millis.saturating_mul(1_000))
    }

    /// Microseconds since the Unix epoch, for stored forms.
    pub const fn unix_micros(self) -> u64 {
        self.0
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}

/// An instant of this process or a duration, in whole microseconds. Instants count from a fixed origin
/// and are monotonic. Zero is before the start of the process; it stands for long ago or never.
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
