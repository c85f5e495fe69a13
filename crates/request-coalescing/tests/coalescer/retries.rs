//! A retry of a flight rejects the waiters for whom it comes too late.

use crate::harness::*;
use request_coalescing::*;

#[test]
fn a_retry_rejects_the_waiters_for_whom_it_comes_too_late() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.read_of(2, b"key", b"", 100);
    harness.read_of(3, b"key", b"", 101);
    harness.advance(81);
    let actions = harness.event(Event::Retried { flight: flight(1) });
    assert!(
        matches!(
            answers(&actions)[..],
            [(2, FlightOutcome::Rejected(Some(_)))]
        ),
        "{actions:?}"
    );
    assert_eq!(withdrawn(&actions), []);
    assert_eq!(
        answers(&harness.ended(1, FlightOutcome::Served)),
        [(1, FlightOutcome::Served), (3, FlightOutcome::Served)]
    );
}

/// The load balancer allowed the retry for the waiter with the latest deadline, so that this one is
/// not rejected.
#[test]
fn the_waiter_with_the_latest_deadline_keeps_its_retry() {
    let mut harness = Harness::new();
    harness.read_of(1, b"key", b"", 100);
    harness.advance(81);
    assert_eq!(harness.event(Event::Retried { flight: flight(1) }), []);
}
