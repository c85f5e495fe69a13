//! What a router believes at one moment, as figures for traces and metrics. Nothing is decided by it.

use crate::api::Micros;
use crate::availability::Availability;
use crate::state::{CandidateVerdict, Router};

/// The figures that decide how much a router sends, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Diagnostics {
    /// Requests that have no final answer yet, or an attempt in flight.
    pub pending_requests: usize,
    /// Attempts in flight that most likely are origin fetches.
    pub fetches_in_flight: u32,
    /// How many origin fetches may be in flight at a time.
    pub fetch_limit: f64,
    /// The share of such attempts that were fetches lately.
    pub miss_ratio: f64,
    /// The share of the unexplained failures that came late.
    pub late_failure_ratio: f64,
    /// Retry tokens in hand; a retry costs one.
    pub retry_tokens: f64,
    /// How long hits take.
    pub typical_hit_latency: Micros,
    /// Attempts in flight to accepting servers.
    pub attempts_in_flight: u32,
    /// The smallest concurrency limit of an accepting server; 0 without one.
    pub limit_min: f64,
    /// The mean concurrency limit of the accepting servers; 0 without one.
    pub limit_mean: f64,
    /// The largest concurrency limit of an accepting server; 0 without one.
    pub limit_max: f64,
    /// Accepting servers.
    pub accepting: usize,
    /// How many of them report spare capacity.
    pub spare_capacity_reported: usize,
    /// Candidates by what they were to requests, since the start; in the order of [`CandidateVerdict::ALL`].
    pub verdicts: [u64; CandidateVerdict::ALL.len()],
    /// Times that no server was found for a request, by what stood in its way.
    pub unplaced: [u64; CandidateVerdict::ALL.len()],
}

impl Router {
    /// What this router believes now.
    pub fn diagnostics(&self) -> Diagnostics {
        let ready = || self.servers.iter().filter(|s| s.is_ready() && !s.is_origin);
        let limits = || ready().map(|s| s.load.believed(self.now));
        let (count, sum) = (ready().count(), limits().sum::<f64>());
        let least = if count == 0 {
            0.0
        } else {
            limits().fold(f64::INFINITY, f64::min)
        };
        Diagnostics {
            pending_requests: self.held.len(),
            fetches_in_flight: self.fetches.out,
            fetch_limit: self.fetches.limit,
            miss_ratio: self.fetches.misses.iter().sum::<f64>() / self.fetches.misses.len() as f64,
            late_failure_ratio: self.late_failures,
            retry_tokens: self.retry_tokens,
            typical_hit_latency: self.usual,
            attempts_in_flight: ready().map(|s| s.load.in_flight).sum(),
            limit_min: least,
            limit_mean: sum / count.max(1) as f64,
            limit_max: limits().fold(0.0, f64::max),
            accepting: count,
            spare_capacity_reported: ready().filter(|s| s.queue.is_at_ease(self.now)).count(),
            verdicts: self.verdicts,
            unplaced: self.unplaced,
        }
    }

    /// Listed servers that this router avoids now: called out by hand, or silent.
    pub fn avoided_endpoints(&self) -> usize {
        let listed = self.servers.iter().filter(|s| !s.is_gone() && !s.is_origin);
        listed
            .filter(|s| {
                s.availability() == Availability::Disabled || (s.is_ready() && self.is_silent(s))
            })
            .count()
    }
}
