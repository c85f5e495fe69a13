//! When to call discovery while a watch is silent, after a new configuration, and where an agent pushes lists.
//!
//! Calls are made until one is answered, at an interval beside those that wait, or once alone, and repeated after pauses,
//! as the decision library's policy of silent watches says; its back-off follows where the repeats have an end.

use super::watch_set::LostWatch;
use crate::clock::to_duration;
use load_balancer::RepeatedCalls;
use std::time::{Duration, Instant};

/// Calls that failed, repeated fast.
pub(super) struct RetryBackoff {
    /// `None`: without end.
    give_up_at: Option<Instant>,
    pause: Duration,
    max_pause: Duration,
}

impl RetryBackoff {
    /// The calls that follow from now on.
    pub fn starting_at(now: Instant, calls: RepeatedCalls) -> RetryBackoff {
        RetryBackoff {
            give_up_at: calls.lasts.map(|lasts| now + to_duration(lasts)),
            pause: to_duration(calls.first_pause),
            max_pause: to_duration(calls.max_pause),
        }
    }

    /// When to call again after a failed call; `None` once their time is over.
    pub fn next(&mut self, now: Instant) -> Option<Instant> {
        let at = now + self.pause;
        self.pause = (self.pause * 2).min(self.max_pause);
        self.give_up_at
            .is_none_or(|give_up_at| at < give_up_at)
            .then_some(at)
    }
}

/// The calls beside one that waits for its answer, or that are to replace a silent watch.
pub(super) struct ReconnectSchedule {
    /// Between calls beside those that wait; `None`: one call is made and no other.
    call_interval: Option<Duration>,
    /// No more calls are made from then on; `None`: without end.
    give_up_at: Option<Instant>,
    /// Failed calls are repeated; `None` while no watch is silent.
    backoff: Option<RetryBackoff>,
    /// When the next call is due; `None`: no more are made.
    next_call_at: Option<Instant>,
    /// When the last call was made of those that discovery turned away.
    rejected_call_at: Option<Instant>,
}

impl ReconnectSchedule {
    /// The first call for a watch is made.
    pub fn after_first_call(
        now: Instant,
        call_interval: Option<Duration>,
        calls: RepeatedCalls,
    ) -> ReconnectSchedule {
        ReconnectSchedule {
            call_interval,
            give_up_at: calls.lasts.map(|lasts| now + to_duration(lasts)),
            backoff: None,
            next_call_at: call_interval.map(|interval| now + interval),
            rejected_call_at: None,
        }
    }

    /// The watch has fallen silent: the first call is due.
    pub fn after_silence(
        now: Instant,
        call_interval: Option<Duration>,
        calls: RepeatedCalls,
    ) -> ReconnectSchedule {
        ReconnectSchedule {
            backoff: Some(RetryBackoff::starting_at(now, calls)),
            next_call_at: Some(now),
            ..ReconnectSchedule::after_first_call(now, call_interval, calls)
        }
    }

    /// Whether a silent watch is to be replaced.
    pub fn replaces_silent_watch(&self) -> bool {
        self.backoff.is_some()
    }

    /// When the next call is due.
    pub fn next_call_at(&self) -> Option<Instant> {
        self.next_call_at
    }

    /// When the last call was made of those that discovery turned away.
    pub fn rejected_call_at(&self) -> Option<Instant> {
        self.rejected_call_at
    }

    /// A call is made.
    pub fn record_call(&mut self, now: Instant) {
        let next_call_at = self.call_interval.map(|interval| now + interval);
        let is_wanted = |at: &Instant| self.give_up_at.is_none_or(|give_up_at| *at < give_up_at);
        self.next_call_at = next_call_at.filter(is_wanted);
    }

    /// A call has failed, or a watch has ended. From now on calls are made at this interval; `None`: no more are made.
    pub fn watch_lost(&mut self, now: Instant, lost: &LostWatch, call_interval: Option<Duration>) {
        self.rejected_call_at = lost.rejected_call_at.or(self.rejected_call_at);
        self.call_interval = call_interval;
        let Some(interval) = call_interval else {
            self.next_call_at = None;
            return;
        };
        // Another call has been made beside one that waited for longer.
        let has_parallel_call = lost
            .failed_call_wait(now)
            .is_some_and(|waited| waited >= interval);
        let retry = match &mut self.backoff {
            Some(backoff) if !has_parallel_call => backoff.next(now),
            _ => None,
        };
        self.next_call_at = match (self.next_call_at, retry) {
            (Some(next), Some(retry)) => Some(next.min(retry)),
            (next, retry) => next.or(retry),
        };
    }
}
