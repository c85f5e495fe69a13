//! Which server last served a key: what tells likely hits from likely misses. Nothing is decided by it.

/// Keys that are remembered; a power of two. A further one takes the place of an older one.
const KNOWN_KEYS: usize = 4096;
/// No server.
const NONE: usize = usize::MAX;

/// By place: the place and the server that last served it.
#[derive(Debug)]
pub(crate) struct Known(Vec<(u32, usize)>);

impl Known {
    /// Nothing is known.
    pub fn new() -> Known {
        Known(vec![(0, NONE); KNOWN_KEYS])
    }

    fn slot(place: u32, index: usize) -> usize {
        (place as usize).wrapping_add(index.wrapping_mul(0x9E37_79B1)) % KNOWN_KEYS
    }

    /// A server served a place.
    pub fn learn(&mut self, place: u32, index: usize) {
        self.0[Known::slot(place, index)] = (place, index);
    }

    /// A server turned out to lack a place.
    pub fn unlearn(&mut self, place: u32, index: usize) {
        if self.is_at(place, index) {
            self.0[Known::slot(place, index)] = (0, NONE);
        }
    }

    /// Another process is in this server's place now, and holds nothing.
    pub fn forget(&mut self, index: usize) {
        self.0
            .iter_mut()
            .filter(|known| known.1 == index)
            .for_each(|known| known.1 = NONE);
    }

    /// Whether the server served the place, and nothing spoke against it since.
    pub fn is_at(&self, place: u32, index: usize) -> bool {
        self.0[Known::slot(place, index)] == (place, index)
    }

    /// Each place and its server.
    pub fn iter(&self) -> impl Iterator<Item = (u32, usize)> {
        self.0.iter().copied().filter(|known| known.1 != NONE)
    }
}
