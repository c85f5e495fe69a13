//! Which final answer does a request get that no server serves, and when should its client come back?
//!
//! Inputs: its attempts and idempotency, the typical latency (µs), a random fraction. Answer: rejected or failed,
//! and a retry-after time (µs). Reason: "rejected" promises that a repeat does no harm, and is said only where that
//! is true; clients that come back at once, or together, meet the same overload.

use crate::pending::PendingRequest;
use crate::settings::{DeduplicationScope, Idempotency, Limits};
use crate::time::Micros;

/// Whether a client may repeat a request without harm: it has no effect, servers everywhere drop its repeat, or it
/// never ran.
pub(crate) fn is_repeat_harmless(pending: &PendingRequest, idempotency: Idempotency) -> bool {
    let is_safe = matches!(
        idempotency,
        Idempotency::Idempotent
            | Idempotency::Keyed {
                scope: DeduplicationScope::All,
                ..
            }
    );
    is_safe || pending.first_possible_run().is_none()
}

/// When the client should come back: after one to two typical latencies most of what is in flight has been served,
/// and `jitter` in [0, 1) keeps clients apart. `None` where clients do not hear advice.
pub(crate) fn retry_after(limits: &Limits, typical_latency: Micros, jitter: f64) -> Option<Micros> {
    let after = typical_latency.scaled(1.0 + jitter);
    limits
        .retry_after
        .then(|| after.min(limits.max_retry_after))
}
