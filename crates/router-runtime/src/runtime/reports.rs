//! What a router tells the program about itself, as plain data.

use crate::endpoint_list::EndpointList;
use crate::metrics::AttemptCounts;
use load_balancer::{Diagnostics, Micros};
use request_coalescing::Counters;
use std::net::SocketAddr;

/// The endpoint list as a router has it, and the discovery server that it comes from.
#[derive(Debug)]
pub struct WatchedEndpoints {
    /// The discovery server.
    pub discovery: SocketAddr,
    /// Its list, as far as it has come.
    pub endpoints: EndpointList,
}

/// What attempts came to, and what the decision library makes of them.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// Counts since the start of the process.
    pub counts: AttemptCounts,
    /// The decision library's present estimates.
    pub diagnostics: Diagnostics,
}

/// What coalescing has done.
#[derive(Clone, Copy, Debug)]
pub struct CoalescingReport {
    /// Counts since the start of the process.
    pub counters: Counters,
    /// The age of the oldest flight in progress, if there is one.
    pub oldest_flight_age: Option<Micros>,
}
