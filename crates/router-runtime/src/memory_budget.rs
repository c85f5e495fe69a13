//! Memory budgets for long values that are held, one for writes and one for answers, counted by the
//! bytes that have arrived.
//!
//! A budget keeps more values from arriving than fit in memory, and keeps unfinished values from
//! deadlocking by holding all of it. Past the budget, only the oldest unfinished value is read on,
//! by at most one maximum-size value, so that one always finishes; the others wait. A value of which
//! nothing arrives can be made to give its memory up for those that wait. The budget is
//! single-threaded: no borrow is held across an await.

use crate::resp::MAX_VALUE_BYTES;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::Notify;

/// The budget is the memory beyond `RESERVED_BYTES`, divided by this.
const BUDGET_DIVISOR: usize = 3;
/// Memory that the process needs for all else, including the buffers of its connections.
const RESERVED_BYTES: usize = 16 * 1024 * 1024;
/// The smallest budget, whatever the memory of the process: two values of maximum size.
const MIN_BUDGET_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// A memory budget of one process.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
    last_sequence: Cell<u64>,
    /// How often bytes have arrived for any value.
    arrival_count: Cell<u64>,
    /// Unfinished values by sequence number, the oldest first.
    unfinished: RefCell<BTreeMap<u64, Rc<Progress>>>,
    freed: Notify,
    revoked: Notify,
}

/// How an unfinished value arrives.
#[derive(Debug)]
struct Progress {
    /// The number of the last arrival, counted over all values of the budget.
    last_arrival: Cell<u64>,
    /// Bytes of it have arrived at this machine that are not read for lack of memory.
    has_unread_input: Cell<bool>,
    /// It has to give its memory up.
    is_revoked: Cell<bool>,
}

/// The memory reserved for one value, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    sequence: u64,
    bytes: usize,
    progress: Rc<Progress>,
}

impl MemoryBudget {
    /// The budget of a process that may use this much memory, in bytes.
    pub fn for_process_memory(bytes: usize) -> Rc<MemoryBudget> {
        let share = bytes.saturating_sub(RESERVED_BYTES) / BUDGET_DIVISOR;
        MemoryBudget::new(share.max(MIN_BUDGET_BYTES))
    }

    /// A budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            limit_bytes,
            used_bytes: Cell::new(0),
            last_sequence: Cell::new(0),
            arrival_count: Cell::new(0),
            unfinished: RefCell::default(),
            freed: Notify::new(),
            revoked: Notify::new(),
        })
    }

    /// Begins a reservation for a value of which `arrived` bytes have arrived.
    pub fn reserve(self: &Rc<Self>, arrived: usize) -> MemoryReservation {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let progress = Rc::new(Progress {
            last_arrival: Cell::new(0),
            has_unread_input: Cell::new(false),
            is_revoked: Cell::new(false),
        });
        self.unfinished
            .borrow_mut()
            .insert(sequence, progress.clone());
        let mut reservation = MemoryReservation {
            budget: self.clone(),
            sequence,
            bytes: 0,
            progress,
        };
        reservation.add(arrived);
        reservation
    }

    /// Completes when memory has been released, or when another value may be the oldest unfinished
    /// one.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// Completes when a value has to give its memory up, which [`MemoryReservation::is_revoked`]
    /// tells.
    pub async fn revoked(&self) {
        self.revoked.notified().await;
    }

    /// How often bytes have arrived for any value, to be passed to
    /// [`MemoryBudget::revoke_stalled`].
    pub fn arrival_count(&self) -> u64 {
        self.arrival_count.get()
    }

    /// Revokes the reservation of the value that has been without bytes for the longest, if none
    /// have arrived since `arrival_count` was read; false if there is no such value. A value whose
    /// bytes wait to be read is not stalled.
    pub fn revoke_stalled(&self, arrival_count: u64) -> bool {
        let unfinished = self.unfinished.borrow();
        let stalled = unfinished
            .values()
            .filter(|value| !value.has_unread_input.get() && !value.is_revoked.get())
            .filter(|value| value.last_arrival.get() <= arrival_count)
            .min_by_key(|value| value.last_arrival.get());
        let Some(value) = stalled else {
            return false;
        };
        value.is_revoked.set(true);
        self.revoked.notify_waiters();
        true
    }

    /// The budget, in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// The memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// The number of unfinished values.
    pub fn unfinished_count(&self) -> usize {
        self.unfinished.borrow().len()
    }

    fn is_oldest_unfinished(&self, sequence: u64) -> bool {
        let unfinished = self.unfinished.borrow();
        unfinished
            .first_key_value()
            .is_some_and(|(&oldest, _)| oldest == sequence)
    }
}

impl MemoryReservation {
    /// Whether more of this value may be read.
    pub fn may_read_more(&self) -> bool {
        let budget = &self.budget;
        // Finished values are passed on and release their memory, so the oldest unfinished one
        // needs at most one value past the limit.
        budget.used_bytes() < budget.limit_bytes
            || budget.used_bytes() < budget.limit_bytes + MAX_VALUE_BYTES
                && budget.is_oldest_unfinished(self.sequence)
    }

    /// Records that more of the value has arrived.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        let budget = &self.budget;
        budget.used_bytes.set(budget.used_bytes() + bytes);
        budget.arrival_count.set(budget.arrival_count() + 1);
        self.progress.last_arrival.set(budget.arrival_count());
    }

    /// Records whether bytes of the value have arrived at this machine that are not read for lack of
    /// memory.
    pub fn set_unread_input(&self, has_unread_input: bool) {
        self.progress.has_unread_input.set(has_unread_input);
    }

    /// Whether the value has to give its memory up. The reservation is then to be dropped, and the
    /// rest of the value to be discarded.
    pub fn is_revoked(&self) -> bool {
        self.progress.is_revoked.get()
    }

    /// Marks the value as finished; its memory stays in use until the reservation is dropped.
    pub fn complete(&self) {
        self.budget.unfinished.borrow_mut().remove(&self.sequence);
        self.budget.freed.notify_waiters();
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let used_bytes = self.budget.used_bytes() - self.bytes;
        self.budget.used_bytes.set(used_bytes);
        self.complete();
    }
}
