//! Memory budgets for all that peers can make the process hold: one for writes, one for answers, and
//! one for requests in progress. Values are counted by the bytes that have arrived.
//!
//! A budget keeps more values from arriving than fit in memory, and keeps unfinished values from
//! deadlocking by holding all of it. Past the budget, only the oldest unfinished value is read on,
//! by at most one maximum-size value, so that one always finishes; the others wait. A value of which
//! nothing arrives can be made to give its memory up for those that wait.
//!
//! Memory that answers do not use, and some beside the budgets, is lent to writes whose clients may already wait for an answer.
//! A value that needs its budget's own memory takes it back: the latest borrower gives its up.
//!
//! The processes of a router share its budgets: what the others use counts as used here.
//!
//! The budgets are single-threaded: no borrow is held across an await.

mod held_chunk;
mod limits;
mod pressure;
mod requests;
mod usage;

use crate::resp::MAX_VALUE_BYTES;
use bytes::Bytes;
use held_chunk::HeldChunk;
use limits::Limits;
pub use limits::ProcessMemory;
pub use pressure::{MemoryPressure, PRESSURE_EVENTS, PressureCounts, PressureEvent};
pub use requests::{ATTEMPT_BYTES, RequestBudget, RequestCharge};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;
use usage::{BudgetKind, BudgetUsage, Charge, Lending, TotalUsage};
pub use usage::{MemoryUsage, PeerMemory};

/// A value gives its memory up for one that is shorter by this factor.
const LONGER_FACTOR: usize = 4;

/// The memory budgets of one router.
#[derive(Clone, Debug)]
pub struct MemoryBudgets {
    /// For long writes.
    pub writes: Rc<MemoryBudget>,
    /// For answers that are held, except for the shortest.
    pub answers: Rc<MemoryBudget>,
    /// For requests in progress, with the shortest answers.
    pub requests: Rc<RequestBudget>,
    /// What has waited or was given up.
    pub pressure: Rc<MemoryPressure>,
}

/// What is held of one budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldMemory {
    /// The name in the log and in metrics.
    pub name: &'static str,
    /// What is held, in bytes.
    pub bytes: usize,
    /// The budget, in bytes.
    pub limit_bytes: usize,
}

/// What a process holds for its peers, and what has waited or was given up for lack of memory.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryReport {
    held: [Option<HeldMemory>; 3],
    /// Counts since the start of the process, in the order of [`PRESSURE_EVENTS`].
    pub pressure: PressureCounts,
}

impl MemoryReport {
    /// What is held of each budget.
    pub fn held(&self) -> impl Iterator<Item = &HeldMemory> {
        self.held.iter().flatten()
    }
}

/// One of the memory budgets of a router.
#[derive(Debug)]
pub struct MemoryBudget {
    limits: Limits,
    usage: Arc<BudgetUsage>,
    last_sequence: Cell<u64>,
    /// How often bytes have arrived for any value.
    arrival_count: Cell<u64>,
    /// Unfinished values by sequence number, the oldest first.
    unfinished: RefCell<BTreeMap<u64, Rc<Progress>>>,
    /// The length of the shortest value that waits, in bytes; `usize::MAX` if none waits.
    shortest_waiting: Cell<usize>,
    revoked: Notify,
}

/// How an unfinished value arrives.
#[derive(Debug)]
struct Progress {
    /// The number of the last arrival, counted over all values of the budget.
    last_arrival: Cell<u64>,
    /// How many bytes of it have been read.
    arrived_bytes: Cell<usize>,
    /// Its length, as far as is known.
    length_bytes: Cell<usize>,
    /// It waits for memory.
    is_waiting: Cell<bool>,
    /// Bytes of it have arrived at this machine that are not read for lack of memory.
    has_unread_input: Cell<bool>,
    /// It may be read with memory that is lent.
    is_borrowing: Cell<bool>,
    /// It has to give its memory up.
    is_revoked: Cell<bool>,
}

/// The memory reserved for one value, except for its chunks that are held. Released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    sequence: u64,
    /// Memory of its own budget.
    own: Charge,
    /// Memory that is lent to it.
    borrowed: Charge,
    progress: Rc<Progress>,
}

impl MemoryBudgets {
    /// The budgets of a process.
    pub fn for_process(memory: ProcessMemory) -> MemoryBudgets {
        MemoryBudgets::with_limits(Limits::of(memory))
    }

    /// Budgets of `limit_bytes` each.
    pub fn new(limit_bytes: usize) -> MemoryBudgets {
        MemoryBudgets::with_limits(Limits {
            budget_bytes: limit_bytes,
            total_bytes: 2 * limit_bytes,
            request_bytes: limit_bytes,
        })
    }

    fn with_limits(limits: Limits) -> MemoryBudgets {
        let total = Arc::new(TotalUsage::default());
        MemoryBudgets {
            writes: MemoryBudget::new(BudgetKind::Writes, limits, total.clone()),
            answers: MemoryBudget::new(BudgetKind::Answers, limits, total),
            requests: RequestBudget::new(limits.request_bytes),
            pressure: Rc::default(),
        }
    }

    /// What is held now.
    pub fn report(&self) -> MemoryReport {
        let value = |name, budget: &MemoryBudget| HeldMemory {
            name,
            bytes: budget.used_bytes(),
            limit_bytes: budget.limit_bytes(),
        };
        let requests = HeldMemory {
            name: "requests",
            bytes: self.requests.used_bytes(),
            limit_bytes: self.requests.limit_bytes(),
        };
        MemoryReport {
            held: [
                Some(value("writes", &self.writes)),
                Some(value("answers", &self.answers)),
                Some(requests),
            ],
            pressure: self.pressure.counts(),
        }
    }

    /// Shares the budgets with the other processes of this router, or with none from now on. Call it
    /// as well when the set of processes has changed.
    pub fn set_peers(&self, peers: Option<Arc<dyn PeerMemory>>) {
        self.writes.usage.total.set_peers(peers);
    }

    /// If this value waits for memory of its own budget that is lent to a write, makes the latest
    /// write that has borrowed give its memory up.
    pub fn reclaim_for(&self, value: &MemoryReservation) {
        if value.waits_for_lent_memory() {
            self.writes.revoke_latest_borrower();
        }
    }
}

impl MemoryBudget {
    fn new(kind: BudgetKind, limits: Limits, total: Arc<TotalUsage>) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            limits,
            usage: Arc::new(BudgetUsage::new(kind, limits.budget_bytes, total)),
            last_sequence: Cell::new(0),
            arrival_count: Cell::new(0),
            unfinished: RefCell::default(),
            shortest_waiting: Cell::new(usize::MAX),
            revoked: Notify::new(),
        })
    }

    /// Begins a reservation for a value of which `arrived` bytes have arrived.
    pub fn reserve(self: &Rc<Self>, arrived: usize) -> MemoryReservation {
        let sequence = self.last_sequence.get() + 1;
        self.last_sequence.set(sequence);
        let progress = Rc::new(Progress {
            last_arrival: Cell::new(0),
            arrived_bytes: Cell::new(0),
            length_bytes: Cell::new(0),
            is_waiting: Cell::new(false),
            has_unread_input: Cell::new(false),
            is_borrowing: Cell::new(false),
            is_revoked: Cell::new(false),
        });
        self.unfinished
            .borrow_mut()
            .insert(sequence, progress.clone());
        let mut reservation = MemoryReservation {
            budget: self.clone(),
            sequence,
            own: Charge::none(self.usage.clone(), Lending::Own),
            borrowed: Charge::none(self.usage.clone(), Lending::Borrowed),
            progress,
        };
        reservation.add(arrived);
        reservation
    }

    /// Reserves memory for a value of this size, all of which is about to arrive; `None` if there is
    /// none to spare.
    pub fn try_reserve(self: &Rc<Self>, bytes: usize) -> Option<MemoryReservation> {
        if !self.has_room(bytes) {
            return None;
        }
        let reservation = self.reserve(bytes);
        reservation.complete();
        Some(reservation)
    }

    /// Whether there is memory for this many bytes more.
    pub fn has_room(&self, bytes: usize) -> bool {
        let used = self.usage.shared();
        used.own_bytes + bytes <= self.limits.budget_bytes
            && used.total_bytes + bytes <= self.limits.total_bytes
    }

    /// Begins a reservation for a value of which another process of the router has read this many
    /// bytes. What is past this budget counts as borrowed.
    pub fn adopt(self: &Rc<Self>, bytes: usize) -> MemoryReservation {
        let mut reservation = self.reserve(0);
        if self.usage.own_bytes() + bytes > self.limits.budget_bytes {
            reservation.borrow();
            reservation.borrowed.add(bytes);
        } else {
            reservation.own.add(bytes);
        }
        reservation
    }

    /// Completes when memory of the process's budgets has been released, or when another value may be
    /// the oldest unfinished one.
    pub async fn freed(&self) {
        self.usage.total.freed().await;
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
        self.revoke(value);
        true
    }

    /// Revokes the reservation of the longest value, if that is many times as long as a waiting one.
    /// So short values do not wait for those that take long to arrive.
    pub fn revoke_longest(&self, waiting: &MemoryReservation) -> bool {
        let unfinished = self.unfinished.borrow();
        if unfinished.values().any(|value| value.is_revoked.get()) {
            return false;
        }
        let longest = unfinished
            .values()
            .filter(|value| value.arrived_bytes.get() > 0)
            .max_by_key(|value| value.length_bytes.get());
        let least_length = waiting.progress.length_bytes.get() * LONGER_FACTOR;
        let Some(value) = longest.filter(|value| value.length_bytes.get() >= least_length) else {
            return false;
        };
        self.revoke(value);
        true
    }

    /// Revokes the reservation of the latest value that borrows memory, unless one that was revoked
    /// has not released its memory yet.
    fn revoke_latest_borrower(&self) {
        let unfinished = self.unfinished.borrow();
        if unfinished.values().any(|value| value.is_revoked.get()) {
            return;
        }
        let mut latest_first = unfinished.values().rev();
        if let Some(value) = latest_first.find(|value| value.is_borrowing.get()) {
            self.revoke(value);
        }
    }

    /// Finds the shortest value that waits.
    fn update_shortest_waiting(&self) {
        let unfinished = self.unfinished.borrow();
        let waiting = unfinished.values().filter(|value| value.is_waiting.get());
        let shortest = waiting.map(|value| value.length_bytes.get()).min();
        let shortest = shortest.unwrap_or(usize::MAX);
        if self.shortest_waiting.replace(shortest) < shortest {
            // Values that had to let shorter ones pass may go on.
            self.usage.total.notify_freed();
        }
    }

    fn revoke(&self, value: &Progress) {
        value.is_revoked.set(true);
        self.revoked.notify_waiters();
    }

    /// The budget, in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.limits.budget_bytes
    }

    /// The memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.usage.used_bytes()
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
        if self.lets_shorter_pass() {
            return false;
        }
        let limits = &budget.limits;
        let used = budget.usage.shared();
        let has_share = self.is_borrowing() || used.own_bytes < limits.budget_bytes;
        if has_share && used.total_bytes < limits.total_bytes {
            return true;
        }
        // Finished values are passed on and release their memory, so the oldest unfinished one of
        // each budget needs at most one value past the limit.
        let bytes_with_value = used.own_bytes + self.borrowed.bytes();
        bytes_with_value < limits.budget_bytes + MAX_VALUE_BYTES
            && used.total_bytes < limits.total_bytes + 2 * MAX_VALUE_BYTES
            && budget.is_oldest_unfinished(self.sequence)
    }

    /// Whether a value waits that is many times shorter, and so is soon complete.
    fn lets_shorter_pass(&self) -> bool {
        let shortest = self.budget.shortest_waiting.get();
        shortest.saturating_mul(LONGER_FACTOR) <= self.progress.length_bytes.get()
    }

    /// From now on lets this value be read with memory that the other budget does not use.
    pub fn borrow(&self) {
        self.progress.is_borrowing.set(true);
    }

    /// Whether this value waits for its budget's own memory, which is lent.
    fn waits_for_lent_memory(&self) -> bool {
        let has_share = self.budget.usage.shared().own_bytes < self.budget.limits.budget_bytes;
        has_share && !self.is_borrowing() && !self.may_read_more()
    }

    fn is_borrowing(&self) -> bool {
        self.progress.is_borrowing.get()
    }

    /// Records that more of the value has arrived.
    pub fn add(&mut self, bytes: usize) {
        let budget = &self.budget;
        let has_share = budget.usage.shared().own_bytes < budget.limits.budget_bytes;
        let charge = match self.is_borrowing() && !has_share {
            true => &mut self.borrowed,
            false => &mut self.own,
        };
        charge.add(bytes);
        let arrived_bytes = &self.progress.arrived_bytes;
        arrived_bytes.set(arrived_bytes.get() + bytes);
        budget.arrival_count.set(budget.arrival_count() + 1);
        self.progress.last_arrival.set(budget.arrival_count());
    }

    /// Holds a chunk of the value that has arrived. Its memory is released, and returned to the
    /// system, as soon as the last copy of the chunk is dropped.
    pub fn hold(&mut self, chunk: &Bytes) -> Bytes {
        let borrowed = self.borrowed.split_off(chunk.len());
        let own = self.own.split_off(chunk.len() - borrowed.bytes());
        Bytes::from_owner(HeldChunk::new(chunk, [own, borrowed]))
    }

    /// Records how many bytes of the value are not read yet, which tells its length.
    pub fn set_missing(&self, bytes: usize) {
        let progress = &self.progress;
        progress
            .length_bytes
            .set(progress.arrived_bytes.get() + bytes);
    }

    /// Records whether the value waits for memory, so that those many times longer let it pass.
    pub fn set_waiting(&self, is_waiting: bool) {
        let progress = &self.progress;
        if progress.is_waiting.replace(is_waiting) || is_waiting {
            self.budget.update_shortest_waiting();
        }
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
        self.set_waiting(false);
        self.budget.unfinished.borrow_mut().remove(&self.sequence);
        self.budget.usage.total.notify_freed();
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.complete();
    }
}
