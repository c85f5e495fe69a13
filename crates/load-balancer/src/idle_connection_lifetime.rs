//! How long may a connection to a cache server stay idle, and do servers reject new ones for want of slots?
//!
//! Inputs: rejections on new and on reused connections, what connections and handshakes cost, the traffic. Answer:
//! a lifetime (µs). Reason: many routers that each keep a connection to each server fill the servers' connection
//! tables; the next one is rejected although the server has time to spare, and a router that takes this for
//! overload sends less there.

use crate::moving_average::MovingAverage;
use crate::request::{AttemptEnd, ConnectionUse, Outcome};
use crate::settings::ConnectionCosts;
use crate::time::Micros;

/// Attempts over which ratios of rejections are averaged.
const REJECTION_AVERAGE_COUNT: f64 = 16.0;
/// Slots are scarce where the ratio of rejections on new connections is higher by this: overload rejects both alike.
const SCARCE_SLOTS_RATIO: f64 = 0.1;
/// What one rejection for want of slots takes off the lifetime, as a ratio.
const LIFETIME_DECREASE_RATIO: f64 = 0.3;
/// What each other new connection adds to it, as a ratio of the longest.
const LIFETIME_INCREASE_RATIO: f64 = 0.003;
/// The shortest lifetime, as a ratio of the longest.
const MIN_LIFETIME_RATIO: f64 = 0.1;
/// Connections stay idle until that has cost this ratio of a handshake: a full table takes some of a server's
/// capacity before it rejects anybody.
const IDLE_COST_RATIO: f64 = 0.5;
/// Open connections to each server that [`ConnectionCosts::connection`] is the price of.
const PRICED_CONNECTION_COUNT: f64 = 100.0;

/// The traffic of a router over the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetTraffic {
    pub router_count: f64,
    pub ready_server_count: f64,
    /// The time between this router's requests.
    pub mean_interarrival: Micros,
}

/// Lifetime of idle connections, at whichever server: all have connection tables of about the same size.
#[derive(Debug)]
pub(crate) struct IdleConnectionLifetime {
    rejections_on_new: MovingAverage,
    rejections_on_reused: MovingAverage,
    /// The ratio of the longest lifetime that holds now.
    lifetime_ratio: f64,
}

impl IdleConnectionLifetime {
    /// Nothing is known.
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

    /// Whether servers reject new connections for want of slots, not for overload.
    pub fn are_slots_scarce(&self) -> bool {
        let difference = self.rejections_on_new.value() - self.rejections_on_reused.value();
        difference > SCARCE_SLOTS_RATIO
    }

    /// How long a connection may stay idle. Idleness that costs as much as a new connection is at most twice the
    /// best choice, whatever comes; the lifetime is a part of that, less where slots are scarce.
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
