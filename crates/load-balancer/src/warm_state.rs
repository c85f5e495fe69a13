//! The warm state that a router hands over to its successor: server limits, key locations, recent
//! traffic and the limit on origin fetches.
//!
//! Without it a successor process would treat the fleet as new while its clients stay the same, and
//! would count requests for cached keys as origin fetches. Parts that do not match the current
//! endpoint list are ignored, and no decision rule depends on the warm state being present.

use crate::router::Router;
use crate::server_table::Server;
use crate::time::{Micros, WallTime};
use crate::traffic_estimate::KeyCount;
use serde::{Deserialize, Serialize};

/// Maximum number of restored servers, larger than any fleet.
const MAX_SERVER_COUNT: usize = 8192;
/// Maximum number of restored keys, more than a router tracks.
const MAX_KEY_COUNT: usize = 65_536;
/// Upper bound of a restored latency. No hit takes longer.
const MAX_LATENCY: Micros = Micros::from_millis(60_000);
/// Restored numbers from this value on are corrupt.
const VALID_VALUE_BOUND: f64 = 1e9;

/// The observations of one server process. Stored by position: the order and types of fields are
/// fixed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WarmServer {
    name: String,
    /// On the clock of another machine, in microseconds since the Unix epoch.
    started: u64,
    limit: f64,
    typical_latency: u64,
    /// When the process started, or may last have restarted; 0 for long ago.
    possible_restart_at: u64,
    last_sent_at: u64,
    slow_start_credit: f64,
}

/// The state that a router hands over to its successor. Times are in microseconds on the clock of
/// its events.
///
/// Stored by position: the order and types of fields are fixed.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmState {
    servers: Vec<WarmServer>,
    /// The ring position of each key with the index of its server in `servers`.
    key_locations: Vec<(u32, u32)>,
    /// The ring position of each key with its recent number of requests.
    key_counts: Vec<(u32, f64)>,
    total_count: f64,
    typical_latency: u64,
    origin_fetch_limit: f64,
    miss_ratios: Vec<f64>,
    mean_priority_weight: f64,
    class_shares: Vec<f64>,
    tenant_shares: Vec<f64>,
    retry_tokens: f64,
}

impl WarmState {
    /// Moves all times from a clock that shows `from` at this moment to one that shows `to`. Ages stay
    /// the same, as far as they are not longer than the other clock has run.
    pub fn moved_to_clock(mut self, from: u64, to: u64) -> WarmState {
        let moved = |time: u64| match time {
            0 => 0,
            time => to.saturating_sub(from.saturating_sub(time)),
        };
        for server in &mut self.servers {
            server.possible_restart_at = moved(server.possible_restart_at);
            server.last_sent_at = moved(server.last_sent_at);
        }
        self
    }

    /// Replaces times of which the age is unknown: whatever may have happened counts as having happened
    /// at `now`.
    pub fn without_ages(mut self, now: Micros) -> WarmState {
        for server in &mut self.servers {
            let may_be_cold = server.started != 0 || server.possible_restart_at != 0;
            server.possible_restart_at = if may_be_cold { now.0 } else { 0 };
            server.last_sent_at = now.0;
        }
        self
    }
}

/// Whether a restored share or count is valid.
fn is_valid(value: f64) -> bool {
    value.is_finite() && (0.0..VALID_VALUE_BOUND).contains(&value)
}

/// Whether a restored value that must not be zero is valid.
fn is_valid_and_positive(value: f64) -> bool {
    is_valid(value) && value > 0.0
}

impl Router {
    /// The current warm state of this router.
    pub fn warm_state(&self) -> WarmState {
        let is_listed = |server: &usize| *server < self.servers.len();
        let key_locations = self
            .key_locations
            .iter()
            .filter(|location| is_listed(&location.server))
            .map(|location| (location.ring_position, location.server as u32));
        let key_counts = self.traffic.key_counts().into_iter();
        WarmState {
            servers: self.servers.iter().map(|s| self.warm_server(s)).collect(),
            key_locations: key_locations.collect(),
            key_counts: key_counts
                .map(|key| (key.ring_position, key.count))
                .collect(),
            total_count: self.traffic.total_count(),
            typical_latency: self.typical_latency.0,
            origin_fetch_limit: self.origin_fetches.limit,
            miss_ratios: self.origin_fetches.miss_ratios().to_vec(),
            mean_priority_weight: self.traffic.mean_priority_weight(),
            class_shares: self.traffic.class_shares().collect(),
            tenant_shares: self.traffic.tenant_shares().collect(),
            retry_tokens: self.retry_budget.tokens(),
        }
    }

    fn warm_server(&self, server: &Server) -> WarmServer {
        WarmServer {
            name: server.endpoint.server.to_string(),
            started: server.endpoint.started.unix_micros(),
            limit: server.limit.current(self.now),
            typical_latency: server.typical_latency.0,
            possible_restart_at: server.started_at.max(server.possible_restart_at).0,
            last_sent_at: server.last_sent_at.0,
            slow_start_credit: server.slow_start_allowance_needed,
        }
    }

    /// Restores the warm state of a previous process of this router. To be called after the
    /// endpoint list and the admin overrides are set. A server that has restarted since counts as
    /// new.
    pub fn restore_warm_state(&mut self, now: Micros, state: WarmState) {
        self.now = self.now.max(now);
        let mut indices = Vec::new();
        for warm in state.servers.iter().take(MAX_SERVER_COUNT) {
            let index = self.index_of_same_process(warm);
            if let Some(index) = index {
                restore_server(&mut self.servers[index], now, warm);
            }
            indices.push(index);
        }
        for &(ring_position, server) in state.key_locations.iter().take(MAX_KEY_COUNT) {
            if let Some(Some(index)) = indices.get(server as usize) {
                self.key_locations.record_served(ring_position, *index);
            }
        }
        self.restore_traffic(&state);
        self.restore_limits(state);
    }

    fn index_of_same_process(&self, warm: &WarmServer) -> Option<usize> {
        let index = self.servers.index_of(&warm.name)?;
        let started = WallTime::from_unix_micros(warm.started);
        let is_same = self.servers[index].endpoint.started == started;
        is_same.then_some(index)
    }

    fn restore_traffic(&mut self, state: &WarmState) {
        let key_counts = state
            .key_counts
            .iter()
            .map(|&(ring_position, count)| KeyCount {
                ring_position,
                count,
            })
            .filter(|key| is_valid(key.count));
        self.traffic
            .restore_key_counts(key_counts.take(MAX_KEY_COUNT));
        if is_valid(state.total_count) {
            self.traffic.restore_total_count(state.total_count);
        }
        if is_valid_and_positive(state.mean_priority_weight) {
            self.traffic
                .restore_mean_priority_weight(state.mean_priority_weight);
        }
        self.traffic.restore_class_shares(&state.class_shares);
        self.traffic.restore_tenant_shares(&state.tenant_shares);
    }

    fn restore_limits(&mut self, state: WarmState) {
        if state.typical_latency > 0 {
            self.typical_latency = Micros(state.typical_latency).min(self.shortest_objective);
        }
        if is_valid_and_positive(state.origin_fetch_limit) {
            self.origin_fetches.limit = state.origin_fetch_limit;
        }
        if let Ok(ratios) = state.miss_ratios.try_into() {
            self.origin_fetches.restore_miss_ratios(ratios);
        }
        if is_valid(state.retry_tokens) {
            self.retry_budget.restore(state.retry_tokens);
        }
    }
}

fn restore_server(server: &mut Server, now: Micros, warm: &WarmServer) {
    if is_valid_and_positive(warm.limit) {
        server.limit.restore(now, warm.limit);
    }
    server.typical_latency = Micros(warm.typical_latency).min(MAX_LATENCY);
    // The restored time covers the start of the process.
    server.started_at = Micros(0);
    let possible_restart_at = Micros(warm.possible_restart_at).min(now);
    server.possible_restart_at = server.possible_restart_at.max(possible_restart_at);
    server.last_sent_at = Micros(warm.last_sent_at).min(now);
    if is_valid(warm.slow_start_credit) {
        server.slow_start_allowance_needed = warm.slow_start_credit.min(1.0);
    }
}
