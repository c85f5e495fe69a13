//! The first arrival of a request that its client retries.
//!
//! Remembers requests that no server served (rejected, failed, or abandoned by their client) by the
//! ring position of the key, the class and the tenant, with the time at which each first arrived. A
//! retry does not say which request it repeats, so it gets the arrival time of the oldest one that
//! matches. If each retry counted as a new request, most requests that are served in overload would
//! be past their latency objective.

use crate::request::Request;
use crate::time::Micros;

/// Table size (128 KiB). In a full table a new entry replaces the oldest of those that it could
/// replace.
const ENTRY_COUNT: usize = 8192;
/// Entries for one key, class and tenant: at most this many of its clients are remembered at a
/// time.
const ENTRIES_PER_SIGNATURE: usize = 16;
/// Spreads the classes of one key over the table (golden ratio, as in Fibonacci hashing).
const CLASS_STRIDE: usize = 0x9E37_79B1;

/// A request that no server served.
#[derive(Clone, Copy, Debug, Default)]
struct RejectedRequest {
    /// Identifies the key, class and tenant, which a request and its retries have in common.
    signature: u64,
    first_arrived_at: Micros,
}

/// A table of fixed size with the requests that no server served, to recognize retries of their
/// clients.
#[derive(Debug)]
pub(crate) struct RejectedRequests(Vec<RejectedRequest>);

impl RejectedRequests {
    /// Creates an empty table.
    pub fn new() -> RejectedRequests {
        RejectedRequests(vec![RejectedRequest::default(); ENTRY_COUNT])
    }

    /// Returns when the client of a retry first sent its request, and removes the entry: the
    /// arrival of the oldest unserved request with the same key, class and tenant that is no older
    /// than `deadline`; `now` if there is none.
    pub fn take_first_arrival(
        &mut self,
        now: Micros,
        deadline: Micros,
        request: &Request,
        ring_position: u32,
    ) -> Micros {
        let oldest = now.since(deadline);
        let signature = signature(ring_position, request);
        let is_match = |entry: &RejectedRequest| {
            entry.signature == signature && entry.first_arrived_at >= oldest
        };
        let first = entries(ring_position, request)
            .filter(|&i| is_match(&self.0[i]))
            .min_by_key(|&i| self.0[i].first_arrived_at);
        first.map_or(now, |i| std::mem::take(&mut self.0[i]).first_arrived_at)
    }

    /// Stores an unserved request in place of the oldest of its possible entries.
    pub fn insert(&mut self, ring_position: u32, request: &Request, first_arrived_at: Micros) {
        let oldest = entries(ring_position, request).min_by_key(|&i| self.0[i].first_arrived_at);
        if let Some(oldest) = oldest {
            self.0[oldest] = RejectedRequest {
                signature: signature(ring_position, request),
                first_arrived_at,
            };
        }
    }
}

/// The tenant as a number from 1; 0 for none.
fn tenant_number(request: &Request) -> u64 {
    request.tenant.map_or(0, |tenant| tenant.0 as u64 + 1)
}

fn signature(ring_position: u32, request: &Request) -> u64 {
    let class = request.class.0 as u64 & 0xFFFF;
    let tenant = tenant_number(request) & 0xFFFF;
    u64::from(ring_position) << 32 | class << 16 | tenant
}

/// The table indices at which a request can be stored.
fn entries(ring_position: u32, request: &Request) -> impl Iterator<Item = usize> + use<> {
    let class_offset = request.class.0.wrapping_mul(CLASS_STRIDE);
    let spread = (ring_position as usize).wrapping_add(class_offset);
    let first = (spread % (ENTRY_COUNT / 2)) * 2 + tenant_number(request) as usize;
    (first..first + ENTRIES_PER_SIGNATURE).map(|i| i % ENTRY_COUNT)
}
