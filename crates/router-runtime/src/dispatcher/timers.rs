//! The timers that the decision library has set, by the instant at which they fire.

use crate::mutation::hooks;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Timers that have not fired yet.
#[derive(Default)]
pub struct TimerQueue {
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
}

impl TimerQueue {
    /// Sets a timer; `token` names it to the decision library.
    pub fn set(&mut self, at: Instant, token: u64) {
        self.timers.push(Reverse((at, token)));
    }

    /// When the next one fires.
    pub fn next(&self) -> Option<Instant> {
        self.timers.peek().map(|timer| timer.0.0)
    }

    /// Takes the next one that is due, and gives its token.
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

    /// How many are set.
    pub fn len(&self) -> usize {
        self.timers.len()
    }
}
