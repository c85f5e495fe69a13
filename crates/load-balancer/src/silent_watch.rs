//! When does a watch on the endpoint list count as silent, and is discovery called beside a call that waits?
//!
//! Inputs: how the list comes, how many routers there are, this router's place among them (0 to 1). Answer: the longest
//! time without data (µs), and the interval between calls. Reason: what a silent watch misses counts as known 6 s after
//! the silence began, but discovery that is asked works calls of all routers in turn: all watches may fall silent at once.

use crate::settings::DiscoveryMode;
use crate::subscription::QUEUED_POLL_WAIT;
use crate::time::Micros;

/// Discovery sends an empty line every 2 s: the silence misses one.
const SHORT_SILENCE: Micros = Micros::from_millis(2_900);
/// The silence misses two of those lines.
const LONG_SILENCE: Micros = Micros::from_millis(4_500);
/// The routers of a large fleet call within this time of one another.
const LARGE_FLEET_SPREAD: Micros = Micros::from_millis(1_000);
/// The routers of a small fleet call in turn, this far apart.
const SMALL_FLEET_STEP: Micros = Micros::from_millis(80);
/// A fleet of so many routers is small: two calls of each fit in before what the watches missed counts as known.
pub(crate) const SMALL_FLEET_COUNT: u32 = 20;
/// Between calls beside those that wait. Two that hang leave time for a third.
const CALL_INTERVAL: Micros = Micros::from_millis(1_100);

/// How a router treats a watch that brings no data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentWatchPolicy {
    /// A watch without data for this long is silent: discovery is called.
    pub silence_limit: Micros,
    /// Between calls beside those that wait, while discovery is not known to be overloaded.
    call_interval: Option<Micros>,
}

impl SilentWatchPolicy {
    /// The policy of one of `routers` routers; `place` is from 0 to 1, evenly apart or by chance.
    pub fn new(mode: DiscoveryMode, routers: u32, place: f64) -> SilentWatchPolicy {
        if mode == DiscoveryMode::Push {
            return SilentWatchPolicy {
                silence_limit: SHORT_SILENCE,
                call_interval: Some(CALL_INTERVAL),
            };
        }
        if routers > SMALL_FLEET_COUNT {
            return SilentWatchPolicy {
                silence_limit: LONG_SILENCE.plus(LARGE_FLEET_SPREAD.scaled(place)),
                call_interval: None,
            };
        }
        let spread = SMALL_FLEET_STEP.scaled(f64::from(routers.max(1)));
        SilentWatchPolicy {
            silence_limit: SHORT_SILENCE.plus(spread.scaled(place)),
            call_interval: Some(CALL_INTERVAL),
        }
    }

    /// Beside a call without an answer for this long another one is made; `None`: one call and no other.
    /// `rejected_after`: how long a call waited before discovery turned it away, since it answered last.
    pub fn call_interval(&self, rejected_after: Option<Micros>) -> Option<Micros> {
        let is_overloaded = rejected_after.is_some_and(|waited| waited >= QUEUED_POLL_WAIT);
        self.call_interval.filter(|_| !is_overloaded)
    }
}
