//! Which candidate takes a request?
//!
//! Inputs: the candidates in ring order, what the router knows of each, whether the request may be an origin fetch,
//! its priority, the use of the fleet. Answer: the first fit server and a [`CandidateVerdict`] for each candidate
//! that was offered. Reason: a key stays with its owner, where it is cached; it goes elsewhere only if the owner is
//! left out or at capacity and the fetch that this costs does less harm than waiting. A hot key has replicas, of
//! which each router uses one.

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

/// A key moves, where that takes a fetch, only to a server that uses less than this ratio of its limit; else the
/// fetch, and the keys that it evicts there, cost more than the move saves.
const MIGRATION_LIMIT_RATIO: f64 = 0.3;
/// Keys move while the other servers together use less than this ratio of their limits.
const FLEET_SPARE_RATIO: f64 = 0.5;
/// A server whose limit is below this ratio of the mean is in trouble itself: its keys may move even while the fleet
/// as a whole is in use.
const TROUBLED_LIMIT_RATIO: f64 = 0.6;
/// A hot key is spread over this multiple of the capacity that it needs: its replicas have their usual load too.
const HOT_KEY_SPARE_RATIO: f64 = 1.5;
/// Further attempts of all routers are spread over this many mean servers for each attempt before.
const RETRY_SPREAD_COUNT: f64 = 3.0;

/// What one candidate server was to a request: it took the request, or the reason why it was left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateVerdict {
    /// Takes the request: the ring owner, or this router's replica of a hot key.
    Owner,
    /// Takes the request in place of an owner that is left out, or because the key is known to be cached there.
    Diverted,
    /// Takes the request as an extra origin fetch, paid for with one retry token.
    DivertedWithRetryToken,
    /// Left out: an earlier attempt of this request went there.
    AlreadyAttempted,
    /// Left out: it serves only part of its arc, being slow or warming up, and this key lies outside that part.
    OutsidePartialArc,
    /// Left out: it is warming up, and its slow-start allowance is used up.
    SlowStartLimited,
    /// Left out: it does not respond.
    Unresponsive,
    /// Left out: the key is hot, and this router's replica of it lies further along the ring.
    HotKeyReplicaElsewhere,
    /// Left out: its concurrency limit is used up.
    AtCapacity,
    /// Left out: the request would most likely be an origin fetch, and those are limited.
    FetchLimited,
    /// Left out: the key stays with its owner although that one is at capacity.
    RetainedByOwner,
}

impl CandidateVerdict {
    /// All of them, in the order of [`crate::Diagnostics::verdicts`].
    pub const ALL: [CandidateVerdict; 11] = [
        CandidateVerdict::Owner,
        CandidateVerdict::Diverted,
        CandidateVerdict::DivertedWithRetryToken,
        CandidateVerdict::AlreadyAttempted,
        CandidateVerdict::OutsidePartialArc,
        CandidateVerdict::SlowStartLimited,
        CandidateVerdict::Unresponsive,
        CandidateVerdict::HotKeyReplicaElsewhere,
        CandidateVerdict::AtCapacity,
        CandidateVerdict::FetchLimited,
        CandidateVerdict::RetainedByOwner,
    ];

    /// The name in summary lines and traces. Operators' scripts read these names: they do not change.
    pub fn label(self) -> &'static str {
        match self {
            CandidateVerdict::Owner => "Home",
            CandidateVerdict::Diverted => "Moved",
            CandidateVerdict::DivertedWithRetryToken => "MovedPaid",
            CandidateVerdict::AlreadyAttempted => "Tried",
            CandidateVerdict::OutsidePartialArc => "InPart",
            CandidateVerdict::SlowStartLimited => "Cold",
            CandidateVerdict::Unresponsive => "Silent",
            CandidateVerdict::HotKeyReplicaElsewhere => "Hot",
            CandidateVerdict::AtCapacity => "Full",
            CandidateVerdict::FetchLimited => "NoFetch",
            CandidateVerdict::RetainedByOwner => "Stays",
        }
    }

    /// Whether the request went there.
    pub fn is_taken(self) -> bool {
        matches!(
            self,
            CandidateVerdict::Owner
                | CandidateVerdict::Diverted
                | CandidateVerdict::DivertedWithRetryToken
        )
    }
}

/// Counts of verdicts since the start, in the order of [`CandidateVerdict::ALL`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VerdictCounts {
    /// Candidates by what they were to requests.
    pub verdicts: [u64; CandidateVerdict::ALL.len()],
    /// Times that no server was found, by what stood in the way.
    pub unplaced: [u64; CandidateVerdict::ALL.len()],
}

/// How much of the fleet is in use: one pass over the accepting cache servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetUsage {
    /// The largest part of its arcs that a server takes.
    pub largest_arc_part: f64,
    /// Requests in flight.
    pub in_flight: f64,
    /// All concurrency limits together.
    pub total_limit: f64,
}

impl FleetUsage {
    /// Of the fleet now.
    pub fn of(
        servers: &ServerTable,
        now: Micros,
        rules: &Rules,
        weight_kind: WeightKind,
    ) -> FleetUsage {
        let mut usage = FleetUsage {
            largest_arc_part: 0.0,
            in_flight: 0.0,
            total_limit: 0.0,
        };
        for server in servers.accepting() {
            let relative_weight = servers.relative_weight(server, weight_kind);
            let arc_part = arc_part(server, relative_weight, now, rules);
            usage.largest_arc_part = usage.largest_arc_part.max(arc_part);
            usage.in_flight += f64::from(server.limit.in_flight);
            usage.total_limit += server.limit.limit;
        }
        usage
    }
}

/// The part of its arcs that a server takes, before it is held against the largest.
fn arc_part(server: &Server, relative_weight: f64, now: Micros, rules: &Rules) -> f64 {
    server.slow_start_progress(now, rules) * relative_weight.min(1.0)
}

/// Over how many mean servers a key with this share of all requests is spread; 0 if its owner can serve it alone.
/// Only whole doublings count: replicas that follow a small sample move, and each move is a fetch.
pub(crate) fn hot_key_replicas(key_share: f64, ready_servers: usize) -> f64 {
    let heat = HOT_KEY_SPARE_RATIO * key_share * ready_servers as f64;
    if heat < 1.0 {
        0.0
    } else {
        heat.log2().floor().exp2()
    }
}

/// How much server weight this router passes over before it uses a server, in mean servers (servers of mean weight): its own replica of a hot key, and for a
/// further attempt one of a few, so that all routers do not crowd the next server. `replica_offset` in [0, 1) is
/// the router's own.
pub(crate) fn replicas_to_pass(
    pending: &PendingRequest,
    replicas: f64,
    replica_offset: f64,
    ready_servers: usize,
) -> f64 {
    if pending.request.write {
        return 0.0;
    }
    let delivered = pending.attempts_delivered();
    let spread = replicas.max(RETRY_SPREAD_COUNT * delivered as f64);
    let others = (ready_servers - delivered.min(ready_servers)) as f64;
    replica_offset * spread.min(others)
}

/// The index of an origin that takes a request; for a router that fetches for itself. `chance` in [0, 1) lets a part
/// of the requests through while the limit of the origin is below one.
pub(crate) fn choose_origin(
    servers: &ServerTable,
    limit_multiplier: f64,
    chance: f64,
) -> Option<usize> {
    servers.iter().position(|server| {
        server.is_origin
            && server.is_accepting()
            && server.limit.has_capacity(limit_multiplier, chance)
    })
}

/// What holds for all candidates of a request.
pub(crate) struct PlacementInputs<'a> {
    pub pending: &'a PendingRequest,
    pub servers: &'a ServerTable,
    pub key_locations: &'a KeyLocations,
    pub now: Micros,
    /// What the weights of servers tell.
    pub weight_kind: WeightKind,
    /// The tightest latency objective of all classes.
    pub shortest_objective: Micros,
    pub slow_start: SlowStart<'a>,
    pub limits: ServerLimits<'a>,
    pub priority: Priority,
    /// Whether the request may be an origin fetch.
    pub fetch: FetchPermission,
    /// Whether a fetch away from the owner can be paid for.
    pub has_retry_token: bool,
    pub fleet: FleetUsage,
    /// Servers on the ring.
    pub ready_servers: usize,
}

/// The server found for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Placement {
    /// Index in the server table.
    pub server: usize,
    /// It costs a retry token.
    pub costs_retry_token: bool,
}

/// One walk over the candidates of a request: what does not change, and what the walk has passed.
pub(crate) struct CandidateWalk<'a> {
    inputs: PlacementInputs<'a>,
    /// No candidate was offered yet.
    is_at_owner: bool,
    /// None was offered yet that is not left out.
    is_before_first_fit: bool,
    /// Weight that is still to be passed over, in mean servers.
    replicas_left_to_pass: f64,
    /// The owner is left out, or may give keys away.
    may_move: bool,
    /// The first server passed over that was fit: better than none.
    fallback: Option<usize>,
}

impl<'a> CandidateWalk<'a> {
    /// A walk that passes over `replicas_to_pass` mean servers first.
    pub fn new(inputs: PlacementInputs<'a>, replicas_to_pass: f64) -> CandidateWalk<'a> {
        CandidateWalk {
            inputs,
            is_at_owner: true,
            is_before_first_fit: true,
            replicas_left_to_pass: replicas_to_pass,
            may_move: false,
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
            // The reason is the first candidate that lacked only capacity or a fetch, else the last.
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

    /// What one candidate is to the request; the first that is fit takes it.
    fn verdict(&mut self, index: usize) -> CandidateVerdict {
        let server = &self.inputs.servers[index];
        let is_owner = std::mem::take(&mut self.is_at_owner);
        let relative_weight = self
            .inputs
            .servers
            .relative_weight(server, self.inputs.weight_kind);
        if let Some(verdict) = self.inputs.left_out(index, relative_weight) {
            self.may_move |= self.is_before_first_fit;
            return verdict;
        }
        let is_cached = self.inputs.is_cached_at(index);
        if self.is_before_first_fit && self.replicas_left_to_pass >= relative_weight {
            self.replicas_left_to_pass -= relative_weight;
            self.consider_fallback(index, is_cached);
            return CandidateVerdict::HotKeyReplicaElsewhere;
        }
        if std::mem::take(&mut self.is_before_first_fit) {
            self.may_move |= self.inputs.may_give_keys_away(server);
            self.verdict_for_first_fit(server, is_owner, is_cached)
        } else {
            self.verdict_for_successor(server, is_cached)
        }
    }

    fn consider_fallback(&mut self, index: usize, is_cached: bool) {
        let may_serve = is_cached || self.inputs.fetch.at_owner;
        let is_fit = self.inputs.admit(&self.inputs.servers[index], 1.0) && may_serve;
        if is_fit && self.fallback.is_none() {
            self.fallback = Some(index);
        }
    }

    /// The first fit server keeps the key.
    fn verdict_for_first_fit(
        &self,
        server: &Server,
        is_owner: bool,
        is_cached: bool,
    ) -> CandidateVerdict {
        if !self.inputs.admit(server, 1.0) {
            CandidateVerdict::AtCapacity
        } else if !is_cached && !self.inputs.fetch.at_owner {
            CandidateVerdict::FetchLimited
        } else if is_owner {
            CandidateVerdict::Owner
        } else {
            CandidateVerdict::Diverted
        }
    }

    /// Past the first fit server a fetch is paid for, unless the key is known to be cached there. A write is a
    /// fetch at any server, so it is never an extra one.
    fn verdict_for_successor(&self, server: &Server, is_cached: bool) -> CandidateVerdict {
        let is_extra_fetch = !is_cached && !self.inputs.pending.request.write;
        let limit_ratio = if is_extra_fetch {
            MIGRATION_LIMIT_RATIO
        } else {
            1.0
        };
        if !self.inputs.admit(server, limit_ratio) {
            CandidateVerdict::AtCapacity
        } else if is_cached {
            CandidateVerdict::Diverted
        } else if !self.may_move {
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
    /// Why a candidate is left out before its limit is looked at. A server slower or colder than the best takes
    /// part of its arcs, and one that warms up stays within its allowance.
    fn left_out(&self, index: usize, relative_weight: f64) -> Option<CandidateVerdict> {
        let server = &self.servers[index];
        let rules = self.limits.rules;
        let threshold = self.pending.arc_fraction * self.fleet.largest_arc_part;
        if self.pending.was_delivered_to(index) {
            Some(CandidateVerdict::AlreadyAttempted)
        } else if threshold > arc_part(server, relative_weight, self.now, rules) {
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
        !self.pending.request.write && self.key_locations.is_at(position, index)
    }

    /// Whether the key may be fetched away from its owner: a write is fetched anyway, a read costs a retry token.
    fn may_fetch_elsewhere(&self) -> bool {
        self.fetch.elsewhere && (self.pending.request.write || self.has_retry_token)
    }

    fn admit(&self, server: &Server, limit_ratio: f64) -> bool {
        self.limits.admit(server, limit_ratio, &self.priority)
    }

    /// Whether keys may leave a server at capacity: while the rest of the fleet has capacity to spare, or if the
    /// server itself is in trouble. In a fleet at capacity each move would be a fetch that adds to the overload. A
    /// limit on few observations moves nothing but writes: many routers would scatter the keys.
    fn may_give_keys_away(&self, server: &Server) -> bool {
        let is_trusted = self.pending.request.write || server.limit.is_well_founded(self.now);
        if !is_trusted {
            return false;
        }
        let limit = server.limit.limit;
        let in_flight = f64::from(server.limit.in_flight);
        let ready_servers = (self.ready_servers as f64).max(1.0);
        let is_troubled = limit < TROUBLED_LIMIT_RATIO * self.fleet.total_limit / ready_servers;
        let others_in_flight = self.fleet.in_flight - in_flight;
        let others_limit = self.fleet.total_limit - limit;
        is_troubled || others_in_flight < FLEET_SPARE_RATIO * others_limit
    }
}
