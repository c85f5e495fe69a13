//! The decision library's clock: monotonic, and independent of the wall clock. The wall clock is read
//! only to be shown in the log and to be stored for other processes.

use crate::environment::Environment;
use load_balancer::{Micros, WallTime};
use std::fmt;
use std::time::{Duration, Instant};

/// The time at which the clock of each process starts. Times that a previous process tells of may lie
/// this far in the past.
const START: Micros = Micros::from_millis(24 * 3_600 * 1_000);

/// Converts between instants of the environment and times of the decision library.
pub struct Clock<E> {
    environment: E,
    start: Instant,
}

/// A moment as the log shows it.
#[derive(Clone, Copy, Debug)]
pub struct LogTime {
    since_start: Micros,
    wall: WallTime,
}

impl fmt::Display for LogTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.since_start.as_secs_f64();
        write!(f, "at {seconds:.6} s, wall clock {}", self.wall)
    }
}

impl<E: Environment> Clock<E> {
    /// Creates a clock that starts now.
    pub fn new(environment: E) -> Self {
        Clock {
            start: environment.now(),
            environment,
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.to_micros(self.environment.now())
    }

    /// The current time for the log: since the start of the clock, and on the wall clock.
    pub fn log_time(&self) -> LogTime {
        LogTime {
            since_start: self.now().since(START),
            wall: self.environment.wall_now(),
        }
    }

    /// Converts an instant; instants before the start count as the start.
    pub fn to_micros(&self, instant: Instant) -> Micros {
        let since_start = instant.saturating_duration_since(self.start);
        START.plus(to_micros(since_start))
    }

    /// Converts a time to an instant; times before the start count as the start.
    pub fn to_instant(&self, at: Micros) -> Instant {
        self.start + to_duration(at.since(START))
    }
}

/// Converts a duration of the decision library.
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}

/// Converts a duration for the decision library.
pub fn to_micros(time: Duration) -> Micros {
    Micros(u64::try_from(time.as_micros()).unwrap_or(u64::MAX))
}
