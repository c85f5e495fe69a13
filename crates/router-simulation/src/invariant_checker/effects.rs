//! Rule 2: no effect happens twice. Also the limits on attempts of one request.

use super::request::RequestState;
use super::rule::{DeduplicationScope, Idempotency, RuleParameters};
use crate::executor::Time;

/// What is wrong with sending a request to this server now, given what may have run already.
pub(super) fn check_repeat(
    now: Time,
    request: &RequestState,
    server: usize,
    server_zones: &[usize],
) -> Vec<String> {
    let Some(first) = request.first_possible_effect() else {
        return Vec::new();
    };
    let mut problems = Vec::new();
    match request.idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NotIdempotent => {
            problems.push("an unsafe request sent again that may have run".to_string());
        }
        Idempotency::Keyed(scope, deduplication_window) => {
            let changes_zone = server_zones[first.server] != server_zones[server];
            if scope == DeduplicationScope::Zone && changes_zone {
                problems.push("a keyed request sent outside its group".to_string());
            }
            let age = now - first.sent_at;
            if age > deduplication_window {
                let late = age - deduplication_window;
                problems.push(format!(
                    "a keyed request sent again {late} us after its memory ended"
                ));
            }
        }
    }
    problems
}

/// What is wrong with one more attempt of a request.
pub(super) fn check_attempt_limits(
    request: &RequestState,
    parameters: &RuleParameters,
) -> Vec<String> {
    let mut problems = Vec::new();
    if request.attempts.len() >= parameters.max_attempts {
        problems.push("more attempts than are allowed".to_string());
    }
    if request.has_attempt_in_flight() && !parameters.hedging {
        problems.push("two attempts out together where that is not allowed".to_string());
    }
    problems
}

/// What is wrong with rejecting a request: a rejection promises that a client may send it again.
pub(super) fn check_rejection(request: &RequestState) -> Option<String> {
    let may_be_repeated = matches!(
        request.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
    );
    let may_have_run = request.first_possible_effect().is_some();
    (may_have_run && !may_be_repeated)
        .then(|| "refused as harmless to repeat, but it may have run".to_string())
}
