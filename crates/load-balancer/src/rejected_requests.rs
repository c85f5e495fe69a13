//! Since when a client has asked, where it asks again after it was turned away.
//!
//! Guards against a jam in which most of what is served is past its aim: a retry names no earlier try, and what it
//! asks for counts from the first. Hurts clients of one tenant that ask for one key at a time: the oldest is taken.

use crate::api::{Micros, Request};

/// Requests whose clients' retries are known again: a table of fixed size, 128 KiB. A full one forgets the oldest,
/// and their retries count as new.
const SIZE: usize = 8192;
/// Places in that table in which one key, class and tenant may stand: so many of its clients at a time.
const ALIKE: usize = 16;

/// What tries of one client have in common, and when it first asked.
#[derive(Debug)]
pub(crate) struct TurnedAway(Vec<(u64, Micros)>);

impl TurnedAway {
    /// An empty table.
    pub fn new() -> TurnedAway {
        TurnedAway(vec![(0, Micros(0)); SIZE])
    }

    /// When a client's retry was first asked for. It does not name its earlier tries; most likely it is of the
    /// oldest request within a `deadline` that this router turned away for the same key, class and tenant.
    pub fn first_came(
        &mut self,
        now: Micros,
        deadline: Micros,
        ask: &Request,
        place: u32,
    ) -> Micros {
        let oldest = now.since(deadline);
        let (alike, slots) = slots(place, ask);
        let known = slots.filter(|&i| self.0[i].0 == alike && self.0[i].1 >= oldest);
        let first = known.min_by_key(|&i| self.0[i].1);
        first.map_or(now, |i| std::mem::take(&mut self.0[i]).1)
    }

    /// What was first asked for at `came` is turned away.
    pub fn remember(&mut self, place: u32, ask: &Request, came: Micros) {
        let (alike, slots) = slots(place, ask);
        if let Some(oldest) = slots.min_by_key(|&i| self.0[i].1) {
            self.0[oldest] = (alike, came);
        }
    }
}

/// What a client's tries have in common, and where in the table they may stand.
fn slots(place: u32, ask: &Request) -> (u64, impl Iterator<Item = usize> + use<>) {
    let tenant = ask.tenant.map_or(0, |tenant| tenant.0 as u64 + 1);
    let alike = u64::from(place) << 32 | (ask.class.0 as u64 & 0xFFFF) << 16 | tenant & 0xFFFF;
    let spread = (place as usize).wrapping_add(ask.class.0.wrapping_mul(0x9E37_79B1));
    let first = (spread % (SIZE / 2)) * 2 + tenant as usize;
    (alike, (first..first + ALIKE).map(|i| i % SIZE))
}
