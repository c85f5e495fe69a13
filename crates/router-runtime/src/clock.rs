//! The decision library's clock: monotonic, and set to Unix time at the start, so that the start times which cache
//! servers report compare with it.

use crate::environment::Environment;
use load_balancer::Micros;
use std::time::{Duration, Instant};

/// Translates between instants of the environment and points in time of the decision library.
pub struct Clock<E> {
    environment: E,
    start: Instant,
    unix_start: Micros,
}

impl<E: Environment> Clock<E> {
    /// Starts at the environment's wall-clock time.
    pub fn new(environment: E) -> Self {
        let unix_start = Micros(environment.unix_now().as_micros() as u64);
        Clock {
            start: environment.now(),
            unix_start,
            environment,
        }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.to_micros(self.environment.now())
    }

    /// The point in time of an instant.
    pub fn to_micros(&self, instant: Instant) -> Micros {
        let since_start = instant.saturating_duration_since(self.start);
        self.unix_start.plus(Micros(since_start.as_micros() as u64))
    }

    /// The instant of a point in time.
    pub fn to_instant(&self, at: Micros) -> Instant {
        self.start + to_duration(at.since(self.unix_start))
    }
}

/// A length of time of the decision library.
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time.0)
}
