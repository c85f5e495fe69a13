//! Chooses the server for a request among the candidates on the ring.
//!
//! The inputs are the candidates in ring order, this router's state of each server, the request's
//! fetch permission and priority, and how much of the fleet's capacity is in use. The result is the
//! first eligible server, and a [`CandidateVerdict`] for each candidate that was considered.
//!
//! A key stays with its owner, where it is cached. It goes to another server only if the owner is
//! excluded or at capacity and the extra origin fetch does less harm than rejecting the request. A
//! hot key has replicas on several servers, of which each router uses one.

use crate::admission::{Priority, ServerLimits};
use crate::key_locations::KeyLocations;
use crate::origin_fetch_limit::FetchPermission;
use crate::outlier::is_health_check_due;
use crate::pending::PendingRequest;
use crate::ring::Ring;
use crate::server_table::{Server, ServerTable};
use crate::settings::{Rules, WeightKind};
use crate::slow_start::SlowStart;
use crate::time::Micros;

/// A key migrates, if that takes an origin fetch, only to a server that uses less than this ratio
/// of its limit. On a busier server the fetch, and the keys that it evicts there, cost more than
/// the migration saves.
const MIGRATION_LIMIT_RATIO: f64 = 0.3;
/// Keys migrate while the other servers together use less than this ratio of their limits.
const FLEET_SPARE_RATIO: f64 = 0.5;
/// A server whose limit is below this ratio of the mean limit is degraded: its keys may migrate
/// even while the fleet as a whole is busy.
const DEGRADED_LIMIT_RATIO: f64 = 0.6;
/// A hot key is spread over this multiple of the capacity that it needs, because its replicas serve
/// their usual load as well.
const HOT_KEY_HEADROOM_RATIO: f64 = 1.5;
/// All routers together spread their retries of a request over this many servers of mean weight for
/// each attempt delivered so far.
const RETRY_SPREAD_SERVER_COUNT: f64 = 3.0;

/// The result of considering one candidate for a request: it takes the request, or the reason why
/// it does not.
///
/// An excluded candidate does not take the request whatever its concurrency limit. One that was
/// passed over lacks capacity or permission for an origin fetch, or another one is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateVerdict {
    /// Takes the request as the ring owner of the key or as this router's replica of a hot key.
    Owner,
    /// Takes the request instead of the owner, which is excluded or at capacity, or because the key
    /// is known to be cached here.
    Diverted,
    /// Takes the request at the cost of an extra origin fetch, which spends one retry token.
    DivertedWithRetryToken,
    /// Excluded: an earlier attempt of this request was delivered to this server.
    AlreadyAttempted,
    /// Excluded: the server serves only part of its arc, because it is small or warming up, and the
    /// key lies outside that part.
    OutsidePartialArc,
    /// Excluded: the server is warming up and has no slow-start allowance left for this request.
    SlowStartLimited,
    /// Excluded: the server is unresponsive, and its next health check is not due yet.
    Unresponsive,
    /// Passed over: this router uses a replica further along the ring, for a hot key or for a
    /// retry. If no later candidate takes the request, the first eligible one with this verdict
    /// does, and its verdict stays this one.
    ReplicaElsewhere,
    /// Passed over: the server's concurrency limit for requests of this priority is used up, or the
    /// request would cause an extra origin fetch here and the server is too busy for that.
    AtCapacity,
    /// Passed over: the request is likely to be an origin fetch, and the limit on fetches allows
    /// none here, or there is no retry token to pay for a fetch away from the owner.
    FetchLimited,
    /// Passed over: the key stays with its owner although the owner cannot take the request now.
    /// The rest of the fleet is too busy for keys to migrate, or the owner's limit rests on too few
    /// observations.
    RetainedByOwner,
}

impl CandidateVerdict {
    /// All verdicts, in the order of [`crate::Diagnostics::verdicts`].
    pub const ALL: [CandidateVerdict; 11] = [
        CandidateVerdict::Owner,
        CandidateVerdict::Diverted,
        CandidateVerdict::DivertedWithRetryToken,
        CandidateVerdict::AlreadyAttempted,
        CandidateVerdict::OutsidePartialArc,
        CandidateVerdict::SlowStartLimited,
        CandidateVerdict::Unresponsive,
        CandidateVerdict::ReplicaElsewhere,
        CandidateVerdict::AtCapacity,
        CandidateVerdict::FetchLimited,
        CandidateVerdict::RetainedByOwner,
    ];

    /// The label in summary lines and traces. Operators' scripts match these labels, so they must
    /// not change.
    pub fn label(self) -> &'static str {
        match self {
            CandidateVerdict::Owner => "Home",
            CandidateVerdict::Diverted => "Moved",
            CandidateVerdict::DivertedWithRetryToken => "MovedPaid",
            CandidateVerdict::AlreadyAttempted => "Tried",
            CandidateVerdict::OutsidePartialArc => "InPart",
            CandidateVerdict::SlowStartLimited => "Cold",
            CandidateVerdict::Unresponsive => "Silent",
            CandidateVerdict::ReplicaElsewhere => "Hot",
            CandidateVerdict::AtCapacity => "Full",
            CandidateVerdict::FetchLimited => "NoFetch",
            CandidateVerdict::RetainedByOwner => "Stays",
        }
    }

    /// Whether the candidate takes the request.
    pub fn is_taken(self) -> bool {
        matches!(
            self,
            CandidateVerdict::Owner
                | CandidateVerdict::Diverted
                | CandidateVerdict::DivertedWithRetryToken
        )
    }
}

/// Counts of verdicts since the router started, in the order of [`CandidateVerdict::ALL`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VerdictCounts {
    /// Candidates considered, by verdict.
    pub verdicts: [u64; CandidateVerdict::ALL.len()],
    /// How often no server was found for a request, by the verdict that explains it;
    /// [`CandidateVerdict::AlreadyAttempted`] also if there was no candidate at all.
    pub unplaced: [u64; CandidateVerdict::ALL.len()],
}

/// How much of the fleet's capacity is in use, summed over the accepting cache servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetUsage {
    /// The largest fraction of its arcs that any server takes.
    pub largest_arc_fraction: f64,
    /// Requests in flight to all of these servers.
    pub in_flight: f64,
    /// The sum of the concurrency limits.
    pub total_limit: f64,
}

impl FleetUsage {
    /// Sums up the state of the accepting cache servers at `now`.
    pub fn measure(
        servers: &ServerTable,
        now: Micros,
        rules: &Rules,
        weight_kind: WeightKind,
    ) -> FleetUsage {
        let mut usage = FleetUsage {
            largest_arc_fraction: 0.0,
            in_flight: 0.0,
            total_limit: 0.0,
        };
        for server in servers.accepting() {
            let relative_weight = servers.relative_weight(server, weight_kind);
            let served_arc_fraction = served_arc_fraction(server, relative_weight, now, rules);
            usage.largest_arc_fraction = usage.largest_arc_fraction.max(served_arc_fraction);
            usage.in_flight += f64::from(server.limit.in_flight);
            usage.total_limit += server.limit.limit;
        }
        usage
    }
}

/// The fraction of its arcs that a server takes, by its weight and its progress in slow start.
/// Placement compares it with the largest such fraction in the fleet.
fn served_arc_fraction(server: &Server, relative_weight: f64, now: Micros, rules: &Rules) -> f64 {
    server.slow_start_progress(now, rules) * relative_weight.min(1.0)
}

/// The number of servers of mean weight over which a key with this share of all requests is spread;
/// 0 if its owner can serve it alone. The number is rounded down to a power of two: replicas that
/// followed a small sample closely would keep moving, and each move is an origin fetch.
pub(crate) fn hot_key_replica_count(key_share: f64, ready_servers: usize) -> f64 {
    let servers_needed = HOT_KEY_HEADROOM_RATIO * key_share * ready_servers as f64;
    if servers_needed < 1.0 {
        0.0
    } else {
        servers_needed.log2().floor().exp2()
    }
}

/// The server weight that this router skips before it uses a server, in units of the mean weight.
/// For a hot key this selects the router's own replica; for a retry it selects one of several
/// servers, so that the routers do not all overload the next server on the ring. `replica_offset`
/// in [0, 1) differs from router to router.
pub(crate) fn replica_weight_to_skip(
    pending: &PendingRequest,
    replica_count: f64,
    replica_offset: f64,
    ready_servers: usize,
) -> f64 {
    if pending.request.write {
        return 0.0;
    }
    let delivered = pending.attempts_delivered();
    let spread = replica_count.max(RETRY_SPREAD_SERVER_COUNT * delivered as f64);
    let other_servers = (ready_servers - delivered.min(ready_servers)) as f64;
    replica_offset * spread.min(other_servers)
}

/// The index of an origin that takes a request, for a router that fetches from the origin itself.
/// `random_fraction` in [0, 1) admits only a part of the requests while the origin's limit is below
/// one.
pub(crate) fn choose_origin(
    servers: &ServerTable,
    limit_multiplier: f64,
    random_fraction: f64,
) -> Option<usize> {
    servers.iter().position(|server| {
        server.is_origin
            && server.is_accepting()
            && server.limit.has_capacity(limit_multiplier, random_fraction)
    })
}

/// The inputs that are the same for all candidates of a request.
pub(crate) struct PlacementInputs<'a> {
    pub pending: &'a PendingRequest,
    pub servers: &'a ServerTable,
    pub key_locations: &'a KeyLocations,
    pub now: Micros,
    /// What the weights on the endpoint list mean.
    pub weight_kind: WeightKind,
    /// The shortest latency objective of all classes.
    pub shortest_objective: Micros,
    pub slow_start: SlowStart<'a>,
    pub limits: ServerLimits<'a>,
    pub priority: Priority,
    pub fetch: FetchPermission,
    /// Whether a retry token is available to pay for a fetch away from the owner.
    pub has_retry_token: bool,
    pub fleet: FleetUsage,
    /// The number of servers on the ring.
    pub ready_servers: usize,
}

/// The server chosen for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    /// The server's index in the server table.
    pub server: usize,
    /// Whether the attempt spends a retry token.
    pub costs_retry_token: bool,
}

/// One walk over the candidates of a request: its inputs and its progress.
pub(crate) struct CandidateWalk<'a> {
    inputs: PlacementInputs<'a>,
    /// Whether no candidate has been considered yet.
    is_first_candidate: bool,
    /// Whether every candidate so far was either excluded or skipped in favor of this router's
    /// replica.
    is_before_first_eligible: bool,
    /// The server weight that is still to be skipped, in units of the mean weight.
    replica_weight_left_to_skip: f64,
    /// Whether the key may migrate: the owner is excluded, or its keys may leave it.
    may_migrate: bool,
    /// The first eligible server among those skipped in favor of this router's replica. It takes
    /// the request if no other server does.
    fallback: Option<usize>,
}

impl<'a> CandidateWalk<'a> {
    /// Creates a walk that skips servers of this total weight first.
    pub fn new(inputs: PlacementInputs<'a>, replica_weight_to_skip: f64) -> CandidateWalk<'a> {
        CandidateWalk {
            inputs,
            is_first_candidate: true,
            is_before_first_eligible: true,
            replica_weight_left_to_skip: replica_weight_to_skip,
            may_migrate: false,
            fallback: None,
        }
    }

    /// Walks along the ring until a candidate takes the request, and counts the verdicts.
    pub fn run(mut self, ring: &Ring, counts: &mut VerdictCounts) -> Option<Placement> {
        let position = self.inputs.pending.ring_position;
        let table_len = self.inputs.servers.len();
        let mut reason = CandidateVerdict::AlreadyAttempted;
        let found = ring.find_candidate(position, table_len, |server| {
            let verdict = self.verdict(server);
            counts.verdicts[verdict as usize] += 1;
            // The reported reason is the first one that is a lack of capacity or of fetch
            // permission, else the last one.
            let lacks_capacity = matches!(
                reason,
                CandidateVerdict::AtCapacity | CandidateVerdict::FetchLimited
            );
            if !lacks_capacity {
                reason = verdict;
            }
            verdict.is_taken().then_some(Placement {
                server,
                costs_retry_token: verdict == CandidateVerdict::DivertedWithRetryToken,
            })
        });
        let fallback = self.fallback.map(|server| Placement {
            server,
            costs_retry_token: false,
        });
        if found.is_none() && fallback.is_none() {
            counts.unplaced[reason as usize] += 1;
        }
        found.or(fallback)
    }

    /// The verdict for the next candidate. The walk ends with the first one that takes the request.
    fn verdict(&mut self, index: usize) -> CandidateVerdict {
        let server = &self.inputs.servers[index];
        let is_owner = std::mem::take(&mut self.is_first_candidate);
        let relative_weight = self
            .inputs
            .servers
            .relative_weight(server, self.inputs.weight_kind);
        if let Some(verdict) = self.inputs.exclusion_verdict(index, relative_weight) {
            self.may_migrate |= self.is_before_first_eligible;
            return verdict;
        }
        let is_cached = self.inputs.is_cached_at(index);
        if self.is_before_first_eligible && self.replica_weight_left_to_skip >= relative_weight {
            self.replica_weight_left_to_skip -= relative_weight;
            self.consider_fallback(index, is_cached);
            return CandidateVerdict::ReplicaElsewhere;
        }
        if std::mem::take(&mut self.is_before_first_eligible) {
            self.may_migrate |= self.inputs.may_migrate_keys_from(server);
            self.verdict_for_first_eligible(server, is_owner, is_cached)
        } else {
            self.verdict_for_successor(server, is_cached)
        }
    }

    fn consider_fallback(&mut self, index: usize, is_cached: bool) {
        let may_serve = is_cached || self.inputs.fetch.at_owner;
        let is_eligible = self.inputs.admits(&self.inputs.servers[index], 1.0) && may_serve;
        if is_eligible && self.fallback.is_none() {
            self.fallback = Some(index);
        }
    }

    /// The verdict for the first eligible server, to which the key belongs while the servers before
    /// it are excluded.
    fn verdict_for_first_eligible(
        &self,
        server: &Server,
        is_owner: bool,
        is_cached: bool,
    ) -> CandidateVerdict {
        if !self.inputs.admits(server, 1.0) {
            CandidateVerdict::AtCapacity
        } else if !is_cached && !self.inputs.fetch.at_owner {
            CandidateVerdict::FetchLimited
        } else if is_owner {
            CandidateVerdict::Owner
        } else {
            CandidateVerdict::Diverted
        }
    }

    /// The verdict for a server beyond the first eligible one. An origin fetch there costs a retry
    /// token, unless the key is known to be cached there. A write is a fetch at any server, so that
    /// it is never an extra one.
    fn verdict_for_successor(&self, server: &Server, is_cached: bool) -> CandidateVerdict {
        let is_extra_fetch = !is_cached && !self.inputs.pending.request.write;
        let limit_ratio = if is_extra_fetch {
            MIGRATION_LIMIT_RATIO
        } else {
            1.0
        };
        if !self.inputs.admits(server, limit_ratio) {
            CandidateVerdict::AtCapacity
        } else if is_cached {
            CandidateVerdict::Diverted
        } else if !self.may_migrate {
            CandidateVerdict::RetainedByOwner
        } else if !self.inputs.may_fetch_elsewhere() {
            CandidateVerdict::FetchLimited
        } else if is_extra_fetch {
            CandidateVerdict::DivertedWithRetryToken
        } else {
            CandidateVerdict::Diverted
        }
    }
}

impl PlacementInputs<'_> {
    /// The reason for which a candidate is excluded whatever its concurrency limit, if there is
    /// one. A server that is smaller or colder than the best takes only part of its arcs, and a
    /// server that is warming up has to stay within its slow-start allowance.
    fn exclusion_verdict(&self, index: usize, relative_weight: f64) -> Option<CandidateVerdict> {
        let server = &self.servers[index];
        let rules = self.limits.rules;
        let threshold = self.pending.arc_fraction * self.fleet.largest_arc_fraction;
        if self.pending.was_delivered_to(index) {
            Some(CandidateVerdict::AlreadyAttempted)
        } else if threshold > served_arc_fraction(server, relative_weight, self.now, rules) {
            Some(CandidateVerdict::OutsidePartialArc)
        } else if !self
            .slow_start
            .allows(server, self.pending.request.cost_hint)
        {
            Some(CandidateVerdict::SlowStartLimited)
        } else if self.is_avoided(server) {
            Some(CandidateVerdict::Unresponsive)
        } else {
            None
        }
    }

    fn is_avoided(&self, server: &Server) -> bool {
        server.is_unresponsive(self.now, self.shortest_objective)
            && !is_health_check_due(self.now, server.last_sent_at, self.shortest_objective)
    }

    fn is_cached_at(&self, index: usize) -> bool {
        let position = self.pending.ring_position;
        !self.pending.request.write && self.key_locations.contains(position, index)
    }

    /// Whether the key may be fetched by a server other than its owner. A write is a fetch at any
    /// server; for a read the extra fetch costs a retry token.
    fn may_fetch_elsewhere(&self) -> bool {
        self.fetch.elsewhere && (self.pending.request.write || self.has_retry_token)
    }

    fn admits(&self, server: &Server, limit_ratio: f64) -> bool {
        self.limits.admits(server, limit_ratio, &self.priority)
    }

    /// Whether keys may migrate from a server at capacity: while the rest of the fleet has spare
    /// capacity, or if this server is degraded. In a fleet at capacity each migration would be a
    /// fetch that adds to the overload. On a limit with few observations only writes migrate,
    /// because many routers would otherwise scatter the keys over the fleet.
    fn may_migrate_keys_from(&self, server: &Server) -> bool {
        let may_act_on_limit = self.pending.request.write || server.limit.is_reliable(self.now);
        if !may_act_on_limit {
            return false;
        }
        let limit = server.limit.limit;
        let in_flight = f64::from(server.limit.in_flight);
        let ready_servers = (self.ready_servers as f64).max(1.0);
        let is_degraded = limit < DEGRADED_LIMIT_RATIO * self.fleet.total_limit / ready_servers;
        let others_in_flight = self.fleet.in_flight - in_flight;
        let others_limit = self.fleet.total_limit - limit;
        is_degraded || others_in_flight < FLEET_SPARE_RATIO * others_limit
    }
}
