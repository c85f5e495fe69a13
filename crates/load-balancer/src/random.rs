//! A router's random numbers: a reproducible sequence for each seed.

use rand_core::Rng;
use rand_xoshiro::SplitMix64;
use rand_xoshiro::rand_core::SeedableRng;

/// Significant bits of an `f64`.
const MANTISSA_BITS: u32 = 53;

/// A SplitMix64 generator of fractions.
#[derive(Debug)]
pub(crate) struct Random(SplitMix64);

impl Random {
    /// Creates the generator with this seed.
    pub fn new(seed: u64) -> Random {
        Random(SplitMix64::seed_from_u64(seed))
    }

    /// The next number in [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        let bits = self.0.next_u64() >> (u64::BITS - MANTISSA_BITS);
        bits as f64 / (1_u64 << MANTISSA_BITS) as f64
    }
}
