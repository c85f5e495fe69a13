//! A router's random numbers are those of SplitMix64, bit for bit, so that a seed reproduces the
//! same run on any version.

use rand_core::{Rng, SeedableRng};
use rand_xoshiro::SplitMix64;

/// The 53 highest bits of the first numbers of two seeds, as given by the router's own generator
/// before `rand_xoshiro` replaced it.
const EXPECTED: [(u64, [u64; 8]); 2] = [
    (
        7,
        [
            0xc797c3c8b2641,
            0x89879afe878c,
            0x1cd30810175625,
            0x12a75d6e0ce7c5,
            0xe7a676ccd43c4,
            0x7fb57d0d977d5,
            0xef9789426785a,
            0xa7f9aca27a057,
        ],
    ),
    (
        u64::MAX,
        [
            0x1c9b2e2ee36ca5,
            0x1d33ff0cfb7ed0,
            0x705ff09964e50,
            0xda3b66d997530,
            0x169408e5caf00d,
            0x1a63b5b7b48717,
            0x1e29e59f004107,
            0x80bb4871473d0,
        ],
    ),
];

#[test]
fn splitmix64_gives_the_expected_stream() {
    for (seed, expected) in EXPECTED {
        let mut generator = SplitMix64::seed_from_u64(seed);
        let stream = expected.map(|_| generator.next_u64() >> 11);
        assert_eq!(stream, expected, "seed {seed}");
    }
}
