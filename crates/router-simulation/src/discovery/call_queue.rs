//! The queue of a discovery service that processes the calls of all routers one at a time.
//!
//! A call that waits for longer than [`CALL_TIMEOUT`] is answered with 503, but still consumes its
//! processing time. A call that would wait for longer than [`MAX_WAIT_IN_TIMEOUTS`] such timeouts
//! is rejected immediately and consumes none.

use crate::executor::Time;
use crate::fault_plan::SECOND;
use std::cell::Cell;

/// The wait after which a call is answered with 503, in microseconds.
const CALL_TIMEOUT: Time = 2 * SECOND;
/// The expected wait above which a call is rejected immediately, as a multiple of [`CALL_TIMEOUT`].
const MAX_WAIT_IN_TIMEOUTS: Time = 3;

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// The call is answered at this time.
    Answered(Time),
    /// The call is answered with 503 at this time.
    Rejected(Time),
}

/// The queue of calls to discovery.
pub struct CallQueue {
    /// The processing time of a call, in microseconds.
    call_time: Time,
    /// When the calls that have been admitted so far are done.
    busy_until: Cell<Time>,
    /// The number of calls since the queue was created.
    pub call_count: Cell<usize>,
    /// The number of those calls that were rejected.
    pub rejected_count: Cell<usize>,
}

impl CallQueue {
    /// Creates a queue that is busy until a time.
    pub fn new(call_time: Time, busy_until: Time) -> CallQueue {
        CallQueue {
            call_time,
            busy_until: Cell::new(busy_until),
            call_count: Cell::new(0),
            rejected_count: Cell::new(0),
        }
    }

    /// Admits or rejects a call.
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
