//! Memory budgets for long values that are held, one for writes and one for answers, counted by the
//! bytes that have arrived.
//!
//! A budget keeps more values from arriving than fit in memory, and keeps unfinished values from
//! deadlocking by holding all of it. Past the budget, only the oldest unfinished value is read on,
//! by at most one maximum-size value, so that one always finishes; the others wait. The budget is
//! single-threaded: no borrow is held across an await.

use crate::resp::MAX_VALUE_BYTES;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
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
    /// The sequence numbers of unfinished values, the oldest first.
    unfinished: RefCell<BTreeSet<u64>>,
    freed: Notify,
}

/// The memory reserved for one value, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    sequence: u64,
    bytes: usize,
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
            unfinished: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// Begins a reservation for a value of which `arrived` bytes have arrived.
    pub fn reserve(self: &Rc<Self>, arrived: usize) -> MemoryReservation {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        self.unfinished.borrow_mut().insert(sequence);
        let mut reservation = MemoryReservation {
            budget: self.clone(),
            sequence,
            bytes: 0,
        };
        reservation.add(arrived);
        reservation
    }

    /// Completes when memory has been released, or when another value may be the oldest unfinished
    /// one.
    pub async fn freed(&self) {
        self.freed.notified().await;
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
        self.unfinished.borrow().first() == Some(&sequence)
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
        self.budget.used_bytes.set(self.budget.used_bytes() + bytes);
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
