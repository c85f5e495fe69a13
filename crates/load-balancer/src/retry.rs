//! May a request be tried once more, and how long may an attempt take before the next follows?
//!
//! Inputs: the attempts of the request, its class (idempotency, latency objective in µs), its deadline (µs), the
//! retry tokens in hand. Answer: yes or no, an attempt timeout (µs), how long a repeat is deduplicated (µs).
//! Reason: retries help against single failures and multiply the load when many fail, so that successes pay for
//! them; and a request that may have run is repeated only where that does no harm.

use crate::endpoint::Endpoint;
use crate::pending::PendingRequest;
use crate::request::{AttemptEnd, Outcome};
use crate::settings::{Class, DeduplicationScope, Idempotency, Limits};
use crate::time::Micros;

/// Retry tokens that one success earns: retries add at most this ratio to the load.
const TOKENS_PER_SUCCESS: f64 = 0.15;
/// Tokens that all routers together may save: enough for the end of a server or a batch of a deployment.
const FLEET_TOKEN_CAPACITY: f64 = 60.0;
/// Tokens that each router may save at least: several retries of one request, however little it sees.
const ROUTER_MIN_TOKEN_CAPACITY: f64 = 3.0;
/// Tokens that a retry costs.
pub(crate) const RETRY_COST_TOKENS: f64 = 1.0;
/// A further attempt needs this ratio of the latency objective to be of use.
const MIN_RETRY_TIME_RATIO: f64 = 0.2;
/// The ratio of the time left to the latency objective that an attempt may take while another can follow.
const ATTEMPT_TIME_RATIO: f64 = 0.6;
/// An answer is overdue after this multiple of the typical latency; until then it most likely still comes.
const OVERDUE_RATIO: f64 = 4.0;

impl Class {
    /// The shortest time in which a further attempt is of use.
    pub fn minimum_retry_time(&self) -> Micros {
        self.latency_objective.scaled(MIN_RETRY_TIME_RATIO)
    }
}

/// Tokens for retries: each success earns a part of one, each retry costs one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
}

impl RetryBudget {
    /// A full budget of one of so many routers.
    pub fn new(routers: u32) -> RetryBudget {
        let max_tokens = (FLEET_TOKEN_CAPACITY / f64::from(routers)).max(ROUTER_MIN_TOKEN_CAPACITY);
        RetryBudget {
            tokens: max_tokens,
            max_tokens,
        }
    }

    /// Tokens in hand.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Whether a retry is paid for.
    pub fn has_token(&self) -> bool {
        self.tokens >= RETRY_COST_TOKENS
    }

    /// Earns for a success.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(self.max_tokens);
    }

    /// Pays for one retry.
    pub fn spend_token(&mut self) {
        self.tokens -= RETRY_COST_TOKENS;
    }

    /// Takes over what a previous process left: both are one router, whose tokens are not spent twice.
    pub fn restore(&mut self, tokens: f64) {
        self.tokens = self.tokens.min(tokens);
    }
}

/// Whether a further attempt of a request still has time to be of use.
pub(crate) fn has_time_for_retry(pending: &PendingRequest, class: &Class, now: Micros) -> bool {
    pending.request.expires.since(now) >= class.minimum_retry_time()
}

/// Whether a further attempt may help after one that ended so, and is paid for. Where a fetch failed, a further one
/// elsewhere only feeds a failing origin. A miss or a stale connection cost no work: the next attempt is free.
pub(crate) fn should_retry(
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
    let is_paid = budget.has_token();
    if is_paid {
        budget.spend_token();
    }
    is_paid
}

/// Whether one more attempt of a request may be sent at all, wherever to.
pub(crate) fn may_send_attempt(pending: &PendingRequest, limits: &Limits, now: Micros) -> bool {
    let is_open = !pending.is_answered && !pending.is_streaming;
    let is_in_time = now < pending.request.expires;
    let attempts_left = pending.attempts.len() < limits.max_attempts as usize;
    let is_alone = !pending.has_attempt_in_flight() || limits.hedging;
    is_open && is_in_time && attempts_left && is_alone
}

/// How long a repeat of a keyed request that may have run is still dropped by the servers; `None` where that does
/// not matter.
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

/// Whether a request may run at `candidate`, given the server where it may have run first and how long ago that
/// was.
pub(crate) fn idempotency_allows(
    idempotency: Idempotency,
    first: &Endpoint,
    since_first: Micros,
    candidate: &Endpoint,
) -> bool {
    match idempotency {
        Idempotency::Idempotent => true,
        Idempotency::NotIdempotent => false,
        Idempotency::Keyed {
            scope,
            deduplication_window,
        } => {
            let is_in_scope = match scope {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => first.zone == candidate.zone,
                DeduplicationScope::Cell => {
                    first.zone == candidate.zone && first.cell == candidate.cell
                }
            };
            is_in_scope && since_first < deduplication_window
        }
    }
}

/// The server of an attempt, as its timeout depends on it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptTarget {
    /// How long its hits take, or those of any server if longer.
    pub typical_latency: Micros,
    pub is_unresponsive: bool,
    pub is_origin: bool,
}

/// What the timeout of an attempt depends on besides its server.
#[derive(Clone, Copy)]
pub(crate) struct AttemptTimeout<'a> {
    /// The request, this attempt included.
    pub pending: &'a PendingRequest,
    pub class: &'a Class,
    pub limits: &'a Limits,
    pub budget: &'a RetryBudget,
    pub now: Micros,
}

impl AttemptTimeout<'_> {
    /// After which time an attempt is given up so that the next has time left; `None` for the client's own limit.
    ///
    /// Guards against silence of any cause (a hang, a lost answer): while a retry is allowed and paid for, an
    /// attempt may take a part of the time left. An answer that may come late, or is not overdue, is waited for:
    /// the server goes on with what is given up, and the next attempt costs as much again.
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

    fn may_retry(&self) -> bool {
        let attempts = self.pending.attempts.len() as u32;
        self.class.idempotency != Idempotency::NotIdempotent
            && attempts < self.limits.max_attempts
            && self.budget.has_token()
    }
}
