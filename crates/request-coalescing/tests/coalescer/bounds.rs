//! Past a bound a read bypasses coalescing.

use crate::harness::*;
use load_balancer::RequestId;
use request_coalescing::*;

#[test]
fn past_each_bound_reads_bypass_coalescing() {
    let bounds = Bounds {
        waiters: 5,
        waiters_per_flight: 3,
        flights_per_key: 2,
        replacement_flights: 1,
    };
    let mut harness = Harness::with(bounds);
    let bypass = |id| Action::Bypass { id: RequestId(id) };
    for id in 1..=3 {
        harness.read(id);
    }
    assert_eq!(harness.read(4), bypass(4), "the flight is full");
    assert_eq!(
        harness.read_of(5, b"key", b"x", 1_000),
        Action::Open { flight: flight(5) }
    );
    assert_eq!(
        harness.read_of(6, b"key", b"y", 1_000),
        bypass(6),
        "the key has reached its limit of flights"
    );
    assert_eq!(
        harness.read_of(7, b"other", b"", 1_000),
        Action::Open { flight: flight(7) }
    );
    assert_eq!(
        harness.read_of(8, b"third", b"", 1_000),
        bypass(8),
        "the total number of waiters is at its limit"
    );
    assert_eq!(harness.coalescer.counters().bypassed, 3);
    harness.ended(7, FlightOutcome::Served);
    assert_eq!(
        harness.read_of(9, b"third", b"", 1_000),
        Action::Open { flight: flight(9) },
        "below the limits again"
    );
}
