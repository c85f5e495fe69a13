//! The lifetime of idle connections to cache servers, and whether servers run out of connection
//! slots.
//!
//! The lifetime (µs) follows from rejections on new and on reused connections, from the costs of
//! connections and handshakes, and from the traffic. When many routers each keep a connection to
//! each server, the connection tables of the servers fill up. A new connection is then rejected
//! although the server has spare capacity, and a router that took this for overload would send less
//! to that server.

use crate::moving_average::MovingAverage;
use crate::request::{AttemptEnd, ConnectionUse, Outcome};
use crate::settings::ConnectionCosts;
use crate::time::Micros;

/// Number of attempts over which the ratios of rejections are averaged.
const REJECTION_AVERAGE_COUNT: f64 = 16.0;
/// Slots are scarce if the ratio of rejections on new connections is higher by this than that on
/// reused ones. Overload causes rejections on both.
const SCARCE_SLOTS_RATIO: f64 = 0.1;
/// Decrease of the lifetime for a rejection for lack of slots, as a ratio of the lifetime.
const LIFETIME_DECREASE_RATIO: f64 = 0.3;
/// Increase of the lifetime for any other new connection, as a ratio of the maximum lifetime.
const LIFETIME_INCREASE_RATIO: f64 = 0.003;
/// Minimum lifetime, as a ratio of the maximum.
const MIN_LIFETIME_RATIO: f64 = 0.1;
/// Maximum cost of an idle connection, as a ratio of the cost of a handshake. It is below 1 because
/// a nearly full connection table reduces the capacity of a server before it causes rejections.
const IDLE_COST_RATIO: f64 = 0.5;
/// Number of open connections to each server that [`ConnectionCosts::connection`] is the cost of.
const PRICED_CONNECTION_COUNT: f64 = 100.0;

/// The traffic from a router to the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetTraffic {
    pub router_count: f64,
    pub ready_server_count: f64,
    /// Mean time between the requests of this router.
    pub mean_interarrival: Micros,
}

/// Lifetime of idle connections, the same for all servers: their connection tables have about the
/// same size.
#[derive(Debug)]
pub(crate) struct IdleConnectionLifetime {
    rejections_on_new: MovingAverage,
    rejections_on_reused: MovingAverage,
    /// The current lifetime as a ratio of the maximum.
    lifetime_ratio: f64,
}

impl IdleConnectionLifetime {
    /// Creates the state without observations.
    pub fn new() -> IdleConnectionLifetime {
        IdleConnectionLifetime {
            rejections_on_new: MovingAverage::new(0.0, REJECTION_AVERAGE_COUNT),
            rejections_on_reused: MovingAverage::new(0.0, REJECTION_AVERAGE_COUNT),
            lifetime_ratio: 1.0,
        }
    }

    /// Records how an attempt ended.
    pub fn record_end(&mut self, end: &AttemptEnd) {
        let is_rejected = end.outcome == Outcome::Overloaded;
        match end.connection_use {
            ConnectionUse::New if end.outcome != Outcome::Unreachable => {
                self.rejections_on_new.observe_event(is_rejected);
                self.adjust_lifetime(is_rejected);
            }
            ConnectionUse::Reused(_) => self.rejections_on_reused.observe_event(is_rejected),
            _ => {}
        }
    }

    fn adjust_lifetime(&mut self, is_rejected: bool) {
        let ratio = if is_rejected && self.are_slots_scarce() {
            self.lifetime_ratio * (1.0 - LIFETIME_DECREASE_RATIO)
        } else {
            self.lifetime_ratio + LIFETIME_INCREASE_RATIO
        };
        self.lifetime_ratio = ratio.clamp(MIN_LIFETIME_RATIO, 1.0);
    }

    /// Whether servers reject new connections for lack of slots, not because of overload.
    pub fn are_slots_scarce(&self) -> bool {
        let difference = self.rejections_on_new.value() - self.rejections_on_reused.value();
        difference > SCARCE_SLOTS_RATIO
    }

    /// How long a connection may stay idle. Closing a connection when its idle time has cost as
    /// much as a handshake costs at most twice the optimum, whatever the traffic. The lifetime is a
    /// part of that time, and shorter where slots are scarce.
    pub fn lifetime(&self, costs: ConnectionCosts, traffic: &FleetTraffic) -> Micros {
        if costs.connection <= 0.0 || traffic.ready_server_count < 1.0 {
            return Micros::MAX;
        }
        let per_server = traffic
            .mean_interarrival
            .scaled(PRICED_CONNECTION_COUNT * traffic.ready_server_count / traffic.router_count);
        per_server
            .scaled(costs.handshake / costs.connection * IDLE_COST_RATIO * self.lifetime_ratio)
    }
}
