//! When a router subscribes to the endpoint list, and how long it waits after a failure.
//!
//! The wait follows from the updates of the list, the longest time between polls, the number of
//! routers, and the stagger fraction of this router (random if it has none).
//!
//! Routers must not poll at the same time, but a list counts as known 6 s after discovery has
//! become reachable. The longest wait and the longest call together therefore stay below 6 s, until
//! six consecutive polls have been rejected after a wait in the queue of discovery. Discovery
//! handles polls one after another, including those whose caller has given up, so a poll that was
//! rejected after a wait in the queue is followed by a longer wait than one that failed
//! immediately, and gets no hedged call.

use crate::endpoint::EndpointUpdate;
use crate::random::Random;
use crate::silent_watch::SMALL_FLEET_MAX_ROUTERS;
use crate::time::Micros;

/// Minimum of the first retry delay, as a ratio of the longest time between polls. Each further
/// failure doubles it, and jitter adds up to as much again.
const FIRST_RETRY_RATIO: f64 = 0.05;
/// The ratio at which the retry delay stops growing.
const MAX_RETRY_RATIO: f64 = 0.5;
/// Number of doublings after which the ratio has reached its bound.
const MAX_DOUBLING_COUNT: u32 = 4;
/// Maximum delay after a poll that failed immediately, in a small fleet: several more polls fit
/// into the 6 s.
const SMALL_FLEET_MAX_RETRY_DELAY: Micros = Micros::from_millis(1_000);
/// Maximum delay after a poll that failed immediately, in a large fleet, whose polls have to be
/// spread more.
const LARGE_FLEET_MAX_RETRY_DELAY: Micros = Micros::from_millis(2_000);

/// A poll that is rejected after at least this time has waited in the queue of an overloaded
/// discovery.
pub(crate) const QUEUED_POLL_WAIT: Micros = Micros::from_millis(1_000);
/// Minimum delay after a poll that waited in the queue, as a ratio of the longest time between
/// polls.
const QUEUED_RETRY_RATIO: f64 = 0.29;
/// Upper bound of that minimum delay.
const MAX_QUEUED_RETRY_DELAY: Micros = Micros::from_millis(2_900);
/// The stagger fraction adds up to this ratio of the minimum delay.
const QUEUED_RETRY_SPREAD: f64 = 0.17;
/// After this many consecutive polls that waited in the queue, which takes over half a minute, the
/// routers poll more than discovery can answer and keep it overloaded themselves. Delays below the
/// 6 s would not end that.
const SUSTAINED_OVERLOAD_POLL_COUNT: u32 = 6;
/// Minimum retry delay in sustained overload, as a ratio of the longest time between polls.
const OVERLOAD_RETRY_RATIO: f64 = 0.4;
/// Range over which the retries of all routers are spread beyond that minimum, as a ratio of the
/// same time.
const OVERLOAD_RETRY_SPREAD_RATIO: f64 = 0.8;

/// The next step of the subscription after an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriptionStep {
    /// Nothing: the subscription is active.
    None,
    /// Subscribe, unless a call is in progress.
    Subscribe,
    /// Subscribe after this time.
    RetryAfter(Micros),
}

/// The subscription of a router to the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct Subscription {
    /// Spreads the retries of the routers, from 0 to 1; `None` for a random value each time.
    stagger_fraction: Option<f64>,
    routers: u32,
    is_subscribed: bool,
    is_call_pending: bool,
    consecutive_failures: u32,
    /// Those of the consecutive failures that had waited in the queue of discovery.
    consecutive_queued_polls: u32,
}

impl Subscription {
    /// Creates the subscription of one of `routers` routers before its first poll.
    pub fn new(stagger_fraction: Option<f64>, routers: u32) -> Subscription {
        Subscription {
            stagger_fraction,
            routers,
            ..Subscription::default()
        }
    }

    /// Records an update of the list and returns the next step.
    pub fn on_update(
        &mut self,
        update: EndpointUpdate,
        poll_within: Micros,
        random: &mut Random,
    ) -> SubscriptionStep {
        match update {
            EndpointUpdate::Restored => SubscriptionStep::Subscribe,
            EndpointUpdate::PollRejected { waited } if waited >= QUEUED_POLL_WAIT => {
                self.count_failure();
                self.consecutive_queued_polls = self.consecutive_queued_polls.saturating_add(1);
                SubscriptionStep::RetryAfter(self.queued_retry_delay(poll_within, random))
            }
            EndpointUpdate::WatchLost | EndpointUpdate::PollRejected { .. } => {
                self.count_failure();
                SubscriptionStep::RetryAfter(self.retry_delay(poll_within, random))
            }
            EndpointUpdate::Delta
            | EndpointUpdate::Snapshot
            | EndpointUpdate::SnapshotOfOtherServer => {
                *self = Subscription {
                    is_subscribed: true,
                    ..Subscription::new(self.stagger_fraction, self.routers)
                };
                SubscriptionStep::None
            }
        }
    }

    fn count_failure(&mut self) {
        *self = Subscription {
            consecutive_failures: self.consecutive_failures.saturating_add(1),
            consecutive_queued_polls: self.consecutive_queued_polls,
            ..Subscription::new(self.stagger_fraction, self.routers)
        };
    }

    /// The delay after a poll that was rejected after a wait in the queue. Spread evenly over the
    /// routers, since the polls of all of them may have failed at the same time.
    fn queued_retry_delay(&self, poll_within: Micros, random: &mut Random) -> Micros {
        let stagger_fraction = self
            .stagger_fraction
            .unwrap_or_else(|| random.next_fraction());
        if self.is_overload_sustained() {
            let ratio = OVERLOAD_RETRY_RATIO + OVERLOAD_RETRY_SPREAD_RATIO * stagger_fraction;
            return poll_within.scaled(ratio);
        }
        let shortest = poll_within
            .scaled(QUEUED_RETRY_RATIO)
            .min(MAX_QUEUED_RETRY_DELAY);
        shortest.scaled(1.0 + QUEUED_RETRY_SPREAD * stagger_fraction)
    }

    fn is_overload_sustained(&self) -> bool {
        self.consecutive_queued_polls >= SUSTAINED_OVERLOAD_POLL_COUNT
    }

    /// The delay after a poll that failed immediately: exponential backoff with jitter.
    fn retry_delay(&self, poll_within: Micros, random: &mut Random) -> Micros {
        if self.is_overload_sustained() {
            return self.queued_retry_delay(poll_within, random);
        }
        let doublings = self.consecutive_failures.min(MAX_DOUBLING_COUNT);
        let ratio = (FIRST_RETRY_RATIO * f64::from(1_u32 << doublings)).min(MAX_RETRY_RATIO);
        let jitter = 0.5 + 0.5 * random.next_fraction();
        let longest = poll_within.scaled(ratio).min(self.max_retry_delay());
        longest.scaled(jitter)
    }

    fn max_retry_delay(&self) -> Micros {
        if self.routers > SMALL_FLEET_MAX_ROUTERS {
            LARGE_FLEET_MAX_RETRY_DELAY
        } else {
            SMALL_FLEET_MAX_RETRY_DELAY
        }
    }

    /// Returns whether to subscribe now, and marks the call as pending if so. False while
    /// subscribed or while a call is pending.
    pub fn try_start_call(&mut self) -> bool {
        let is_needed = !self.is_subscribed && !self.is_call_pending;
        self.is_call_pending |= is_needed;
        is_needed
    }
}
