//! Consistent-hash ring of the ready servers.
//!
//! The inputs are the 32-bit ring positions of the servers and of a key. The result is the owner of
//! the key, followed by its distinct successors clockwise.
//!
//! All routers build the same ring from the same endpoint list, so that they agree on the owner of
//! a key without communicating. A server that joins or leaves moves only the keys of its own arcs.

use crate::ids::ServerId;
use md5::{Digest, Md5};
use std::cmp::Ordering;

/// MD5 digests per server; as in ketama.
pub(crate) const DIGESTS_PER_SERVER: usize = 40;
/// Ring positions per digest.
const POSITIONS_PER_DIGEST: usize = 4;

/// The four ring positions of a text, which are the little-endian words of its MD5 digest, as in
/// ketama.
pub(crate) fn digest_positions(text: &[u8]) -> [u32; POSITIONS_PER_DIGEST] {
    let word = u128::from_le_bytes(Md5::digest(text).into());
    [0, 32, 64, 96].map(|shift| (word >> shift) as u32)
}

/// All ring positions of a server.
pub(crate) fn server_positions(name: &ServerId) -> Vec<u32> {
    (0..DIGESTS_PER_SERVER)
        .flat_map(|number| digest_positions(format!("{name}{number}").as_bytes()))
        .collect()
}

/// A point of a server on the ring.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RingPoint {
    pub position: u32,
    /// The index of the server in the server table.
    pub server: usize,
}

/// The points of all ready servers.
#[derive(Debug, Default)]
pub(crate) struct Ring {
    /// Sorted by position, then by server name.
    points: Vec<RingPoint>,
    server_count: usize,
}

impl Ring {
    /// Whether the ring has no servers.
    pub fn is_empty(&self) -> bool {
        self.points.is_empty()
    }

    /// The number of servers on the ring.
    pub fn server_count(&self) -> usize {
        self.server_count
    }

    /// Removes the points of servers that `is_retained` rejects, and adds others. Points at the
    /// same position are ordered by server name, so that the order of the endpoint list does not
    /// matter.
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

    /// Passes the owner of a position, then its distinct successors clockwise, to `accept` until it
    /// returns a value. `table_len` is the length of the server table to which the points refer.
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
