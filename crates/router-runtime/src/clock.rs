//! The decision library's clock. It is monotonic and starts at the Unix time of the process's
//! start, so that it can be compared with the start times of cache servers in the endpoint list.

use crate::environment::Environment;
use load_balancer::Micros;
use std::time::{Duration, Instant};

/// Converts between instants of the environment and times of the decision library.
pub struct Clock<E> {
    environment: E,
    start: Instant,
    unix_start: Micros,
}

impl<E: Environment> Clock<E> {
    /// Creates a clock that starts at the environment's wall-clock time.
    pub fn new(environment: E) -> Self {
        let unix_start = Micros(environment.unix_now().as_micros() as u64);
        Clock {
            start: environment.now(),
            unix_start,
            environment,
        }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.to_micros(self.environment.now())
    }

    /// Converts an instant; instants before the start count as the start.
    pub fn to_micros(&self, instant: Instant) -> Micros {
        let since_start = instant.saturating_duration_since(self.start);
        self.unix_start.plus(Micros(since_start.as_micros() as u64))
    }

    /// Converts a time to an instant; times before the start count as the start.
    pub fn to_instant(&self, at: Micros) -> Instant {
        self.start + to_duration(at.since(self.unix_start))
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
