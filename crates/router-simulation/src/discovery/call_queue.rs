//! Discovery's queue of calls: one service for all routers, which works them in turn.
//!
//! A call that waits for longer than [`CALL_TIMEOUT`] is answered 503, and its work is done all the same. One that would
//! wait for several of these times is turned away at once, and costs nothing.

use crate::executor::Time;
use crate::fault_plan::SECOND;
use std::cell::Cell;

/// A call that has waited for this long is answered 503, in microseconds.
const CALL_TIMEOUT: Time = 2 * SECOND;
/// A call is turned away at once where it would wait for longer than so many times that.
const MAX_WAIT_IN_TIMEOUTS: Time = 3;

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It is answered at this time.
    Answered(Time),
    /// It is answered 503 at this time.
    Rejected(Time),
}

/// The queue.
pub struct CallQueue {
    /// The work of a call, in microseconds.
    call_time: Time,
    busy_until: Cell<Time>,
    /// Calls since the queue began.
    pub call_count: Cell<usize>,
    /// Those of them that were rejected.
    pub rejected_count: Cell<usize>,
}

impl CallQueue {
    /// A queue that is busy until a time.
    pub fn new(call_time: Time, busy_until: Time) -> CallQueue {
        CallQueue {
            call_time,
            busy_until: Cell::new(busy_until),
            call_count: Cell::new(0),
            rejected_count: Cell::new(0),
        }
    }

    /// Takes a call in, or turns it away.
    pub(super) fn admit(&self, now: Time) -> Admission {
        self.call_count.set(self.call_count.get() + 1);
        let done_at = self.busy_until.get().max(now) + self.call_time;
        let wait = done_at - now;
        if wait <= MAX_WAIT_IN_TIMEOUTS * CALL_TIMEOUT {
            self.busy_until.set(done_at);
        }
        if wait <= CALL_TIMEOUT {
            return Admission::Answered(done_at);
        }
        self.rejected_count.set(self.rejected_count.get() + 1);
        if wait <= MAX_WAIT_IN_TIMEOUTS * CALL_TIMEOUT {
            Admission::Rejected(now + CALL_TIMEOUT)
        } else {
            Admission::Rejected(now)
        }
    }
}
