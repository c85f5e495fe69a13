//! Retries: whether a request may have a further attempt, and the timeout of an attempt.
//!
//! The rules depend on the attempts of the request, its class (idempotency, latency objective), its
//! deadline and the available retry tokens. They return whether an attempt may be sent, its
//! timeout, and the time left in the deduplication window. All times are in microseconds.
//!
//! Three checks apply before a retry is sent. When an attempt ends, [`has_time_for_retry`] and
//! [`admit_retry`] decide whether to look for another server. Before the next attempt is sent to
//! the chosen server, [`may_send_attempt`] and [`idempotency_allows`] are checked.
//!
//! Retries help against single failures but multiply the load when many attempts fail, so each
//! successful attempt earns a part of a retry token and each retry costs one. A request that may
//! have run is only sent again where its idempotency allows it.

use crate::endpoint::Endpoint;
use crate::pending::PendingRequest;
use crate::request::{AttemptEnd, Outcome};
use crate::server_table::Server;
use crate::settings::{Class, DeduplicationScope, Idempotency, Limits};
use crate::time::Micros;

/// Retry tokens earned by one success. In the long run retries add at most this ratio to the load.
const TOKENS_PER_SUCCESS: f64 = 0.15;
/// Tokens that all routers together can accumulate: enough for the failure of a server or one batch
/// of a rollout.
const FLEET_TOKEN_CAPACITY: f64 = 60.0;
/// Tokens that each router can accumulate at least: several retries of one request, even with
/// little traffic.
const ROUTER_MIN_TOKEN_CAPACITY: f64 = 3.0;
/// Tokens spent by one retry.
pub(crate) const RETRY_COST_TOKENS: f64 = 1.0;
/// Minimum time for a useful attempt, as a ratio of the latency objective.
const MIN_RETRY_TIME_RATIO: f64 = 0.2;
/// Timeout of an attempt while another can follow, as a ratio of the time left until the latency
/// objective.
const ATTEMPT_TIME_RATIO: f64 = 0.6;
/// A response is overdue after this multiple of the typical latency. Before that it will probably
/// still arrive.
const OVERDUE_RATIO: f64 = 4.0;

impl Class {
    /// The shortest remaining time for which a further attempt is useful.
    pub fn minimum_retry_time(&self) -> Micros {
        self.latency_objective.scaled(MIN_RETRY_TIME_RATIO)
    }
}

/// The retry budget: each success earns a part of a token, each retry costs one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget for one of `routers` routers.
    pub fn new(routers: u32) -> RetryBudget {
        let max_tokens = (FLEET_TOKEN_CAPACITY / f64::from(routers)).max(ROUTER_MIN_TOKEN_CAPACITY);
        RetryBudget {
            tokens: max_tokens,
            max_tokens,
        }
    }

    /// The available tokens.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether there is a token for a retry.
    pub fn has_token(&self) -> bool {
        self.tokens >= RETRY_COST_TOKENS
    }

    /// Adds the tokens earned by a success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(self.max_tokens);
    }

    /// Takes the tokens of one retry.
    pub fn spend_token(&mut self) {
        self.tokens -= RETRY_COST_TOKENS;
    }

    /// Restores the tokens of a previous process. Lowers the balance only: both processes are the
    /// same router, and its tokens must not be spent twice.
    pub fn restore(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }
}

/// Whether a request has enough time left for a useful attempt.
pub(crate) fn has_time_for_retry(pending: &PendingRequest, class: &Class, now: Micros) -> bool {
    pending.request.expires.since(now) >= class.minimum_retry_time()
}

/// Decides whether another attempt follows one that ended in this way, and spends a retry token if
/// that attempt costs one.
///
/// After a failed origin fetch there is no retry: a fetch through another server would only add
/// load to a failing origin. The attempt after a miss or a stale connection is free, because these
/// caused no work at the server. Any other retry costs a token, and is not made without one.
pub(crate) fn admit_retry(
    end: &AttemptEnd,
    had_stale_connection: bool,
    budget: &mut RetryBudget,
) -> bool {
    let is_failed_fetch = end.outcome == Outcome::Failure && end.cache_status.is_some();
    if is_failed_fetch {
        return false;
    }
    let is_free = end.outcome == Outcome::Miss || had_stale_connection;
    if is_free {
        return true;
    }
    let has_token = budget.has_token();
    if has_token {
        budget.spend_token();
    }
    has_token
}

/// Whether a request may have one more attempt (the first or a retry), regardless of the server: it
/// is neither answered nor streaming, its deadline has not passed, it has attempts left, and no
/// attempt is in flight unless hedging is allowed.
pub(crate) fn may_send_attempt(pending: &PendingRequest, limits: &Limits, now: Micros) -> bool {
    let is_open = !pending.is_answered && !pending.is_streaming;
    let is_in_time = now < pending.request.expires;
    let attempts_left = pending.attempts.len() < limits.max_attempts as usize;
    let may_overlap = !pending.has_attempt_in_flight() || limits.hedging;
    is_open && is_in_time && attempts_left && may_overlap
}

/// The time left in which servers drop a duplicate of a keyed request that may have run; `None` if
/// the request is not keyed or cannot have run.
pub(crate) fn deduplication_window_left(
    pending: &PendingRequest,
    class: &Class,
    now: Micros,
) -> Option<Micros> {
    let Idempotency::Keyed {
        deduplication_window,
        ..
    } = class.idempotency
    else {
        return None;
    };
    let first = pending.first_possible_run()?;
    Some(first.sent_at.plus(deduplication_window).since(now))
}

/// Where and when a request was sent that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun<'a> {
    pub endpoint: &'a Endpoint,
    pub sent_at: Micros,
}

/// Whether a request that may have run at `first` may also be sent to `candidate` now. A keyed request
/// may be if `candidate` is in the same deduplication scope and was known when the request was first
/// sent, so that it has heard of the key, and the deduplication window has not passed.
pub(crate) fn idempotency_allows(
    idempotency: Idempotency,
    first: PossibleRun<'_>,
    now: Micros,
    candidate: &Server,
) -> bool {
    let PossibleRun {
        endpoint: first,
        sent_at,
    } = first;
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::Keyed {
            scope,
            deduplication_window,
        } => {
            let endpoint = &candidate.endpoint;
            let is_in_scope = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == endpoint.zone,
                DeduplicationScope::Cell => {
                    first.zone == endpoint.zone && first.cell == endpoint.cell
                }
            };
            let has_heard_of_key = candidate.known_since <= sent_at;
            is_in_scope && has_heard_of_key && now.since(sent_at) < deduplication_window
        }
    }
}

/// The properties of the target server that determine the timeout of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTarget {
    /// Latency of its hits or of hits over all servers, whichever is longer.
    pub typical_latency: Micros,
    pub is_unresponsive: bool,
    pub is_origin: bool,
}

/// The inputs of an attempt timeout other than the target server.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTimeout<'a> {
    /// The request; its attempts include this one.
    pub pending: &'a PendingRequest,
    pub class: &'a Class,
    pub limits: &'a Limits,
    pub budget: &'a RetryBudget,
    pub now: Micros,
}

impl AttemptTimeout<'_> {
    /// The timeout of an attempt, which leaves time for the next one; `None` for no timeout other
    /// than the client's own.
    ///
    /// Guards against a server that does not respond for any reason, such as a hang or a lost
    /// response: while a retry is allowed and has a token, an attempt may take a part of the time
    /// left. A response that is still of value when late, or that is not overdue yet, is waited
    /// for: the server keeps working on an abandoned attempt, and the next attempt costs as much
    /// again.
    pub fn for_target(&self, target: AttemptTarget) -> Option<Micros> {
        let due_at = self
            .pending
            .first_arrived_at
            .plus(self.class.latency_objective);
        let left = due_at.since(self.now);
        let timeout = left.scaled(ATTEMPT_TIME_RATIO);
        let would_be_overdue = timeout >= target.typical_latency.scaled(OVERDUE_RATIO);
        let is_late_answer_worthless = self.class.late_weight == 0.0 && would_be_overdue;
        let is_worth_giving_up = is_late_answer_worthless || target.is_unresponsive;
        let is_of_use = left > self.class.minimum_retry_time()
            && self.now.plus(left) <= self.pending.request.expires;
        (is_worth_giving_up && self.may_retry() && !target.is_origin && is_of_use)
            .then_some(timeout)
    }

    /// Whether a retry could follow this attempt. A keyed request counts as repeatable, because its
    /// next server is not known yet.
    fn may_retry(&self) -> bool {
        let attempts = self.pending.attempts.len() as u32;
        self.class.idempotency != Idempotency::NotIdempotent
            && attempts < self.limits.max_attempts
            && self.budget.has_token()
    }
}
