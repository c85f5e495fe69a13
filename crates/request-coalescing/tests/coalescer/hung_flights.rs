//! A hung flight is replaced, but only once.

use crate::harness::*;
use request_coalescing::*;

#[test]
fn a_hung_flight_is_replaced_once_and_joined_no_more() {
    let mut harness = Harness::new();
    harness.learn_latency(10);
    harness.read(1);
    harness.advance(20);
    assert_eq!(
        joins(harness.read(2)),
        Some(1),
        "an age of exactly twice the long latency does not count as hung"
    );
    harness.advance(1);
    assert_eq!(harness.read(3), Action::Open { flight: flight(3) });
    assert_eq!(joins(harness.read(4)), Some(3));
    harness.advance(21);
    assert_eq!(
        joins(harness.read(5)),
        Some(3),
        "a replacement is not replaced"
    );
    let actions = harness.ended(3, FlightOutcome::Served);
    assert_eq!(
        answers(&actions).len(),
        5,
        "the waiters of the hung flight are answered too"
    );
    assert_eq!(withdrawn(&actions), [1]);
    assert_eq!(harness.coalescer.counters().replacements, 1);
}
