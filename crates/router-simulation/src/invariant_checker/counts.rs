//! Totals of a run, and of the requests served after all faults are over.

use crate::executor::Time;
use std::ops::AddAssign;

/// Totals of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that a router accepted.
    pub accepted: u64,
    /// Requests that were served.
    pub served: u64,
    /// Served requests whose value was made for another request of the same flight.
    pub coalesced: u64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts at cache servers.
    pub attempts: u64,
    /// Connections between routers and cache servers.
    pub connections: u64,
    /// Requests whose clients disconnected before the first attempt.
    pub disconnected_unsent: u64,
    /// Requests among `disconnected_unsent` whose first attempt went out over 0.3 s after the
    /// disconnect.
    pub sent_after_disconnect: u64,
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.accepted += other.accepted;
        self.served += other.served;
        self.coalesced += other.coalesced;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.attempts += other.attempts;
        self.connections += other.connections;
        self.disconnected_unsent += other.disconnected_unsent;
        self.sent_after_disconnect += other.sent_after_disconnect;
    }
}

/// Requests answered after all faults are over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceAfterFaults {
    /// The beginning of the period, in microseconds. Requests with a later deadline count.
    pub since: Time,
    /// Requests that a router accepted and answered.
    pub accepted: u64,
    /// Requests among `accepted` that were served.
    pub served: u64,
}
