//! May a request use a server's concurrency limit now?
//!
//! Inputs: the server's limit (requests in flight), its slow start, the request's priority weight, tenant share and
//! age (µs), recent traffic. Answer: yes or no for one server. Reason: limits keep servers out of overload; in
//! overload the requests that weigh most come first, a tenant over its share comes last, and the order is the same
//! at any size of fleet.

use crate::pending::PendingRequest;
use crate::server_table::Server;
use crate::settings::{Class, Rules, Settings};
use crate::time::Micros;
use crate::traffic_estimate::TrafficEstimate;
use std::cmp::Ordering;

/// Requests of at least this multiple of the mean priority weight are high-priority ones ...
const HIGH_PRIORITY_RATIO: f64 = 2.0;
/// ... and may use this multiple of a limit.
const HIGH_PRIORITY_MULTIPLIER: f64 = 1.5;
/// The ratio of a limit that a request may use whose answer comes after its latency objective, unless its late
/// weight is higher: it does not take the place of one that is in time.
const LATE_LIMIT_RATIO: f64 = 0.3;
/// A tenant that sends this multiple of its share, as odds against the others, is at or over its quota.
const OVER_SHARE_RATIO: f64 = 2.0;
/// The rank of a write: it can run anywhere and need not press into a server at capacity.
const WRITE_RANK: f64 = 0.5;
/// The least share, odds or ratio that is divided by.
const MIN_DENOMINATOR: f64 = 1e-3;

/// The priority of a request among others.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Priority {
    /// How much of a limit it may use, as a multiple.
    pub limit_multiplier: f64,
    /// The share of recent requests that rank below it, 0 to 1.
    pub rank: f64,
}

/// What priorities depend on besides the request.
#[derive(Clone, Copy)]
pub(crate) struct PriorityContext<'a> {
    pub settings: &'a Settings,
    pub traffic: &'a TrafficEstimate,
    pub now: Micros,
    /// How long hits take at any server.
    pub typical_latency: Micros,
}

impl PriorityContext<'_> {
    fn class(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class.0]
    }

    /// How much of a limit a request may use: more of high priority, less when late or of a tenant over its share.
    pub fn limit_multiplier(&self, pending: &PendingRequest) -> f64 {
        let class = self.class(pending);
        let high_weight = HIGH_PRIORITY_RATIO * self.traffic.mean_priority_weight();
        let mut multiplier = if class.priority_weight >= high_weight {
            HIGH_PRIORITY_MULTIPLIER
        } else {
            1.0
        };
        let due_at = pending.first_arrived_at.plus(class.latency_objective);
        if due_at < self.now.plus(self.typical_latency) {
            multiplier *= class.late_weight.max(LATE_LIMIT_RATIO);
        }
        match self.over_share_ratio(pending) {
            Some(ratio) => multiplier * (OVER_SHARE_RATIO / ratio.max(MIN_DENOMINATOR)).min(1.0),
            None => multiplier,
        }
    }

    /// How much a tenant sends against its share, as a ratio of odds.
    fn over_share_ratio(&self, pending: &PendingRequest) -> Option<f64> {
        let tenant = pending.request.tenant?;
        let sent_share = self.traffic.tenant_share(tenant)?;
        let odds = |share: f64| share / (1.0 - share).max(MIN_DENOMINATOR);
        let entitled_share = self.settings.tenants[tenant.0].share;
        Some(odds(sent_share) / odds(entitled_share).max(MIN_DENOMINATOR))
    }

    /// The priority of a request that has this limit multiplier.
    pub fn priority(&self, pending: &PendingRequest, limit_multiplier: f64) -> Priority {
        let rank = if pending.request.write {
            WRITE_RANK
        } else {
            self.priority_rank(pending, limit_multiplier)
        };
        Priority {
            limit_multiplier,
            rank,
        }
    }

    /// The share of recent requests that rank below a request, and half of those that rank the same.
    fn priority_rank(&self, pending: &PendingRequest, limit_multiplier: f64) -> f64 {
        let weight = self.class(pending).priority_weight * limit_multiplier.min(1.0);
        let share_below =
            |(class, share): (&Class, f64)| match class.priority_weight.total_cmp(&weight) {
                Ordering::Less => share,
                Ordering::Equal => share / 2.0,
                Ordering::Greater => 0.0,
            };
        self.settings
            .classes
            .iter()
            .zip(self.traffic.class_shares())
            .map(share_below)
            .sum()
    }
}

/// The limits of servers as they are now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits<'a> {
    pub now: Micros,
    pub rules: &'a Rules,
    /// The time between this router's requests to one server, if all got as many.
    pub interarrival_per_server: Micros,
}

impl ServerLimits<'_> {
    /// Whether one more request of this priority may be sent to a server, of whose limit `limit_ratio` may be used.
    /// Below one the limit is a pace, so that many routers together do not crowd the server.
    pub fn admits(&self, server: &Server, limit_ratio: f64, priority: &Priority) -> bool {
        let current_limit = self.current_limit(server);
        let usable = current_limit * limit_ratio * server.capacity_fraction(self.now, self.rules);
        let in_flight = f64::from(server.limit.in_flight);
        let has_slot = in_flight < usable * priority.limit_multiplier;
        has_slot && (usable >= 1.0 || self.is_on_pace(server, current_limit, usable, priority))
    }

    fn is_on_pace(
        &self,
        server: &Server,
        current_limit: f64,
        usable: f64,
        priority: &Priority,
    ) -> bool {
        let interval = self.send_interval(server, current_limit, usable);
        server
            .limit
            .may_send_at_pace(self.now, interval, priority.rank)
    }

    /// The time that a request takes up of the pace of a server; 0 where none holds.
    pub fn paced_interval(&self, server: &Server) -> Micros {
        let current_limit = self.current_limit(server);
        let usable = current_limit * server.capacity_fraction(self.now, self.rules);
        if usable < 1.0 {
            self.send_interval(server, current_limit, usable)
        } else {
            Micros(0)
        }
    }

    /// The limit of a server, in requests: at least one while it reports spare capacity, since a lower one is then
    /// out of date.
    fn current_limit(&self, server: &Server) -> f64 {
        let limit = server.limit.current(self.now);
        if server.queue.reports_spare_capacity(self.now) {
            limit.max(1.0)
        } else {
            limit
        }
    }

    /// The time between requests where `usable` is below one: a share of one at a time, or of what this router
    /// would send there if the server lacks capacity.
    fn send_interval(&self, server: &Server, current_limit: f64, usable: f64) -> Micros {
        let own_interval = if current_limit < 1.0 {
            self.interarrival_per_server
        } else {
            Micros(0)
        };
        server
            .typical_latency
            .max(own_interval)
            .scaled(1.0 / usable)
    }
}
