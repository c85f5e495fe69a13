//! When does a router subscribe to the endpoint list, and how soon again after a failure?
//!
//! Inputs: updates of the list, the longest time without a poll (µs), a random fraction. Answer: subscribe now,
//! after some time, or not at all. Reason: routers must not poll together, and each must poll well before it counts
//! as told.

use crate::endpoint::EndpointUpdate;
use crate::random::Random;
use crate::time::Micros;

/// The first retry follows within this ratio of the longest time without a poll, doubled by each further failure.
const FIRST_RETRY_RATIO: f64 = 0.05;
/// The ratio at which retries stop growing.
const MAX_RETRY_RATIO: f64 = 0.5;
/// Doublings after which the ratio is past its bound anyway.
const MAX_DOUBLING_COUNT: u32 = 4;

/// What follows from an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubscriptionStep {
    /// The subscription stands.
    None,
    /// Subscribe, unless a call is under way.
    Subscribe,
    /// Subscribe after this time.
    RetryAfter(Micros),
}

/// The subscription of a router to the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct Subscription {
    is_subscribed: bool,
    is_requested: bool,
    consecutive_failures: u32,
}

impl Subscription {
    /// Takes in an update of the list.
    pub fn on_update(
        &mut self,
        update: EndpointUpdate,
        poll_within: Micros,
        random: &mut Random,
    ) -> SubscriptionStep {
        match update {
            EndpointUpdate::Restored => SubscriptionStep::Subscribe,
            EndpointUpdate::WatchLost => {
                let consecutive_failures = self.consecutive_failures.saturating_add(1);
                *self = Subscription {
                    consecutive_failures,
                    ..Subscription::default()
                };
                SubscriptionStep::RetryAfter(self.retry_after(poll_within, random))
            }
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => {
                *self = Subscription {
                    is_subscribed: true,
                    ..Subscription::default()
                };
                SubscriptionStep::None
            }
        }
    }

    /// Exponential backoff with jitter.
    fn retry_after(&self, poll_within: Micros, random: &mut Random) -> Micros {
        let doublings = self.consecutive_failures.min(MAX_DOUBLING_COUNT);
        let ratio = (FIRST_RETRY_RATIO * f64::from(1_u32 << doublings)).min(MAX_RETRY_RATIO);
        let jitter = 0.5 + 0.5 * random.next_fraction();
        poll_within.scaled(ratio * jitter)
    }

    /// Whether to subscribe now: not while subscribed or while a call is under way. Marks the call as under way.
    pub fn request(&mut self) -> bool {
        let is_needed = !self.is_subscribed && !self.is_requested;
        self.is_requested |= is_needed;
        is_needed
    }
}
