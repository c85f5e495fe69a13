//! When does a watch on the endpoint list count as silent, is discovery called beside a call that waits, and how soon
//! is a call repeated that failed?
//!
//! Inputs: how the list comes, how many routers there are, this router's stagger fraction (0 to 1). Answer: the longest
//! time without data (µs), the interval between calls, the pauses between repeated ones and for how long they are
//! repeated so. Reason: what a silent watch misses counts as known 6 s after the silence began, what follows a new
//! configuration 4 s after it, but discovery that is asked works calls of all routers in turn: all may call at once. An
//! agent that pushes lists is this router's alone, and what it has counts as known at once: it is called without end.

use crate::settings::DiscoveryMode;
use crate::subscription::QUEUED_POLL_WAIT;
use crate::time::Micros;

/// Discovery sends an empty line every 2 s: the silence misses one.
const SHORT_SILENCE_LIMIT: Micros = Micros::from_millis(2_900);
/// The silence misses two of those lines.
const LONG_SILENCE_LIMIT: Micros = Micros::from_millis(4_500);
/// The routers of a large fleet call within this time of one another.
const LARGE_FLEET_SPREAD: Micros = Micros::from_millis(1_000);
/// The routers of a small fleet call in turn, this far apart.
const SMALL_FLEET_STAGGER: Micros = Micros::from_millis(80);
/// A fleet of so many routers is small: two calls of each fit in before what the watches missed counts as known.
pub(crate) const SMALL_FLEET_MAX_ROUTERS: u32 = 20;
/// Between calls beside those that wait. Two that hang leave time for a third.
const HEDGED_CALL_INTERVAL: Micros = Micros::from_millis(1_100);
/// The same for an agent, which answers at once: one that hangs leaves time for another within the grace of a drain.
const PUSH_HEDGED_CALL_INTERVAL: Micros = Micros::from_millis(150);

/// Calls of discovery are repeated fast for this long; the waits of the subscription follow.
const FAST_RETRY_DURATION: Micros = Micros::from_millis(3_500);
/// The pause before the first repeated call; it doubles with each.
const FIRST_CALL_RETRY_DELAY: Micros = Micros::from_millis(100);
/// The longest pause in a small fleet: a call may be turned away several times and wait for 2 s then, all within 4 s.
const SMALL_FLEET_MAX_CALL_RETRY_DELAY: Micros = Micros::from_millis(200);
/// The longest pause in a large fleet.
const LARGE_FLEET_MAX_CALL_RETRY_DELAY: Micros = Micros::from_millis(400);
/// The pause before an agent is called again; it doubles with each call.
const PUSH_FIRST_CALL_RETRY_DELAY: Micros = Micros::from_millis(10);
/// The longest pause where an agent pushes lists: well within the grace of a drain.
const PUSH_MAX_CALL_RETRY_DELAY: Micros = Micros::from_millis(80);

/// How calls are repeated that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRetryPolicy {
    /// For how long they are repeated; `None`: without end.
    pub duration: Option<Micros>,
    /// The pause before the first one; it doubles with each.
    pub first_delay: Micros,
    /// The longest pause.
    pub max_delay: Micros,
}

/// How a router treats a watch that brings no data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentWatchPolicy {
    /// A watch without data for this long is silent: discovery is called.
    pub silence_limit: Micros,
    /// How calls are repeated that failed.
    pub call_retry: CallRetryPolicy,
    /// Between calls beside those that wait, while discovery is not known to be overloaded.
    hedged_call_interval: Option<Micros>,
}

impl SilentWatchPolicy {
    /// The policy of one of `routers` routers; `stagger_fraction` is from 0 to 1, evenly apart or by chance.
    pub fn new(mode: DiscoveryMode, routers: u32, stagger_fraction: f64) -> SilentWatchPolicy {
        if mode == DiscoveryMode::Push {
            return SilentWatchPolicy {
                silence_limit: SHORT_SILENCE_LIMIT,
                call_retry: CallRetryPolicy {
                    duration: None,
                    first_delay: PUSH_FIRST_CALL_RETRY_DELAY,
                    max_delay: PUSH_MAX_CALL_RETRY_DELAY,
                },
                hedged_call_interval: Some(PUSH_HEDGED_CALL_INTERVAL),
            };
        }
        let bounded_retry = |max_delay| CallRetryPolicy {
            duration: Some(FAST_RETRY_DURATION),
            first_delay: FIRST_CALL_RETRY_DELAY,
            max_delay,
        };
        if routers > SMALL_FLEET_MAX_ROUTERS {
            return SilentWatchPolicy {
                silence_limit: LONG_SILENCE_LIMIT.plus(LARGE_FLEET_SPREAD.scaled(stagger_fraction)),
                call_retry: bounded_retry(LARGE_FLEET_MAX_CALL_RETRY_DELAY),
                hedged_call_interval: None,
            };
        }
        let spread = SMALL_FLEET_STAGGER.scaled(f64::from(routers.max(1)));
        SilentWatchPolicy {
            silence_limit: SHORT_SILENCE_LIMIT.plus(spread.scaled(stagger_fraction)),
            call_retry: bounded_retry(SMALL_FLEET_MAX_CALL_RETRY_DELAY),
            hedged_call_interval: Some(HEDGED_CALL_INTERVAL),
        }
    }

    /// Beside a call without an answer for this long another one is made; `None`: one call and no other.
    /// `rejected_after`: how long a call waited before discovery turned it away, since it answered last.
    pub fn hedged_call_interval(&self, rejected_after: Option<Micros>) -> Option<Micros> {
        let is_overloaded = rejected_after.is_some_and(|waited| waited >= QUEUED_POLL_WAIT);
        self.hedged_call_interval.filter(|_| !is_overloaded)
    }
}
