//! Adjusts a server's limit and the limit on origin fetches to the end of an attempt.
//!
//! The inputs are how the attempt ended and after what time (µs), whether it counted as a fetch,
//! the latency objective (µs), and the state of both limits. The result is an adjustment of the
//! server's limit for one cause, and an adjustment of the fetch limit.
//!
//! The latency of hits depends on the server. What fetches take beyond that, and their failures,
//! depend on the origin. Neither limit must be reduced for the other's fault.

use crate::concurrency_limit::{INITIAL_TOTAL_IN_FLIGHT, LIMIT_DECREASE_RATIO, SLOW_RATIO};
use crate::origin_fetch_limit::OriginFetchLimit;
use crate::pending::Attempt;
use crate::request::{AttemptEnd, CacheStatus, ConnectionUse, Outcome};
use crate::server_table::Server;
use crate::settings::Class;
use crate::time::Micros;

/// The limit that a server keeps if it fails or rejects everything. It lets a few requests through
/// as probes, which show when the server has recovered.
const PROBE_LIMIT: f64 = 0.05;
/// All routers together still have this many requests in flight at an overloaded server, and each
/// router at most one.
const MIN_TOTAL_IN_FLIGHT: f64 = 4.0;
/// The number of answers over which the typical latency is averaged.
const LATENCY_SPAN: u64 = 8;
/// The number of answers over which the typical latency is averaged in a large fleet of routers,
/// where each router sees too few answers to average them.
const LATENCY_SPAN_MANY_ROUTERS: u64 = 1;

/// A timeout shows something about a server only if the attempt had this fraction of its class's
/// deadline, or the time after which an answer is slow.
const TELLING_DEADLINE_RATIO: f64 = 0.5;

/// An attempt, and how it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedAttempt {
    pub attempt: Attempt,
    pub end: AttemptEnd,
}

/// Whether an attempt suggests that its key is hotter than its share of the requests shows: the
/// answer was lost or slow, and not because of a handshake.
pub(crate) fn suggests_hot_key(end: &AttemptEnd, latency_objective: Micros) -> bool {
    let is_slow = end.elapsed > latency_objective.scaled(SLOW_RATIO);
    is_slow && end.connection_use != ConnectionUse::New
}

/// Whether an attempt timed out after so little time that this shows nothing about its server, its
/// connection or its key. The deadline is the client's choice: with very little time any server times
/// out.
pub(crate) fn had_too_little_time(end: &AttemptEnd, class: &Class) -> bool {
    let slow_latency = class.latency_objective.scaled(SLOW_RATIO);
    let telling_time = slow_latency.min(class.deadline.scaled(TELLING_DEADLINE_RATIO));
    end.outcome == Outcome::TimedOut && !end.response_started && end.elapsed < telling_time
}

/// The inputs to feedback other than the attempt and its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedbackContext {
    pub now: Micros,
    pub router_count: f64,
    /// The shortest latency objective of all classes.
    pub shortest_objective: Micros,
    /// The latency objective of the request's class.
    pub latency_objective: Micros,
    /// The typical latency of hits over all servers.
    pub typical_latency: Micros,
    /// Whether servers reject new connections because they have no free connection slots.
    pub are_slots_scarce: bool,
    /// Whether an origin that is overloaded stops for some seconds.
    pub origin_collapses_under_overload: bool,
}

impl FeedbackContext {
    /// Whether there are so many routers that each sees too few answers of a server to learn in
    /// time.
    fn has_many_routers(&self) -> bool {
        self.router_count > INITIAL_TOTAL_IN_FLIGHT
    }

    fn min_limit(&self) -> f64 {
        (MIN_TOTAL_IN_FLIGHT / self.router_count).min(1.0)
    }

    /// The latency above which an answer is slow.
    fn slow_latency(&self) -> Micros {
        self.latency_objective.scaled(SLOW_RATIO)
    }
}

/// The one cause for which a server's limit is adjusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerSignal {
    /// The end of the attempt shows nothing about the server.
    NoSignal,
    /// An origin answered a router that fetches from the origin itself.
    OriginLatency,
    /// The latency of the answer shows whether requests wait at the server.
    Latency,
    /// The server rejects requests or cannot be reached.
    Unavailable,
}

/// The end of one attempt, with the state of the limits before they are adjusted to it.
pub(crate) struct AttemptFeedback<'a> {
    end: &'a AttemptEnd,
    context: FeedbackContext,
    is_fetch: bool,
    popularity: usize,
    /// How much longer the attempt took than a hit at that server.
    latency_beyond_hit: Micros,
    is_served: bool,
    is_timed_out: bool,
    /// Whether the server lacked the object, as far as it reported that.
    is_miss: bool,
    /// Whether a cache server served the attempt without a fetch.
    is_hit: bool,
    is_quick: bool,
    /// Whether the attempt was served on a new connection, so that its time includes a handshake.
    has_handshake: bool,
    /// Whether the server failed to respond several times in a row.
    has_failed_repeatedly: bool,
    /// Whether a timeout of this attempt is attributed to the origin.
    is_attributed_to_origin: bool,
}

impl<'a> AttemptFeedback<'a> {
    /// Creates the feedback of an attempt that ended at `server`. The server's responsiveness must
    /// already be up to date.
    pub fn new(
        ended: &'a EndedAttempt,
        server: &Server,
        origin_fetches: &OriginFetchLimit,
        context: FeedbackContext,
    ) -> AttemptFeedback<'a> {
        let EndedAttempt { attempt, end } = ended;
        let is_served = end.outcome == Outcome::Success;
        let is_miss = matches!(
            end.cache_status,
            Some(CacheStatus::Miss | CacheStatus::MissPending)
        );
        let has_failed_repeatedly = server.responsiveness.has_failed_repeatedly();
        let is_in_time = end.elapsed <= context.slow_latency();
        AttemptFeedback {
            end,
            context,
            is_fetch: attempt.is_fetch,
            popularity: attempt.popularity,
            latency_beyond_hit: end.elapsed.since(server.typical_latency),
            is_served,
            is_timed_out: end.outcome == Outcome::TimedOut,
            is_miss,
            is_hit: is_served && !is_miss && !server.is_origin,
            // A quick miss also shows that a server has recovered, because most answers may be
            // misses.
            is_quick: is_in_time && (is_served || end.outcome == Outcome::Miss),
            has_handshake: end.connection_use == ConnectionUse::New && is_served,
            has_failed_repeatedly,
            is_attributed_to_origin: !has_failed_repeatedly
                && is_origin_suspected(attempt.is_fetch, origin_fetches, &context),
        }
    }

    /// Adjusts the server's limit for the one cause that the end shows.
    pub fn apply_to_server(&self, server: &mut Server) {
        match self.server_signal(server) {
            ServerSignal::NoSignal => {}
            ServerSignal::OriginLatency => self.apply_origin_latency(server),
            ServerSignal::Latency => self.apply_latency(server),
            ServerSignal::Unavailable => self.apply_unavailable(server),
        }
    }

    fn server_signal(&self, server: &Server) -> ServerSignal {
        let is_below_initial = server.limit.limit < server.limit.initial;
        let is_recovering = self.is_quick && is_below_initial;
        let is_late_at_server = self.is_timed_out && !self.is_attributed_to_origin;
        match self.end.outcome {
            Outcome::Cancelled | Outcome::NotSent => ServerSignal::NoSignal,
            Outcome::Overloaded if self.lacks_connection_slot() => ServerSignal::NoSignal,
            _ if server.is_origin => ServerSignal::OriginLatency,
            // A handshake (TLS, a long round trip, a busy listener) must not be mistaken for a slow
            // server. A server that closes each connection after one answer is judged by timeouts
            // and rejections alone.
            _ if self.has_handshake && !self.is_quick => ServerSignal::NoSignal,
            _ if self.is_hit || is_recovering || is_late_at_server => ServerSignal::Latency,
            // A single connection may be reset at any server. The next attempt shows whether the
            // server is down.
            Outcome::Unreachable if !self.has_failed_repeatedly => ServerSignal::NoSignal,
            Outcome::Overloaded | Outcome::Unreachable => ServerSignal::Unavailable,
            _ => ServerSignal::NoSignal,
        }
    }

    /// Whether a new connection was rejected because there was no free connection slot, which shows
    /// nothing about the work that the server has.
    fn lacks_connection_slot(&self) -> bool {
        self.end.connection_use == ConnectionUse::New && self.context.are_slots_scarce
    }

    /// The queue of an origin must be shorter than the shortest objective of the requests that may
    /// wait in it.
    fn apply_origin_latency(&self, server: &mut Server) {
        let is_late = self.end.elapsed > self.context.shortest_objective || !self.is_served;
        server
            .limit
            .record_answer(self.context.now, is_late, PROBE_LIMIT);
    }

    /// An answer later than the objective shows a queue whatever the server reports, because the
    /// server may be slow by itself.
    fn apply_latency(&self, server: &mut Server) {
        let now = self.context.now;
        let objective = self.context.latency_objective;
        let elapsed = self.end.elapsed;
        let latency = if self.is_timed_out {
            elapsed.scaled(2.0)
        } else {
            elapsed
        };
        server.queue.record_latency(latency);
        let shows_queue = elapsed > objective || server.queue.has_queue(now, objective);
        let is_slow = elapsed > self.context.slow_latency() && shows_queue;
        let min_limit = self.context.min_limit();
        server
            .limit
            .record_answer(now, self.is_timed_out || is_slow, min_limit);
        if !self.has_handshake {
            let span = if self.context.has_many_routers() {
                LATENCY_SPAN_MANY_ROUTERS
            } else {
                LATENCY_SPAN
            };
            server.typical_latency = server.typical_latency.toward(elapsed, span);
        }
    }

    fn apply_unavailable(&self, server: &mut Server) {
        let min_limit = PROBE_LIMIT * self.context.min_limit();
        server.limit.record_rejection(self.context.now, min_limit);
        server.typical_latency = server.typical_latency.max(self.context.typical_latency);
        if self.end.outcome == Outcome::Unreachable {
            server.possible_restart_at = self.context.now;
        }
    }

    /// The typical latency of hits over all servers, including this answer.
    pub fn updated_typical_latency(&self) -> Micros {
        if self.is_hit && !self.has_handshake {
            let typical_latency = self.context.typical_latency;
            typical_latency.toward(self.end.elapsed, LATENCY_SPAN)
        } else {
            self.context.typical_latency
        }
    }

    /// Adjusts the limit on origin fetches.
    pub fn apply_to_origin(&self, origin_fetches: &mut OriginFetchLimit) {
        if !self.is_fetch {
            return;
        }
        if self.is_served && self.end.cache_status.is_some() {
            origin_fetches.record_cache_status(self.popularity, self.is_miss);
        }
        match self.end.outcome {
            Outcome::Success => self.apply_served_fetch(origin_fetches),
            Outcome::TimedOut => self.apply_late_fetch(origin_fetches),
            Outcome::Failure => self.apply_failed_fetch(origin_fetches),
            _ => {}
        }
    }

    fn sent_at(&self) -> Micros {
        self.context.now.since(self.end.elapsed)
    }

    /// A late answer on a new connection may be late because of its handshake and is not recorded.
    fn apply_served_fetch(&self, origin_fetches: &mut OriginFetchLimit) {
        let is_in_time = self.latency_beyond_hit <= self.context.latency_objective;
        let is_known_hit = self.end.cache_status == Some(CacheStatus::Hit);
        let is_late_by_handshake = self.has_handshake && !is_in_time;
        if !is_known_hit && !is_late_by_handshake {
            origin_fetches.record_served(self.sent_at(), self.latency_beyond_hit, is_in_time);
        }
    }

    fn apply_late_fetch(&self, origin_fetches: &mut OriginFetchLimit) {
        if self.is_attributed_to_origin {
            let is_in_time = self.latency_beyond_hit <= self.context.slow_latency();
            origin_fetches.record_abandoned(
                self.context.now,
                self.end.elapsed,
                self.latency_beyond_hit,
                is_in_time,
            );
        } else if !self.has_failed_repeatedly {
            origin_fetches.record_late_at_server();
        }
    }

    /// A quick error cost the origin nothing and is not recorded, unless overload makes this origin
    /// stop.
    fn apply_failed_fetch(&self, origin_fetches: &mut OriginFetchLimit) {
        let is_slow = self.latency_beyond_hit > self.context.slow_latency();
        if self.is_miss && (is_slow || self.context.origin_collapses_under_overload) {
            origin_fetches.record_failed(self.sent_at());
        }
    }
}

/// Whether a request that times out is attributed to the origin. In a large fleet of routers, where
/// each router sees few answers, this requires that fetches have failed before.
fn is_origin_suspected(
    is_fetch: bool,
    origin_fetches: &OriginFetchLimit,
    context: &FeedbackContext,
) -> bool {
    let has_many_routers = context.has_many_routers();
    let healthy_limit = if has_many_routers {
        1.0 - LIMIT_DECREASE_RATIO
    } else {
        origin_fetches.initial
    };
    let is_limit_reduced = origin_fetches.limit < healthy_limit;
    is_limit_reduced || (is_fetch && (!has_many_routers || origin_fetches.is_slow()))
}
