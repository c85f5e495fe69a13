//! Calls to discovery when a watch on the endpoint list is silent, and when calls fail.
//!
//! The policy follows from the discovery mode, the number of routers and the stagger fraction of
//! this router. It sets how long a watch may be silent, the interval of hedged calls, and the
//! delays and duration of fast retries after failed calls.
//!
//! A change that a silent watch misses counts as known to the router 6 s after the silence began;
//! after a new configuration it is 4 s. A discovery service that is polled handles the calls of all
//! routers one after another, and all of them may call at the same time. An agent that pushes lists
//! serves only this router, and its list counts as known immediately, so calls to it are retried
//! without end.

use crate::settings::DiscoveryMode;
use crate::subscription::QUEUED_POLL_WAIT;
use crate::time::Micros;

/// Silence limit that one missing keep-alive line exceeds: discovery sends an empty line every 2 s.
const SHORT_SILENCE_LIMIT: Micros = Micros::from_millis(2_900);
/// Silence limit that two missing keep-alive lines exceed.
const LONG_SILENCE_LIMIT: Micros = Micros::from_millis(4_500);
/// The routers of a large fleet spread their calls over this time.
const LARGE_FLEET_SPREAD: Micros = Micros::from_millis(1_000);
/// The routers of a small fleet call one after another, at this interval.
const SMALL_FLEET_STAGGER: Micros = Micros::from_millis(80);
/// Up to this number of routers a fleet is small: each router has time for two calls before the
/// changes that its watch missed count as known.
pub(crate) const SMALL_FLEET_MAX_ROUTERS: u32 = 20;
/// Interval of hedged calls in a small fleet. If two calls hang, a third one is still in time.
const HEDGED_CALL_INTERVAL: Micros = Micros::from_millis(1_100);
/// Interval of hedged calls to an agent, which normally responds immediately. If one call hangs,
/// the next is still within the drain grace period.
const PUSH_HEDGED_CALL_INTERVAL: Micros = Micros::from_millis(150);

/// Failed calls are retried fast for this long, and then with the delays of the subscription.
const FAST_RETRY_DURATION: Micros = Micros::from_millis(3_500);
/// Delay before the first retry of a call; doubles with each retry.
const FIRST_CALL_RETRY_DELAY: Micros = Micros::from_millis(100);
/// Maximum retry delay in a small fleet. Several calls can be rejected and the next one wait in the
/// queue for 2 s, all within 4 s.
const SMALL_FLEET_MAX_CALL_RETRY_DELAY: Micros = Micros::from_millis(200);
/// Maximum retry delay in a large fleet.
const LARGE_FLEET_MAX_CALL_RETRY_DELAY: Micros = Micros::from_millis(400);
/// Delay before the first retry of a call to an agent; doubles with each retry.
const PUSH_FIRST_CALL_RETRY_DELAY: Micros = Micros::from_millis(10);
/// Maximum retry delay of calls to an agent: well within the drain grace period.
const PUSH_MAX_CALL_RETRY_DELAY: Micros = Micros::from_millis(80);

/// How failed calls to discovery are retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRetryPolicy {
    /// For how long they are retried; `None` for no limit.
    pub duration: Option<Micros>,
    /// Delay before the first retry; doubles with each retry.
    pub first_delay: Micros,
    /// Maximum delay.
    pub max_delay: Micros,
}

/// How a router handles a watch that delivers no data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SilentWatchPolicy {
    /// A watch that delivers no data for this long is silent, and discovery is called.
    pub silence_limit: Micros,
    /// How failed calls are retried.
    pub call_retry: CallRetryPolicy,
    /// Interval of hedged calls while discovery is not known to be overloaded.
    hedged_call_interval: Option<Micros>,
}

impl SilentWatchPolicy {
    /// Creates the policy of one of `routers` routers. `stagger_fraction`, from 0 to 1, spreads the
    /// routers: evenly spaced, or random.
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

    /// The time after which a call that has not returned gets a hedged call; `None` for no hedged
    /// calls. `rejected_after` is how long a call had waited when discovery rejected it, if it
    /// rejected one since its last answer.
    pub fn hedged_call_interval(&self, rejected_after: Option<Micros>) -> Option<Micros> {
        let is_overloaded = rejected_after.is_some_and(|waited| waited >= QUEUED_POLL_WAIT);
        self.hedged_call_interval.filter(|_| !is_overloaded)
    }
}
