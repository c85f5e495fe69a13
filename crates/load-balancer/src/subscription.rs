//! When does a router subscribe to the endpoint list, and how soon again after a failure?
//!
//! Inputs: updates of the list, the longest time without a poll (µs), this router's place among the others or a random
//! fraction. Answer: subscribe now, after some time, or not at all. Reason: routers must not poll together, and each
//! must poll well before it counts as told. Discovery works polls in turn, also those that it gave up meanwhile: where a
//! poll waited in vain, all routers together have to poll less than it answers, or its queue never becomes short enough
//! for any of them.

use crate::endpoint::EndpointUpdate;
use crate::random::Random;
use crate::time::Micros;

/// The first retry follows within this ratio of the longest time without a poll, doubled by each further failure.
const FIRST_RETRY_RATIO: f64 = 0.05;
/// The ratio at which retries stop growing.
const MAX_RETRY_RATIO: f64 = 0.5;
/// Doublings after which the ratio is past its bound anyway.
const MAX_DOUBLING_COUNT: u32 = 4;

/// A poll that is rejected after this time has waited in the queue of an overloaded discovery.
pub(crate) const QUEUED_POLL_WAIT: Micros = Micros::from_millis(1_000);
/// The first retry after such a poll follows after this ratio of the longest time without a poll at least ...
const QUEUED_RETRY_RATIO: f64 = 0.2;
/// ... and within this ratio more, by the router's place among the others.
const QUEUED_RETRY_SPREAD_RATIO: f64 = 0.4;
/// The wait grows with each such poll, up to this multiple: discovery has time for one poll of each router in between.
const MAX_QUEUED_RETRY_MULTIPLE: u32 = 2;

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
    place: Option<f64>,
    is_subscribed: bool,
    is_requested: bool,
    consecutive_failures: u32,
    /// Those of them that had waited in discovery's queue.
    consecutive_queued_polls: u32,
}

impl Subscription {
    /// Before the first poll; `place` is this router's among the others, from 0 to 1, if it is known.
    pub fn new(place: Option<f64>) -> Subscription {
        Subscription {
            place,
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
                SubscriptionStep::RetryAfter(self.queued_retry_after(poll_within, random))
            }
            EndpointUpdate::WatchLost | EndpointUpdate::PollRejected { .. } => {
                self.count_failure();
                SubscriptionStep::RetryAfter(self.retry_after(poll_within, random))
            }
            EndpointUpdate::Delta | EndpointUpdate::Snapshot => {
                *self = Subscription {
                    is_subscribed: true,
                    ..Subscription::new(self.place)
                };
                SubscriptionStep::None
            }
        }
    }

    fn count_failure(&mut self) {
        *self = Subscription {
            consecutive_failures: self.consecutive_failures.saturating_add(1),
            consecutive_queued_polls: self.consecutive_queued_polls,
            ..Subscription::new(self.place)
        };
    }

    /// The backoff after a poll that waited in vain: evenly apart by router, as all may have failed at once.
    fn queued_retry_after(&self, poll_within: Micros, random: &mut Random) -> Micros {
        let place = self.place.unwrap_or_else(|| random.next_fraction());
        let ratio = QUEUED_RETRY_RATIO + QUEUED_RETRY_SPREAD_RATIO * place;
        let multiple = self.consecutive_queued_polls.min(MAX_QUEUED_RETRY_MULTIPLE);
        poll_within.scaled(ratio * f64::from(multiple))
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
