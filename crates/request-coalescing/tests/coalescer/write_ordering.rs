//! No read sees a value from before a write that it follows.

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
        "after its begin"
    );
    assert_eq!(joins(harness.read(3)), Some(2), "those after it share");
    harness.write();
    assert_eq!(
        harness.read(4),
        Action::Open { flight: flight(4) },
        "after its end"
    );
    assert_eq!(
        answers(&harness.ended(1, FlightOutcome::Served)),
        [(1, FlightOutcome::Served)],
        "what it was opened for it still serves"
    );
}

/// The second flight is younger than what the first's waiters asked for, but not the other way round.
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
        "the flight of 3 goes on"
    );
    assert_eq!(
        answers(&harness.ended(1, FlightOutcome::Served)),
        [],
        "it is over"
    );
}
