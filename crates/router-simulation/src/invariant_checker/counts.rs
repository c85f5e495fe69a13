//! Counts of what passed in a run, and of service once all faults are over.

use crate::executor::Time;
use std::ops::AddAssign;

/// Counts of what passed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that a router accepted.
    pub accepted: u64,
    /// Those served.
    pub served: u64,
    /// Of those, with the value that was made for another.
    pub coalesced: u64,
    /// Those rejected.
    pub rejected: u64,
    /// Those failed.
    pub failed: u64,
    /// Attempts at cache servers.
    pub attempts: u64,
    /// Connections between routers and cache servers.
    pub connections: u64,
    /// Requests whose clients disconnected before anything of them was sent.
    pub disconnected_unsent: u64,
    /// Those of them that were sent over 0.3 s later.
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

/// Service once all faults are over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceAfterFaults {
    /// When the calm begins, in microseconds: requests whose deadline is later count.
    pub since: Time,
    /// Requests that a router accepted and answered.
    pub accepted: u64,
    /// Those of them served.
    pub served: u64,
}
