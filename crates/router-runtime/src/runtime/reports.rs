//! Reports of a router's state to the program, as plain data.

use crate::endpoint_list::EndpointList;
use crate::metrics::AttemptCounts;
use load_balancer::{Diagnostics, Micros};
use request_coalescing::Counters;
use std::net::SocketAddr;

/// A router's endpoint list, and the discovery server that it comes from.
#[derive(Debug)]
pub struct WatchedEndpoints {
    /// Address of the discovery server.
    pub discovery: SocketAddr,
    /// The current endpoint list.
    pub endpoints: EndpointList,
}

/// Counts of attempts, and the estimates that the decision library derives from them.
#[derive(Clone, Copy, Debug)]
pub struct AttemptReport {
    /// Counts since the start of the process.
    pub counts: AttemptCounts,
    /// The decision library's current estimates.
    pub diagnostics: Diagnostics,
}

/// Counts of coalescing and the state of its flights.
#[derive(Clone, Copy, Debug)]
pub struct CoalescingReport {
    /// Counts since the start of the process.
    pub counters: Counters,
    /// The age of the oldest flight in progress, if there is one.
    pub oldest_flight_age: Option<Micros>,
}
