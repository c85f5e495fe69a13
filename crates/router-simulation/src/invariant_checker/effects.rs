//! Rule 2: no request takes effect twice. Also the limits on the attempts of one request.

use super::request::RequestState;
use super::rule::{DeduplicationScope, Idempotency, RuleParameters};
use crate::executor::Time;

/// Returns the violations if a request is sent to this server, given the attempts that may have run
/// already.
pub(super) fn check_repeat(
    now: Time,
    request: &RequestState,
    server: usize,
    server_zones: &[usize],
) -> Vec<String> {
    let Some(first) = request.first_possible_effect() else {
        return Vec::new();
    };
    let mut violations = Vec::new();
    match request.idempotency {
        Idempotency::Idempotent => {}
        Idempotency::NotIdempotent => {
            violations.push(
                "a request that is not idempotent sent again although it may have run".to_string(),
            );
        }
        Idempotency::Keyed(scope, deduplication_window) => {
            let changes_zone = server_zones[first.server] != server_zones[server];
            if scope == DeduplicationScope::Zone && changes_zone {
                violations.push("a keyed request sent outside its zone".to_string());
            }
            let age = now - first.sent_at;
            if age > deduplication_window {
                let late = age - deduplication_window;
                violations.push(format!(
                    "a keyed request sent again {late} us after the deduplication window"
                ));
            }
        }
    }
    violations
}

/// Returns the violations if a request gets one more attempt.
pub(super) fn check_attempt_limits(
    request: &RequestState,
    parameters: &RuleParameters,
) -> Vec<String> {
    let mut violations = Vec::new();
    if request.attempts.len() >= parameters.max_attempts {
        violations.push("too many attempts".to_string());
    }
    if request.has_attempt_in_flight() && !parameters.hedging {
        violations.push("two attempts in flight where hedging is off".to_string());
    }
    violations
}

/// Returns the violation if a request is rejected although it may have run. A rejection promises
/// that the client may send the request again.
pub(super) fn check_rejection(request: &RequestState) -> Option<String> {
    let may_be_repeated = matches!(
        request.idempotency,
        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
    );
    let may_have_run = request.first_possible_effect().is_some();
    (may_have_run && !may_be_repeated)
        .then(|| "rejected as safe to repeat although it may have run".to_string())
}
