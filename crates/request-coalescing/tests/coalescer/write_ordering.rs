//! No read sees a value from before a write that precedes it.

use crate::harness::*;
use request_coalescing::*;

#[test]
fn a_read_after_a_write_never_joins_a_flight_from_before_its_begin_or_its_end() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.write();
    assert_eq!(
        harness.read(2),
        Action::Open { flight: flight(2) },
        "after the write has begun"
    );
    assert_eq!(
        joins(harness.read(3)),
        Some(2),
        "reads after the write share a flight"
    );
    harness.write();
    assert_eq!(
        harness.read(4),
        Action::Open { flight: flight(4) },
        "after the write has ended"
    );
    assert_eq!(
        answers(&harness.ended(1, FlightOutcome::Served)),
        [(1, FlightOutcome::Served)],
        "the closed flight still serves its own waiters"
    );
}

/// The waiters of an earlier flight may be served by the answer of a later one, but not the other
/// way round.
#[test]
fn an_answer_serves_earlier_flights_and_never_later_ones() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.write();
    harness.read(2);
    harness.write();
    harness.read(3);
    let actions = harness.ended(2, FlightOutcome::Served);
    assert_eq!(
        answers(&actions),
        [(2, FlightOutcome::Served), (1, FlightOutcome::Served)]
    );
    assert_eq!(withdrawn(&actions), [1]);
    assert_eq!(
        harness.coalescer.usage(),
        Usage {
            waiters: 1,
            flights: 1
        },
        "the flight of read 3 continues"
    );
    assert_eq!(
        answers(&harness.ended(1, FlightOutcome::Served)),
        [],
        "the earlier flight has already ended"
    );
}
