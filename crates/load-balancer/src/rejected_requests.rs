//! When did the client of a retry first ask?
//!
//! Inputs: requests that no server served (rejected, failed, or left by their client; ring position of the key, class, tenant) and when each first arrived (µs). Answer:
//! the arrival of the oldest that fits the retry. Reason: a retry names no earlier try, and in overload most of what
//! is served would be past its latency objective if each try counted anew.

use crate::request::Request;
use crate::time::Micros;

/// Requests that are remembered (128 KiB); a full table forgets the oldest.
const ENTRY_COUNT: usize = 8192;
/// Entries that one key, class and tenant may have: so many of its clients at a time.
const ENTRIES_PER_SIGNATURE: usize = 16;
/// Spreads the classes of one key over the table (golden ratio, as in Fibonacci hashing).
const CLASS_STRIDE: usize = 0x9E37_79B1;

/// A request that no server served.
#[derive(Clone, Copy, Debug, Default)]
struct RejectedRequest {
    /// Key, class and tenant: what the tries of one client have in common.
    signature: u64,
    first_arrived_at: Micros,
}

/// Requests that no server served and whose clients' retries are recognized: a table of fixed size.
#[derive(Debug)]
pub(crate) struct RejectedRequests(Vec<RejectedRequest>);

impl RejectedRequests {
    /// An empty table.
    pub fn new() -> RejectedRequests {
        RejectedRequests(vec![RejectedRequest::default(); ENTRY_COUNT])
    }

    /// When the client of a retry first asked: the arrival of the oldest request within a `deadline` that this
    /// router rejected for the same key, class and tenant; now if there is none. Its entry is removed.
    pub fn take_first_arrival(
        &mut self,
        now: Micros,
        deadline: Micros,
        request: &Request,
        ring_position: u32,
    ) -> Micros {
        let oldest = now.since(deadline);
        let signature = signature(ring_position, request);
        let fits = |entry: &RejectedRequest| {
            entry.signature == signature && entry.first_arrived_at >= oldest
        };
        let first = entries(ring_position, request)
            .filter(|&i| fits(&self.0[i]))
            .min_by_key(|&i| self.0[i].first_arrived_at);
        first.map_or(now, |i| std::mem::take(&mut self.0[i]).first_arrived_at)
    }

    /// Remembers a rejected request in place of the oldest entry that it may have.
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

/// The tenant as a number; 0 for none.
fn tenant_number(request: &Request) -> u64 {
    request.tenant.map_or(0, |tenant| tenant.0 as u64 + 1)
}

fn signature(ring_position: u32, request: &Request) -> u64 {
    let class = request.class.0 as u64 & 0xFFFF;
    let tenant = tenant_number(request) & 0xFFFF;
    u64::from(ring_position) << 32 | class << 16 | tenant
}

/// The indices at which a request may be remembered.
fn entries(ring_position: u32, request: &Request) -> impl Iterator<Item = usize> + use<> {
    let class_offset = request.class.0.wrapping_mul(CLASS_STRIDE);
    let spread = (ring_position as usize).wrapping_add(class_offset);
    let first = (spread % (ENTRY_COUNT / 2)) * 2 + tenant_number(request) as usize;
    (first..first + ENTRIES_PER_SIGNATURE).map(|i| i % ENTRY_COUNT)
}
