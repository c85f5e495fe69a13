//! A model of the origin. It runs a bounded number of fetches at a time. Its own clock runs slower
//! while the origin is slow.

use crate::executor::{Executor, Time};
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// The longest wait for a slot, as a multiple of the fetch's duration. Fetches that would wait
/// longer are rejected.
const MAX_QUEUED_FETCHES_PER_SLOT: Time = 6;

/// The origin that all servers share.
pub(crate) struct Origin {
    executor: Executor,
    /// When each slot becomes free, on the origin's clock.
    slots: RefCell<Vec<Time>>,
    clock: Cell<OriginClock>,
    clock_changed: Notify,
}

/// The origin's clock, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct OriginClock {
    /// The virtual time since which the clock runs at its current rate.
    since: Time,
    /// The reading of the clock at that time.
    reading: Time,
    /// The ratio by which a microsecond of this clock is longer than one of virtual time.
    slowdown: f64,
}

impl OriginClock {
    fn reading_at(&self, now: Time) -> Time {
        self.reading + ((now - self.since) as f64 / (1.0 + self.slowdown)) as Time
    }
}

impl Origin {
    pub(super) fn new(executor: Executor, slot_count: usize) -> Origin {
        Origin {
            executor,
            slots: RefCell::new(vec![0; slot_count]),
            clock: Cell::default(),
            clock_changed: Notify::new(),
        }
    }

    /// Makes all fetches, including those in progress, take `1 + slowdown` times as long from now
    /// on.
    pub(crate) fn slow_down(&self, slowdown: f64) {
        let now = self.executor.now();
        self.clock.set(OriginClock {
            since: now,
            reading: self.clock.get().reading_at(now),
            slowdown,
        });
        self.clock_changed.notify_waiters();
    }

    /// Starts a fetch of this duration. Returns when it completes on the origin's clock, or `None`
    /// if the queue is full.
    pub(super) fn start_fetch(&self, duration: Time) -> Option<Time> {
        let now = self.clock.get().reading_at(self.executor.now());
        let mut slots = self.slots.borrow_mut();
        let slot = slots.iter_mut().min()?;
        let start = (*slot).max(now);
        if start > now + duration * MAX_QUEUED_FETCHES_PER_SLOT {
            return None;
        }
        *slot = start + duration;
        Some(*slot)
    }

    /// Waits until the origin's clock reaches this reading.
    pub(super) async fn wait_until(&self, reading: Time) {
        loop {
            let changed = self.clock_changed.notified();
            let now = self.executor.now();
            let clock = self.clock.get();
            let left = reading.saturating_sub(clock.reading_at(now));
            if left == 0 {
                return;
            }
            let wait = (left as f64 * (1.0 + clock.slowdown)).ceil() as Time;
            tokio::select! {
                biased;
                () = changed => {}
                () = self.executor.sleep_until(now + wait) => {}
            }
        }
    }
}
