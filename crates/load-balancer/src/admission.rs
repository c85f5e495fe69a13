//! Decides whether a request may use a server's concurrency limit now.
//!
//! The inputs are the server's limit (in requests in flight) and its slow start, the priority
//! weight, tenant share and age of the request, and the recent traffic of this router.
//!
//! Limits keep servers out of overload. During overload the requests with the highest weight are
//! admitted first and those of a tenant over its share last, and this order is the same whatever
//! the size of the fleet.

use crate::pending::PendingRequest;
use crate::server_table::Server;
use crate::settings::{Class, Rules, Settings};
use crate::time::Micros;
use crate::traffic_estimate::TrafficEstimate;
use std::cmp::Ordering;

/// A class is of high priority if its weight is at least this multiple of the mean priority weight
/// of requests.
const HIGH_PRIORITY_RATIO: f64 = 2.0;
/// The multiple of a limit that a request of high priority may use.
const HIGH_PRIORITY_MULTIPLIER: f64 = 1.5;
/// The ratio of a limit that a request may use if its answer would come after its latency
/// objective, unless the late weight of its class is higher. Such a request must not take the place
/// of one that can still be answered in time.
const LATE_LIMIT_RATIO: f64 = 0.3;
/// A tenant over its share is limited from this multiple of its share on. The multiple is a ratio
/// of odds: of this tenant's requests against those of all others.
const OVER_SHARE_RATIO: f64 = 2.0;
/// The rank of a write. A write can run at any server, so it does not need a high rank at a server
/// at capacity.
const WRITE_RANK: f64 = 0.5;
/// The smallest denominator: shares, odds and ratios below it count as this value.
const MIN_DENOMINATOR: f64 = 1e-3;

/// The priority of a request relative to other requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Priority {
    /// The multiple of a concurrency limit that the request may use.
    pub limit_multiplier: f64,
    /// The share of recent requests that rank below this one, 0 to 1.
    pub rank: f64,
}

/// The inputs to priorities other than the request itself.
#[derive(Clone, Copy)]
pub(crate) struct PriorityContext<'a> {
    pub settings: &'a Settings,
    pub traffic: &'a TrafficEstimate,
    pub now: Micros,
    /// The typical latency of hits over all servers.
    pub typical_latency: Micros,
}

impl PriorityContext<'_> {
    fn class(&self, pending: &PendingRequest) -> &Class {
        &self.settings.classes[pending.request.class.0]
    }

    /// The multiple of a limit that a request may use: higher for a class of high priority, lower
    /// for a late request or a tenant over its share.
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

    /// The ratio of the odds of a tenant's actual share of the requests to the odds of its
    /// configured share; `None` for a request without a tenant or with one that the settings do not
    /// name.
    fn over_share_ratio(&self, pending: &PendingRequest) -> Option<f64> {
        let tenant = pending.request.tenant?;
        let sent_share = self.traffic.tenant_share(tenant)?;
        let odds = |share: f64| share / (1.0 - share).max(MIN_DENOMINATOR);
        let entitled_share = self.settings.tenants[tenant.0].share;
        Some(odds(sent_share) / odds(entitled_share).max(MIN_DENOMINATOR))
    }

    /// The priority of a request with this limit multiplier.
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

    /// The share of recent requests that rank below a request, plus half of the share that ranks
    /// the same.
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

/// Evaluates the concurrency limits of servers at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits<'a> {
    pub now: Micros,
    pub rules: &'a Rules,
    /// The mean time between this router's requests to one server if its requests were spread
    /// evenly over all servers.
    pub interarrival_per_server: Micros,
}

impl ServerLimits<'_> {
    /// Whether one more request of this priority may be sent to a server if it may use
    /// `limit_ratio` of the server's limit. A usable limit below one paces the requests, so that
    /// many routers together do not overload the server.
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

    /// The interval between paced requests to a server; 0 if its requests are not paced.
    pub fn paced_interval(&self, server: &Server) -> Micros {
        let current_limit = self.current_limit(server);
        let usable = current_limit * server.capacity_fraction(self.now, self.rules);
        if usable < 1.0 {
            self.send_interval(server, current_limit, usable)
        } else {
            Micros(0)
        }
    }

    /// The limit of a server, in requests. It is at least one while the server reports spare
    /// capacity, because a lower limit is then out of date.
    fn current_limit(&self, server: &Server) -> f64 {
        let limit = server.limit.current(self.now);
        if server.queue.reports_spare_capacity(self.now) {
            limit.max(1.0)
        } else {
            limit
        }
    }

    /// The interval between requests if `usable`, the usable limit, is below one. It is derived
    /// from one request at a time, or from this router's usual rate to one server if the limit
    /// itself is below one.
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
