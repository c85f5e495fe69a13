//! Limits the load of a server that is warming up.
//!
//! The inputs are the age of the server's process when it was listed or the time of its possible
//! restart, and the time at which this router last sent it a request (on this process's clock), and
//! the rules of the deployment. The results are the progress of the slow start, the fraction of its
//! capacity that the server has (both 0 to 1), and whether it may be sent one more request.
//!
//! A server with cold caches fails under its full share of requests, and many routers together
//! overload it before any of them observes that it is slow.

use crate::concurrency_limit::INITIAL_TOTAL_IN_FLIGHT;
use crate::endpoint::ProcessAge;
use crate::server_table::Server;
use crate::settings::Rules;
use crate::time::Micros;

/// All routers together send a server that is warming up at most this ratio of the load that
/// overloads it.
const SAFE_LOAD_RATIO: f64 = 0.75;

/// The greatest age that is accepted for a newly listed process. An endpoint list may arrive this
/// late.
const MAX_NEW_PROCESS_AGE: Micros = Micros::from_millis(1_000);

/// Estimates when a process of a server started, on this process's clock; zero means long ago.
/// `is_newly_listed` says that the previous list did not contain this process.
pub(crate) fn estimate_process_start(
    age: ProcessAge,
    received_at: Micros,
    is_newly_listed: bool,
) -> Micros {
    match age {
        ProcessAge::Old => Micros(0),
        ProcessAge::Known(age) if is_newly_listed => {
            received_at.since(age.min(MAX_NEW_PROCESS_AGE))
        }
        ProcessAge::Known(age) => received_at.since(age),
        ProcessAge::Unknown => received_at,
    }
}

impl Server {
    /// The progress of the slow start: 1 once `slow_start_duration` has passed since the start.
    pub fn slow_start_progress(&self, at: Micros, rules: &Rules) -> f64 {
        let started = self.started_at.max(self.possible_restart_at);
        if started == Micros(0) {
            return 1.0;
        }
        let elapsed = at.since(started).as_secs_f64();
        let progress = elapsed / rules.slow_start_duration.as_secs_f64();
        // With a duration of zero the progress of a server that has just started is 0 / 0; it
        // counts as warm.
        if progress.is_nan() {
            1.0
        } else {
            progress.min(1.0)
        }
    }

    /// The fraction of its full capacity that the server has at least.
    pub fn capacity_fraction(&self, at: Micros, rules: &Rules) -> f64 {
        let initial = rules.initial_capacity_ratio;
        initial + (1.0 - initial) * self.slow_start_progress(at, rules)
    }
}

/// The inputs to slow-start allowances other than the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart<'a> {
    pub now: Micros,
    pub rules: &'a Rules,
    pub router_count: f64,
    /// The typical latency of hits over all servers.
    pub typical_latency: Micros,
}

impl SlowStart<'_> {
    /// Whether a server may be sent one more request of this cost: it is warm, or its allowance
    /// covers the request.
    pub fn allows(&self, server: &Server, cost: Option<Micros>) -> bool {
        server.slow_start_progress(self.now, self.rules) >= 1.0 || self.has_allowance(server, cost)
    }

    /// Whether the allowance that has accumulated since the last request covers one more. In a
    /// fleet of few routers the concurrency limits suffice to protect the server, unless a request
    /// is so expensive that the initial limits admit more work at once than the server can take.
    fn has_allowance(&self, server: &Server, cost: Option<Micros>) -> bool {
        // Capacity grows linearly, so that its mean over the interval is its value at the midpoint.
        let halfway = server.last_sent_at.plus(self.now).scaled(0.5);
        let capacity = server.capacity_fraction(halfway, self.rules);
        let safe_load = SAFE_LOAD_RATIO * self.rules.overload_multiple * capacity;
        let initial_burst_work = cost.unwrap_or_default().scaled(INITIAL_TOTAL_IN_FLIGHT);
        let is_covered_by_limits = self.router_count <= INITIAL_TOTAL_IN_FLIGHT
            && initial_burst_work <= self.rules.overload_duration.scaled(safe_load);
        if is_covered_by_limits {
            return true;
        }
        let allowance_ratio = safe_load / self.router_count;
        let allowance = self.now.since(server.last_sent_at).scaled(allowance_ratio);
        allowance
            >= self
                .typical_latency
                .scaled(server.slow_start_allowance_needed)
    }
}
