//! Which servers lately served which keys: tells likely hits from likely misses. A measure only.

use crate::request::{AttemptEnd, Outcome};

/// Entries; a power of two. A further one replaces an older one.
const ENTRY_COUNT: usize = 4096;
/// Spreads the servers of one key over the table (golden ratio, as in Fibonacci hashing).
const SERVER_STRIDE: usize = 0x9E37_79B1;
/// The server of an empty entry.
const NO_SERVER: usize = usize::MAX;

/// A key that a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct KeyLocation {
    /// Ring position of the key.
    pub ring_position: u32,
    /// Index in the server table.
    pub server: usize,
}

/// An entry that holds nothing.
const EMPTY_ENTRY: KeyLocation = KeyLocation {
    ring_position: 0,
    server: NO_SERVER,
};

/// A table of fixed size, by ring position and server.
#[derive(Debug)]
pub(crate) struct KeyLocations(Vec<KeyLocation>);

impl KeyLocations {
    /// An empty table.
    pub fn new() -> KeyLocations {
        KeyLocations(vec![EMPTY_ENTRY; ENTRY_COUNT])
    }

    fn entry_index(ring_position: u32, server: usize) -> usize {
        let spread = server.wrapping_mul(SERVER_STRIDE);
        (ring_position as usize).wrapping_add(spread) % ENTRY_COUNT
    }

    /// Records that a server served a key.
    pub fn record_served(&mut self, ring_position: u32, server: usize) {
        self.0[KeyLocations::entry_index(ring_position, server)] = KeyLocation {
            ring_position,
            server,
        };
    }

    /// Records what the end of an attempt tells: a success that the server holds the key, a fetch or a timeout that it
    /// lacks it.
    pub fn record_end(&mut self, ring_position: u32, server: usize, end: &AttemptEnd) {
        let is_missing = end.cache_status.is_some() || end.outcome == Outcome::TimedOut;
        if end.outcome == Outcome::Success {
            self.record_served(ring_position, server);
        } else if is_missing {
            self.record_missing(ring_position, server);
        }
    }

    /// Records that a server lacks a key.
    fn record_missing(&mut self, ring_position: u32, server: usize) {
        if self.contains(ring_position, server) {
            self.0[KeyLocations::entry_index(ring_position, server)] = EMPTY_ENTRY;
        }
    }

    /// Forgets the keys of a server: another process takes its index and holds nothing.
    pub fn remove_server(&mut self, server: usize) {
        for location in self.0.iter_mut().filter(|known| known.server == server) {
            location.server = NO_SERVER;
        }
    }

    /// Whether a server served a key, and was not found to lack it since.
    pub fn contains(&self, ring_position: u32, server: usize) -> bool {
        let location = KeyLocation {
            ring_position,
            server,
        };
        self.0[KeyLocations::entry_index(ring_position, server)] == location
    }

    /// Each key and its server.
    pub fn iter(&self) -> impl Iterator<Item = KeyLocation> {
        let is_used = |location: &KeyLocation| location.server != NO_SERVER;
        self.0.iter().copied().filter(is_used)
    }
}
