//! Timing of the calls that open or replace a watch: while the watch is silent, after a change of
//! the configuration, and in push mode.
//!
//! Calls are made until one is answered: failed ones are retried with an exponential back-off, and
//! while a call is pending another one may be made at a fixed interval. The decision library's
//! [`SilentWatchPolicy`](load_balancer::SilentWatchPolicy) sets the delays and the interval. Where
//! it limits how long calls are repeated, the library's own back-off between subscriptions follows.

use super::watch_set::LostWatch;
use crate::clock::to_duration;
use load_balancer::CallRetryPolicy;
use std::time::{Duration, Instant};

/// Exponential back-off between retries of a failed call.
pub(super) struct RetryBackoff {
    /// No retry is made from this time on; `None`: retries never end.
    give_up_at: Option<Instant>,
    delay: Duration,
    max_delay: Duration,
}

impl RetryBackoff {
    /// Starts the back-off at `now` with its first delay.
    pub fn starting_at(now: Instant, call_retry: CallRetryPolicy) -> RetryBackoff {
        RetryBackoff {
            give_up_at: call_retry
                .duration
                .map(|duration| now + to_duration(duration)),
            delay: to_duration(call_retry.first_delay),
            max_delay: to_duration(call_retry.max_delay),
        }
    }

    /// Time of the next retry after a failed call; `None` if it would come at or after the end of
    /// the retries.
    pub fn next_retry_at(&mut self, now: Instant) -> Option<Instant> {
        let retry_at = now + self.delay;
        self.delay = (self.delay * 2).min(self.max_delay);
        self.give_up_at
            .is_none_or(|give_up_at| retry_at < give_up_at)
            .then_some(retry_at)
    }
}

/// Schedules the calls made while the first one is pending, or those that are to replace a silent
/// watch.
pub(super) struct ReconnectSchedule {
    /// Interval between calls while others are pending; `None`: no further call is made.
    hedged_call_interval: Option<Duration>,
    /// No call is made from this time on; `None`: calls never end.
    give_up_at: Option<Instant>,
    /// Back-off between retries of failed calls; `None` unless a silent watch is to be replaced.
    backoff: Option<RetryBackoff>,
    /// Time of the next call; `None`: no further call is made.
    next_call_at: Option<Instant>,
    /// When the most recent call that discovery rejected was made.
    rejected_call_at: Option<Instant>,
}

impl ReconnectSchedule {
    /// The schedule after the first call for a watch, made at `now`.
    pub fn after_first_call(
        now: Instant,
        hedged_call_interval: Option<Duration>,
        call_retry: CallRetryPolicy,
    ) -> ReconnectSchedule {
        ReconnectSchedule {
            hedged_call_interval,
            give_up_at: call_retry
                .duration
                .map(|duration| now + to_duration(duration)),
            backoff: None,
            next_call_at: hedged_call_interval.map(|interval| now + interval),
            rejected_call_at: None,
        }
    }

    /// The schedule after a watch has fallen silent: the first call is due at once.
    pub fn after_silence(
        now: Instant,
        hedged_call_interval: Option<Duration>,
        call_retry: CallRetryPolicy,
    ) -> ReconnectSchedule {
        ReconnectSchedule {
            backoff: Some(RetryBackoff::starting_at(now, call_retry)),
            next_call_at: Some(now),
            ..ReconnectSchedule::after_first_call(now, hedged_call_interval, call_retry)
        }
    }

    /// Whether the calls are to replace a silent watch.
    pub fn replaces_silent_watch(&self) -> bool {
        self.backoff.is_some()
    }

    /// Time of the next call; `None`: no further call is made.
    pub fn next_call_at(&self) -> Option<Instant> {
        self.next_call_at
    }

    /// When the most recent call that discovery rejected was made.
    pub fn rejected_call_at(&self) -> Option<Instant> {
        self.rejected_call_at
    }

    /// Records a call made at `now` and schedules the next one.
    pub fn record_call(&mut self, now: Instant) {
        let next_call_at = self.hedged_call_interval.map(|interval| now + interval);
        let is_wanted = |at: &Instant| self.give_up_at.is_none_or(|give_up_at| *at < give_up_at);
        self.next_call_at = next_call_at.filter(is_wanted);
    }

    /// Schedules the next call after one has failed or a watch has ended. `hedged_call_interval` is
    /// the new interval while others are pending; `None`: no further call is made.
    pub fn on_loss(
        &mut self,
        now: Instant,
        lost: &LostWatch,
        hedged_call_interval: Option<Duration>,
    ) {
        self.rejected_call_at = lost.rejected_call_at.or(self.rejected_call_at);
        self.hedged_call_interval = hedged_call_interval;
        let Some(interval) = hedged_call_interval else {
            self.next_call_at = None;
            return;
        };
        // If the failed call was pending for the whole interval, another one was made meanwhile.
        let has_hedged_call = lost
            .failed_call_wait(now)
            .is_some_and(|waited| waited >= interval);
        let retry = match &mut self.backoff {
            Some(backoff) if !has_hedged_call => backoff.next_retry_at(now),
            _ => None,
        };
        self.next_call_at = match (self.next_call_at, retry) {
            (Some(next), Some(retry)) => Some(next.min(retry)),
            (next, retry) => next.or(retry),
        };
    }
}
