//! What a router believes at one moment, as figures for traces and metrics. Nothing is decided by it.

use crate::api::Micros;
use crate::life::Standing;
use crate::state::{Router, Verdict};

/// The figures that decide how much a router sends, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct View {
    /// Requests that it holds.
    pub held: usize,
    /// Attempts that most likely are fetches, at work and allowed at a time.
    pub fetches: (u32, f64),
    /// The share of such attempts that were fetches lately.
    pub misses: f64,
    /// The share of the unexplained failures that came late.
    pub late_failures: f64,
    /// Further attempts in hand.
    pub tokens: f64,
    /// How long hits take.
    pub usual: Micros,
    /// Attempts at work on ready servers, and the least, mean and greatest limit of those servers.
    pub at_work: u32,
    /// See above; all 0 without a ready server.
    pub limits: (f64, f64, f64),
    /// Ready servers.
    pub ready: usize,
    /// How many of them say of themselves that they wait for work.
    pub at_ease: usize,
    /// Candidates by what they were to requests, since the start; in the order of [`Verdict::ALL`].
    pub verdicts: [u64; Verdict::ALL.len()],
    /// Times that no server was found for a request, by what stood in its way.
    pub unplaced: [u64; Verdict::ALL.len()],
}

impl Router {
    /// What this router believes now.
    pub fn view(&self) -> View {
        let ready = || self.servers.iter().filter(|s| s.is_ready() && !s.is_origin);
        let limits = || ready().map(|s| s.load.believed(self.now));
        let (count, sum) = (ready().count(), limits().sum::<f64>());
        let least = if count == 0 {
            0.0
        } else {
            limits().fold(f64::INFINITY, f64::min)
        };
        View {
            held: self.held.len(),
            fetches: (self.fetches.out, self.fetches.limit),
            misses: self.fetches.misses.iter().sum::<f64>() / self.fetches.misses.len() as f64,
            late_failures: self.late_failures,
            tokens: self.retry_tokens,
            usual: self.usual,
            at_work: ready().map(|s| s.load.in_flight).sum(),
            limits: (
                least,
                sum / count.max(1) as f64,
                limits().fold(0.0, f64::max),
            ),
            ready: count,
            at_ease: ready().filter(|s| s.queue.is_at_ease(self.now)).count(),
            verdicts: self.verdicts,
            unplaced: self.unplaced,
        }
    }

    /// Listed servers that this router avoids now: called out by hand, or silent.
    pub fn avoided(&self) -> usize {
        let listed = self.servers.iter().filter(|s| !s.is_gone() && !s.is_origin);
        listed
            .filter(|s| s.standing() == Standing::Out || (s.is_ready() && self.is_silent(s)))
            .count()
    }
}
