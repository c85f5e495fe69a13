//! Seeded random numbers, equal on every machine: the generator is PCG, whose output its paper
//! defines.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// A stream of random numbers. Each part of a simulation has its own, so that a change in one part
/// does not change the others.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// Creates the stream of this number for a seed.
    pub fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .wrapping_add(stream),
        ))
    }

    /// Returns a uniform 64-bit number.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a uniform number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns an integer in [low, high], or `low` if the range is empty.
    pub fn range(&mut self, low: u64, high: u64) -> u64 {
        if high <= low {
            low
        } else {
            low + self.0.next_u64() % (high - low + 1)
        }
    }

    /// Returns a uniform number in [low, high).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// Returns true with this probability.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Returns an index of a list of `count` elements, or 0 for an empty list.
    pub fn index(&mut self, count: usize) -> usize {
        self.range(0, count.saturating_sub(1) as u64) as usize
    }

    /// Returns a sample of the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
