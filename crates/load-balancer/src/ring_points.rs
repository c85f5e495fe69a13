//! The points of a name or a key on the ring, by digest. Where they lead is decided in `src/balance.rs`.

use md5::{Digest, Md5};

/// Digests a server puts on the ring; each gives four points, so 160 points (the source's default).
pub(crate) const DIGESTS: u32 = 40;
/// The four points of a digest: its little-endian words, as in ketama-style rings.
pub(crate) fn digest_points(text: &[u8]) -> [u32; 4] {
    let word = u128::from_le_bytes(Md5::digest(text).into());
    [0, 32, 64, 96].map(|shift| (word >> shift) as u32)
}
