//! Identical reads share one flight; reads that differ do not.

use crate::harness::*;
use request_coalescing::*;

#[test]
fn identical_reads_share_one_flight_and_nothing_outlives_it() {
    let mut harness = Harness::new();
    assert_eq!(harness.read(1), Action::Open { flight: flight(1) });
    for id in 2..=500 {
        assert_eq!(joins(harness.read(id)), Some(1));
    }
    let actions = harness.ended(1, FlightOutcome::Served);
    assert_eq!(
        answers(&actions),
        (1..=500)
            .map(|id| (id, FlightOutcome::Served))
            .collect::<Vec<_>>()
    );
    assert_eq!(harness.coalescer.usage(), Usage::default());
    assert_eq!(harness.coalescer.next_deadline(), None);
    assert_eq!(
        harness.read(501),
        Action::Open {
            flight: flight(501)
        },
        "the answer is not cached"
    );
}

#[test]
fn reads_that_differ_in_key_or_variant_share_no_flight() {
    let mut harness = Harness::new();
    harness.read(1);
    assert_eq!(
        harness.read_of(2, b"key", b"size=2", 1_000),
        Action::Open { flight: flight(2) }
    );
    assert_eq!(
        harness.read_of(3, b"other", b"", 1_000),
        Action::Open { flight: flight(3) }
    );
    assert_eq!(joins(harness.read_of(4, b"key", b"size=2", 1_000)), Some(2));
}
