//! A chunk of a long value in memory of its own, which returns to the system when it is dropped.
//!
//! A chunk in the allocator's heap would keep its pages resident after it is freed, for as long as
//! anything behind it is in use, and the platform counts resident memory.

use super::usage::Charge;
use memmap2::MmapMut;

/// Shorter chunks stay in the heap; a mapping takes whole pages.
const MIN_MAPPED_BYTES: usize = 16 * 1024;

/// A chunk of a long value, and the charges for it.
pub(super) struct HeldChunk {
    bytes: ChunkBytes,
    _charges: [Charge; 2],
}

enum ChunkBytes {
    Mapped(MmapMut),
    Heap(Box<[u8]>),
}

impl HeldChunk {
    /// Copies the bytes of a chunk.
    pub fn new(bytes: &[u8], charges: [Charge; 2]) -> HeldChunk {
        let mapped = (bytes.len() >= MIN_MAPPED_BYTES)
            .then(|| MmapMut::map_anon(bytes.len()).ok())
            .flatten();
        HeldChunk {
            bytes: match mapped {
                Some(mut mapping) => {
                    mapping.copy_from_slice(bytes);
                    ChunkBytes::Mapped(mapping)
                }
                None => ChunkBytes::Heap(bytes.into()),
            },
            _charges: charges,
        }
    }
}

impl AsRef<[u8]> for HeldChunk {
    fn as_ref(&self) -> &[u8] {
        match &self.bytes {
            ChunkBytes::Mapped(mapping) => mapping,
            ChunkBytes::Heap(bytes) => bytes,
        }
    }
}
