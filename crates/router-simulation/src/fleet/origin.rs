//! The origin: a bounded number of fetches at a time, and a clock of its own that runs slower while the origin is slow.

use crate::executor::{Executor, Time};
use std::cell::{Cell, RefCell};
use tokio::sync::Notify;

/// The longest wait for a slot, in fetches of the same duration; more are rejected.
const MAX_QUEUED_FETCHES_PER_SLOT: Time = 6;

/// The origin of all servers.
pub(crate) struct Origin {
    executor: Executor,
    /// When each slot is free, on the origin's clock.
    slots: RefCell<Vec<Time>>,
    clock: Cell<OriginClock>,
    clock_changed: Notify,
}

/// Time as the origin counts it, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
struct OriginClock {
    /// Since when it runs at this rate.
    since: Time,
    /// What it showed then.
    reading: Time,
    /// How much longer than a microsecond its microsecond is, as a ratio.
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

    /// From now on each fetch takes `1 + slowdown` times its duration; also those under way.
    pub(crate) fn slow_down(&self, slowdown: f64) {
        let now = self.executor.now();
        self.clock.set(OriginClock {
            since: now,
            reading: self.clock.get().reading_at(now),
            slowdown,
        });
        self.clock_changed.notify_waiters();
    }

    /// Starts a fetch of this duration: when it is done, on the origin's clock; none if the queue is full.
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

    /// Waits until the origin's clock shows this.
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
