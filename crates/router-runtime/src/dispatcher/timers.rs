//! The load balancer's pending timers, ordered by the instant at which they fire.

use crate::mutation::hooks;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// A queue of timers that have not fired yet.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl TimerQueue {
    /// Sets a timer; `token` identifies it to the load balancer.
    pub fn set(&mut self, at: Instant, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    /// When the next timer fires.
    pub fn next(&self) -> Option<Instant> {
        self.timers.peek().map(|timer| timer.0.0)
    }

    /// Removes the next timer that is due and returns its token.
    pub fn pop_due(&mut self, now: Instant) -> Option<u64> {
        if self.next()? > now {
            return None;
        }
        let Reverse((_, token)) = self.timers.pop()?;
        if let Some(at) = hooks::rearm_fired_timer(now) {
            self.set(at, token);
        }
        Some(token)
    }

    /// The number of pending timers.
    pub fn len(&self) -> usize {
        self.timers.len()
    }
}
