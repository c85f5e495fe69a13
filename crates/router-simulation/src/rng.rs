//! Random numbers from a seed, the same on every machine: PCG, whose output its paper fixes.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{Rng, SeedableRng};

/// One stream of random numbers. Each part of a simulation has its own, so that a change in one leaves the others.
#[derive(Clone, Debug)]
pub struct SeededRng(Pcg64Mcg);

impl SeededRng {
    /// The stream of this number under a seed.
    pub fn new(seed: u64, stream: u64) -> SeededRng {
        SeededRng(Pcg64Mcg::seed_from_u64(
            seed.wrapping_mul(0x9E37_79B9_7F4A_7C15)
                .wrapping_add(stream),
        ))
    }

    /// Any number of 64 bits.
    pub fn next_u64(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number in [0, 1).
    pub fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A whole number in [low, high]; `low` where the range is empty.
    pub fn range(&mut self, low: u64, high: u64) -> u64 {
        if high <= low {
            low
        } else {
            low + self.0.next_u64() % (high - low + 1)
        }
    }

    /// A number in [low, high).
    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    /// True in this ratio of the cases.
    pub fn chance(&mut self, ratio: f64) -> bool {
        self.unit() < ratio
    }

    /// An index of a list of so many; 0 for an empty one.
    pub fn index(&mut self, count: usize) -> usize {
        self.range(0, count.saturating_sub(1) as u64) as usize
    }

    /// A sample of the exponential distribution with this mean.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
