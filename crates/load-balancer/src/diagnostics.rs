//! The state of a router as numbers for traces and metrics. No decision depends on them.

use crate::admin_overrides::AdminOverride;
use crate::availability::Availability;
use crate::idle_connection_lifetime::FleetTraffic;
use crate::ids::ServerId;
use crate::placement::CandidateVerdict;
use crate::router::Router;
use crate::server_table::Server;
use crate::time::Micros;

/// The quantities that determine how much a router sends, and where.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Diagnostics {
    /// Number of requests without a final answer or with an attempt in flight.
    pub pending_requests: usize,
    /// Number of attempts in flight that are probably origin fetches.
    pub fetches_in_flight: u32,
    /// Limit on origin fetches in flight.
    pub fetch_limit: f64,
    /// Ratio of recent probable fetches that were misses, as the mean over popularity levels.
    pub miss_ratio: f64,
    /// Ratio of the unattributed failures that came late.
    pub late_failure_ratio: f64,
    /// Available retry tokens; a retry costs one.
    pub retry_tokens: f64,
    /// Typical latency of hits.
    pub typical_hit_latency: Micros,
    /// Number of attempts in flight to accepting servers.
    pub attempts_in_flight: u32,
    /// The smallest concurrency limit of an accepting server; 0 without one.
    pub limit_min: f64,
    /// The mean concurrency limit of the accepting servers; 0 without one.
    pub limit_mean: f64,
    /// The largest concurrency limit of an accepting server; 0 without one.
    pub limit_max: f64,
    /// Number of accepting servers.
    pub accepting_servers: usize,
    /// Number of accepting servers that report spare capacity.
    pub servers_with_spare_capacity: usize,
    /// Number of candidates by verdict since the start, in the order of [`CandidateVerdict::ALL`].
    pub verdicts: [u64; CandidateVerdict::ALL.len()],
    /// Number of times that no server was found for a request, by verdict, in the same order;
    /// [`CandidateVerdict::AlreadyAttempted`] also counts those without any candidate.
    pub unplaced: [u64; CandidateVerdict::ALL.len()],
}

/// The sizes of the tables of a [`Router`], for metrics and tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TrackedCounts {
    /// Number of requests without a final answer or with an attempt in flight.
    pub requests: usize,
    /// Number of servers, including those that recently left the endpoint list.
    pub servers: usize,
}

impl Router {
    /// The current state of this router.
    pub fn diagnostics(&self) -> Diagnostics {
        let limits = || self.servers.accepting().map(|s| s.limit.current(self.now));
        let accepting_servers = limits().count();
        let limit_sum = limits().sum::<f64>();
        let limit_min = if accepting_servers == 0 {
            0.0
        } else {
            limits().fold(f64::INFINITY, f64::min)
        };
        let miss_ratios = self.origin_fetches.miss_ratios();
        let in_flight = self.servers.accepting().map(|s| s.limit.in_flight);
        let servers_with_spare_capacity = self
            .servers
            .accepting()
            .filter(|s| s.queue.reports_spare_capacity(self.now));
        Diagnostics {
            pending_requests: self.pending.len(),
            fetches_in_flight: self.origin_fetches.in_flight,
            fetch_limit: self.origin_fetches.limit,
            miss_ratio: miss_ratios.iter().sum::<f64>() / miss_ratios.len() as f64,
            late_failure_ratio: self.failure_attribution.late_failure_ratio(),
            retry_tokens: self.retry_budget.tokens(),
            typical_hit_latency: self.typical_latency,
            attempts_in_flight: in_flight.sum(),
            limit_min,
            limit_mean: limit_sum / accepting_servers.max(1) as f64,
            limit_max: limits().fold(0.0, f64::max),
            accepting_servers,
            servers_with_spare_capacity: servers_with_spare_capacity.count(),
            verdicts: self.verdict_counts.verdicts,
            unplaced: self.verdict_counts.unplaced,
        }
    }

    /// Number of listed cache servers that this router avoids: disabled by an operator, or
    /// unresponsive.
    pub fn avoided_endpoints(&self) -> usize {
        let is_avoided = |server: &&Server| match server.availability() {
            Availability::Disabled => true,
            Availability::Accepting => server.is_unresponsive(self.now, self.shortest_objective),
            Availability::Draining | Availability::AddressTaken | Availability::Removed => false,
        };
        let cache_servers = self.servers.iter().filter(|server| !server.is_origin);
        cache_servers.filter(is_avoided).count()
    }

    /// Number of listed cache servers, without those whose address another process has.
    pub fn listed_endpoints(&self) -> usize {
        let has_address = |server: &&Server| {
            !matches!(
                server.availability(),
                Availability::AddressTaken | Availability::Removed
            ) && !server.claim.is_superseded
        };
        self.servers.iter().filter(has_address).count()
    }

    /// Number of servers that are listed as ready and not used, since another process has their
    /// address.
    pub fn endpoints_without_address(&self) -> usize {
        let is_without = |server: &&Server| server.availability() == Availability::AddressTaken;
        self.servers.iter().filter(is_without).count()
    }

    /// The availability of a server; `None` if this router does not know it.
    pub fn availability(&self, server: &ServerId) -> Option<Availability> {
        let index = self.servers.index_of(&server.0)?;
        Some(self.servers[index].availability())
    }

    /// The servers with an admin override, to be handed over to a successor or stored.
    pub fn admin_overrides(&self) -> impl Iterator<Item = (&ServerId, AdminOverride)> {
        self.admin_overrides.iter()
    }

    /// Number of requests and servers that the router tracks.
    pub fn tracked_counts(&self) -> TrackedCounts {
        TrackedCounts {
            requests: self.pending.len(),
            servers: self.servers.len(),
        }
    }

    /// How long a connection to a server may stay idle before it is to be closed.
    pub fn idle_connection_lifetime(&self) -> Micros {
        let traffic = FleetTraffic {
            router_count: f64::from(self.settings.routers),
            ready_server_count: self.ring.server_count() as f64,
            mean_interarrival: self.traffic.mean_interarrival(),
        };
        self.idle_connections
            .lifetime(self.settings.connection_costs, &traffic)
    }
}
