//! Which servers does a key belong to, and in which order do others stand in for its owner?
//!
//! Inputs: the ring positions (32 bit) of the ready servers and of a key. Answer: the ring owner, then its distinct
//! successors clockwise. Reason: all routers build the same ring from the same list, so that they agree on the
//! owner of a key without a message, and a server that comes or goes moves only its own arcs.

use crate::ids::ServerId;
use md5::{Digest, Md5};
use std::cmp::Ordering;

/// Digests that place one server on the ring, as in ketama.
pub(crate) const DIGESTS_PER_SERVER: usize = 40;
/// Ring positions of one digest.
const POSITIONS_PER_DIGEST: usize = 4;

/// The four ring positions of a text: the little-endian words of its MD5 digest, as in ketama.
pub(crate) fn digest_positions(text: &[u8]) -> [u32; POSITIONS_PER_DIGEST] {
    let word = u128::from_le_bytes(Md5::digest(text).into());
    [0, 32, 64, 96].map(|shift| (word >> shift) as u32)
}

/// The ring positions of a server.
pub(crate) fn server_positions(name: &ServerId) -> Vec<u32> {
    (0..DIGESTS_PER_SERVER)
        .flat_map(|number| digest_positions(format!("{name}{number}").as_bytes()))
        .collect()
}

/// One point of a server on the ring.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RingPoint {
    pub position: u32,
    /// Index in the server table.
    pub server: usize,
}

/// Consistent-hash ring of the ready servers.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    /// By position, then by server name.
    points: Vec<RingPoint>,
    server_count: usize,
}

impl Ring {
    /// Whether no server is on the ring.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// Servers on the ring.
    pub fn server_count(&self) -> usize {
        self.server_count
    }

    /// Removes the points of servers for which `is_retained` is false and adds others. Points at one position are in the
    /// order of their servers' names, whatever the order of the list.
    pub fn update<'a>(
        &mut self,
        mut added: Vec<RingPoint>,
        is_retained: impl Fn(usize) -> bool,
        name: impl Fn(usize) -> &'a ServerId,
    ) {
        let order = |a: &RingPoint, b: &RingPoint| -> Ordering {
            let by_position = a.position.cmp(&b.position);
            by_position.then_with(|| name(a.server).cmp(name(b.server)))
        };
        added.sort_unstable_by(order);
        self.points.retain(|point| is_retained(point.server));
        self.points.append(&mut added);
        self.points.sort_by(order);
        self.server_count = self.points.len() / (POSITIONS_PER_DIGEST * DIGESTS_PER_SERVER);
    }

    /// Offers the owner of a position, then its distinct successors clockwise, until `accept` returns something.
    /// `table_len` is the length of the server table that the points refer to.
    pub fn find_candidate<T>(
        &self,
        position: u32,
        table_len: usize,
        mut accept: impl FnMut(usize) -> Option<T>,
    ) -> Option<T> {
        let start = self.points.partition_point(|p| p.position < position);
        let mut offered = vec![false; table_len];
        let mut remaining = self.server_count;
        for point in self.points[start..].iter().chain(&self.points[..start]) {
            if std::mem::replace(&mut offered[point.server], true) {
                continue;
            }
            remaining -= 1;
            let found = accept(point.server);
            if found.is_some() || remaining == 0 {
                return found;
            }
        }
        None
    }
}
