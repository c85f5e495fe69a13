//! When does a router subscribe to the endpoint list, and how soon again after a failure?
//!
//! Inputs: updates of the list, the longest time without a poll (µs), the number of routers, this router's place among
//! them or a random fraction. Answer: subscribe now, after some time, or not at all. Reason: routers must not poll
//! together, but what discovery has counts as known 6 s after it can be reached: the longest wait and the longest call
//! together stay below that, until six polls on end have waited in vain. Discovery works polls in turn, also those that it gave up
//! meanwhile: a poll that waited in vain is followed by a longer wait than one that failed at once, and by no other beside it.

use crate::endpoint::EndpointUpdate;
use crate::random::Random;
use crate::silent_watch::SMALL_FLEET_MAX_ROUTERS;
use crate::time::Micros;

/// The first retry follows within this ratio of the longest time without a poll, doubled by each further failure.
const FIRST_RETRY_RATIO: f64 = 0.05;
/// The ratio at which retries stop growing.
const MAX_RETRY_RATIO: f64 = 0.5;
/// Doublings after which the ratio is past its bound anyway.
const MAX_DOUBLING_COUNT: u32 = 4;
/// The longest wait after a poll that failed at once, in a small fleet: time for several more within the 6 s.
const SMALL_FLEET_MAX_RETRY_DELAY: Micros = Micros::from_millis(1_000);
/// The same in a large fleet, whose polls are to be apart.
const LARGE_FLEET_MAX_RETRY_DELAY: Micros = Micros::from_millis(2_000);

/// A poll that is rejected after this time has waited in the queue of an overloaded discovery.
pub(crate) const QUEUED_POLL_WAIT: Micros = Micros::from_millis(1_000);
/// The retry after such a poll follows after this ratio of the longest time without a poll at least, ...
const QUEUED_RETRY_RATIO: f64 = 0.29;
/// ... this time at the longest, ...
const MAX_QUEUED_RETRY_DELAY: Micros = Micros::from_millis(2_900);
/// ... and within this part of it more, by the router's place among the others.
const QUEUED_RETRY_SPREAD: f64 = 0.17;
/// After so many such polls on end, over half a minute, the routers' own polls keep discovery overloaded: more than it
/// answers. No wait below the 6 s ends that.
const SUSTAINED_OVERLOAD_POLL_COUNT: u32 = 6;
/// From then on the retries of all routers spread from this ratio of the longest time without a poll ...
const OVERLOAD_RETRY_RATIO: f64 = 0.4;
/// ... over this ratio more.
const OVERLOAD_RETRY_SPREAD_RATIO: f64 = 0.8;

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
    /// This router's place among the others, from 0 to 1; `None`: by chance.
    stagger_fraction: Option<f64>,
    routers: u32,
    is_subscribed: bool,
    is_call_pending: bool,
    consecutive_failures: u32,
    /// Those of them that had waited in discovery's queue.
    consecutive_queued_polls: u32,
}

impl Subscription {
    /// Before the first poll of one of `routers` routers; `stagger_fraction` is this one's among them, from 0 to 1, if it is known.
    pub fn new(stagger_fraction: Option<f64>, routers: u32) -> Subscription {
        Subscription {
            stagger_fraction,
            routers,
            ..Subscription::default()
        }
    }

    /// Takes in an update of the list.
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
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => {
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

    /// The wait after a poll that waited in vain: evenly apart by router, as all may have failed at once.
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

    /// Exponential backoff with jitter.
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

    /// Whether to subscribe now: not while subscribed or while a call is under way. Marks the call as under way.
    pub fn try_start_call(&mut self) -> bool {
        let is_needed = !self.is_subscribed && !self.is_call_pending;
        self.is_call_pending |= is_needed;
        is_needed
    }
}
