//! Memory for requests in progress: their commands, their state and short answers that wait for their
//! clients.
//!
//! Each connection may always have one request in progress. Further ones are charged here, and a
//! connection gets no more than a part of what is left, so that clients that pipeline share the memory
//! and one that comes later finds some.

use std::cell::Cell;
use std::rc::Rc;

/// What a request is charged beside its command, in bytes: its state while it waits.
const REQUEST_BYTES: usize = 512;
/// What is added with its first attempt, in bytes: the attempt, and an answer with the longest value
/// that is in no other budget.
pub const ATTEMPT_BYTES: usize = 7 * 1024;
/// A connection may hold as much as is left, divided by this.
const SHARE_DIVISOR: usize = 4;

/// The budget; see the module documentation.
#[derive(Debug)]
pub struct RequestBudget {
    limit_bytes: usize,
    used_bytes: Cell<usize>,
}

/// The memory of one request, released on drop.
#[derive(Debug)]
pub struct RequestCharge {
    budget: Rc<RequestBudget>,
    bytes: Cell<usize>,
}

impl RequestBudget {
    /// A budget of this many bytes.
    pub fn new(limit_bytes: usize) -> Rc<RequestBudget> {
        Rc::new(RequestBudget {
            limit_bytes,
            used_bytes: Cell::new(0),
        })
    }

    /// Whether a connection with this many requests in progress may begin another one.
    pub fn may_begin(&self, requests_in_progress: usize) -> bool {
        let left = self.limit_bytes.saturating_sub(self.used_bytes.get());
        requests_in_progress == 0 || requests_in_progress * ATTEMPT_BYTES < left / SHARE_DIVISOR
    }

    /// Charges a request whose command has this many bytes.
    pub fn charge(self: &Rc<Self>, command_bytes: usize) -> RequestCharge {
        let charge = RequestCharge {
            budget: self.clone(),
            bytes: Cell::new(0),
        };
        charge.add(REQUEST_BYTES + command_bytes);
        charge
    }

    /// The limit, in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    /// The memory in use, in bytes. Requests that a connection may always have count as well.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.get()
    }
}

impl RequestCharge {
    /// Charges the request for its first attempt.
    pub fn add_attempt(&self) {
        self.add(ATTEMPT_BYTES);
    }

    fn add(&self, bytes: usize) {
        let used = &self.budget.used_bytes;
        used.set(used.get() + bytes);
        self.bytes.set(self.bytes.get() + bytes);
    }
}

impl Drop for RequestCharge {
    fn drop(&mut self) {
        let used = &self.budget.used_bytes;
        used.set(used.get() - self.bytes.get());
    }
}
