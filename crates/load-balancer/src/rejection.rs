//! The final answer of a request that no server serves, and the Retry-After time of its client.
//!
//! Whether the request is rejected or failed follows from its attempts and its idempotency; the
//! Retry-After time follows from the typical latency and a random fraction. A rejection promises
//! that the request may be repeated without harm, so it is only given where that holds. Clients
//! that retry immediately, or all at the same time, would run into the same overload again.

use crate::pending::PendingRequest;
use crate::settings::{DeduplicationScope, Idempotency, Limits};
use crate::time::Micros;

/// Whether a client may repeat a request without harm: it is idempotent, all servers drop its
/// duplicates, or it never ran.
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

/// The Retry-After time: one to two typical latencies, after which most requests in flight have
/// been served. `jitter` in [0, 1) spreads the clients over that range. `None` if clients do not
/// support Retry-After.
pub(crate) fn retry_after(limits: &Limits, typical_latency: Micros, jitter: f64) -> Option<Micros> {
    let after = typical_latency.scaled(1.0 + jitter);
    limits
        .retry_after
        .then(|| after.min(limits.max_retry_after))
}
