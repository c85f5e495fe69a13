//! When to call discovery while a watch is silent, after a new configuration, and where an agent pushes lists.
//!
//! Calls are made until one is answered, at an interval beside those that wait, or once alone, and repeated after pauses,
//! as the decision library's policy of silent watches says; its back-off follows where the repeats have an end.

use super::watch_set::LostWatch;
use crate::clock::duration;
use load_balancer::CallRetryPolicy;
use std::time::{Duration, Instant};

/// Calls that failed, repeated fast.
pub(super) struct FastRetry {
    /// `None`: without end.
    until: Option<Instant>,
    pause: Duration,
    max_pause: Duration,
}

impl FastRetry {
    /// The calls that follow from now on.
    pub fn from(now: Instant, calls: CallRetryPolicy) -> FastRetry {
        FastRetry {
            until: calls.duration.map(|limit| now + duration(limit)),
            pause: duration(calls.first_delay),
            max_pause: duration(calls.max_delay),
        }
    }

    /// When to call again after a failed call; `None` once their time is over.
    pub fn next(&mut self, now: Instant) -> Option<Instant> {
        let at = now + self.pause;
        self.pause = (self.pause * 2).min(self.max_pause);
        self.until.is_none_or(|until| at < until).then_some(at)
    }
}

/// The calls beside one that waits for its answer, or that are to replace a silent watch.
pub(super) struct Reopening {
    /// Between calls beside those that wait; `None`: one call is made and no other.
    call_interval: Option<Duration>,
    /// No more calls are made from then on; `None`: without end.
    until: Option<Instant>,
    /// Failed calls are repeated; `None` while no watch is silent.
    retry: Option<FastRetry>,
    /// When the next call is due; `None`: no more are made.
    next_call: Option<Instant>,
    /// When the last call was made of those that discovery turned away.
    rejected_call: Option<Instant>,
}

impl Reopening {
    /// The first call for a watch is made.
    pub fn beside_call(
        now: Instant,
        call_interval: Option<Duration>,
        calls: CallRetryPolicy,
    ) -> Reopening {
        Reopening {
            call_interval,
            until: calls.duration.map(|limit| now + duration(limit)),
            retry: None,
            next_call: call_interval.map(|interval| now + interval),
            rejected_call: None,
        }
    }

    /// The watch has fallen silent: the first call is due.
    pub fn of_silent_watch(
        now: Instant,
        call_interval: Option<Duration>,
        calls: CallRetryPolicy,
    ) -> Reopening {
        Reopening {
            retry: Some(FastRetry::from(now, calls)),
            next_call: Some(now),
            ..Reopening::beside_call(now, call_interval, calls)
        }
    }

    /// Whether a silent watch is to be replaced.
    pub fn replaces_silent_watch(&self) -> bool {
        self.retry.is_some()
    }

    /// When the next call is due.
    pub fn next_call(&self) -> Option<Instant> {
        self.next_call
    }

    /// When the last call was made of those that discovery turned away.
    pub fn rejected_call(&self) -> Option<Instant> {
        self.rejected_call
    }

    /// A call is made.
    pub fn called(&mut self, now: Instant) {
        let next = self.call_interval.map(|interval| now + interval);
        let is_wanted = |next: &Instant| self.until.is_none_or(|until| *next < until);
        self.next_call = next.filter(is_wanted);
    }

    /// A call has failed, or a watch has ended. From now on calls are made at this interval; `None`: no more are made.
    pub fn watch_lost(&mut self, now: Instant, lost: &LostWatch, call_interval: Option<Duration>) {
        self.rejected_call = lost.rejected_call.or(self.rejected_call);
        self.call_interval = call_interval;
        let Some(interval) = call_interval else {
            self.next_call = None;
            return;
        };
        // Another call has been made beside one that waited for longer.
        let has_call_beside = lost.waited(now).is_some_and(|waited| waited >= interval);
        let retry = match &mut self.retry {
            Some(retry) if !has_call_beside => retry.next(now),
            _ => None,
        };
        self.next_call = match (self.next_call, retry) {
            (Some(next), Some(retry)) => Some(next.min(retry)),
            (next, retry) => next.or(retry),
        };
    }
}
