//! How much of its full load may a server take that warms up?
//!
//! Inputs: when its process started or may have restarted (µs of this process's clock), when it was last sent a request
//! (µs), the rules.
//! Answer: its progress and the fraction of its capacity, 0 to 1, and whether it may be sent one more request.
//! Reason: a server with cold caches fails under its full share, and many routers together overload it
//! before any of them hears that it is slow.

use crate::concurrency_limit::INITIAL_TOTAL_IN_FLIGHT;
use crate::server_table::Server;
use crate::settings::Rules;
use crate::time::Micros;

/// All routers together send at most this ratio of the work that overloads a server which warms up.
const SAFE_LOAD_RATIO: f64 = 0.75;

/// So much of the age that a list gives a process it has just told of is believed: lists come late by so much, and the
/// clocks of two machines may be further apart.
const MAX_NEW_PROCESS_AGE: Micros = Micros::from_millis(1_000);

/// When a process of a server started, on this process's clock; zero for long ago. `listed_start`: as the list says, whose clock
/// may be another one. `is_newly_listed`: the list before did not have this process.
pub(crate) fn estimate_process_start(
    listed_start: Micros,
    received_at: Micros,
    is_newly_listed: bool,
) -> Micros {
    if listed_start == Micros(0) {
        return listed_start;
    }
    let earliest = if is_newly_listed {
        received_at.since(MAX_NEW_PROCESS_AGE)
    } else {
        Micros(0)
    };
    listed_start.max(earliest).min(received_at)
}

impl Server {
    /// How much of its slow start is over: 1 once `slow_start_duration` has passed since its start.
    pub fn slow_start_progress(&self, at: Micros, rules: &Rules) -> f64 {
        let started = self.started_at.max(self.possible_restart_at);
        if started == Micros(0) {
            return 1.0;
        }
        let elapsed = at.since(started).as_secs_f64();
        let progress = elapsed / rules.slow_start_duration.as_secs_f64();
        // Without a duration a server that has just started is warm: 0 / 0.
        if progress.is_nan() {
            1.0
        } else {
            progress.min(1.0)
        }
    }

    /// The fraction of its capacity that it has at least.
    pub fn capacity_fraction(&self, at: Micros, rules: &Rules) -> f64 {
        let initial = rules.initial_capacity_ratio;
        initial + (1.0 - initial) * self.slow_start_progress(at, rules)
    }
}

/// What the allowance of servers that warm up depends on besides the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowStart<'a> {
    pub now: Micros,
    pub rules: &'a Rules,
    pub router_count: f64,
    /// How long hits take at any server.
    pub typical_latency: Micros,
}

impl SlowStart<'_> {
    /// Whether a server may be sent one more request of this cost: it is warm, or its allowance covers it.
    pub fn allows(&self, server: &Server, cost: Option<Micros>) -> bool {
        server.slow_start_progress(self.now, self.rules) >= 1.0 || self.has_allowance(server, cost)
    }

    /// Where routers are few their concurrency limits see to a server, unless a request costs so much that what
    /// they let through at once is more than it can stand. Otherwise the allowance since the last request must
    /// cover one more.
    fn has_allowance(&self, server: &Server, cost: Option<Micros>) -> bool {
        // Capacity grows linearly: its mean over the pause is that of the pause's middle.
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
