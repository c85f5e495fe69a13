//! Memory for long values that are held: one budget for writes and one for answers, counted by the bytes that have
//! arrived.
//!
//! Guards against more values on their way than fit in memory, and against a deadlock in which unfinished ones hold
//! all of it. Past the budget only the value that began first is read on, by at most one value, so that one always
//! ends; the others wait. The budget relies on one thread: no borrow crosses an await.

use crate::resp::MAX_VALUE_BYTES;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Notify;

/// The budget is one part in so many of the memory beyond [`RESERVED_BYTES`].
const BUDGET_DIVISOR: usize = 3;
/// What the process needs besides, the buffers of its connections included.
const RESERVED_BYTES: usize = 16 * 1024 * 1024;
/// The smallest budget, however little memory there is: two of the longest values.
const MIN_BUDGET_BYTES: usize = 2 * MAX_VALUE_BYTES;

/// The budget of one process.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
    last_sequence: Cell<u64>,
    /// Values that are not whole yet, in the order in which they began.
    unfinished: RefCell<BTreeSet<u64>>,
    freed: Notify,
}

/// The memory of one value, given back when it is dropped.
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

    /// A budget of so many bytes.
    pub fn new(limit_bytes: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            limit_bytes,
            used_bytes: Cell::new(0),
            last_sequence: Cell::new(0),
            unfinished: RefCell::default(),
            freed: Notify::new(),
        })
    }

    /// A value begins of which so many bytes have arrived.
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

    /// Returns when memory has been given back, or another value may be the first.
    pub async fn freed(&self) {
        self.freed.notified().await;
    }

    /// The budget, in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// What is in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }

    /// Values that are not whole yet.
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
        // Whole values are passed on and give their memory back: the first needs no more than one value past the limit.
        budget.used_bytes() < budget.limit_bytes
            || budget.used_bytes() < budget.limit_bytes + MAX_VALUE_BYTES
                && budget.is_oldest_unfinished(self.sequence)
    }

    /// More of it has arrived.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.used_bytes.set(self.budget.used_bytes() + bytes);
    }

    /// It is whole: its memory stays in use until it is dropped.
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
