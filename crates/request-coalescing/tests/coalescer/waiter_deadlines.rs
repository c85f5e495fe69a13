//! Each waiter has its own deadline; the flight has the latest of them.

use crate::harness::*;
use load_balancer::RequestId;
use request_coalescing::*;

#[test]
fn a_waiter_is_rejected_at_its_own_deadline_and_neither_ends_nor_shortens_the_flight() {
    let mut harness = Harness::new();
    harness.read(1);
    let Action::Join { expires, .. } = harness.read_of(2, b"key", b"", 50) else {
        panic!("the read did not join the flight")
    };
    assert_eq!(
        expires,
        harness.now.plus(ms(1_000)),
        "the flight keeps its later deadline"
    );
    assert_eq!(
        harness.coalescer.next_deadline(),
        Some(harness.now.plus(ms(50)))
    );
    harness.advance(49);
    assert_eq!(harness.event(Event::DeadlineReached), []);
    harness.advance(1);
    let actions = harness.event(Event::DeadlineReached);
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
        [(1, FlightOutcome::Served)]
    );
}

#[test]
fn a_waiter_with_a_later_deadline_extends_the_flight() {
    let mut harness = Harness::new();
    harness.read(1);
    let Action::Join { expires, .. } = harness.read_of(2, b"key", b"", 4_000) else {
        panic!("the read did not join the flight")
    };
    assert_eq!(expires, harness.now.plus(ms(4_000)));
}

#[test]
fn the_leader_disconnects_and_the_flight_goes_on_until_the_last_waiter_leaves() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.read(2);
    harness.read(3);
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(1) }),
        []
    );
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(3) }),
        []
    );
    assert_eq!(joins(harness.read(4)), Some(1));
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(2) }),
        []
    );
    assert_eq!(
        withdrawn(&harness.event(Event::ClientDisconnected { id: RequestId(4) })),
        [1]
    );
    assert_eq!(harness.coalescer.usage(), Usage::default());
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(4) }),
        [],
        "a repeated disconnect has no effect"
    );
}

#[test]
fn the_last_waiters_deadline_ends_the_flight() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.advance(1_000);
    assert_eq!(withdrawn(&harness.event(Event::DeadlineReached)), [1]);
    assert_eq!(harness.coalescer.usage(), Usage::default());
}

#[test]
fn a_flights_deadline_is_the_latest_of_its_remaining_waiters() {
    let mut harness = Harness::new();
    let start = harness.now;
    harness.read_of(1, b"key", b"", 300);
    harness.read_of(2, b"key", b"", 900);
    harness.read_of(3, b"key", b"", 500);
    let shorten = |millis| {
        [Action::Shorten {
            flight: flight(1),
            expires: start.plus(ms(millis)),
        }]
    };
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(2) }),
        shorten(500)
    );
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(1) }),
        []
    );
    let Action::Join { expires, .. } = harness.read_of(4, b"key", b"", 400) else {
        panic!("the read did not join the flight")
    };
    assert_eq!(expires, start.plus(ms(500)));
    assert_eq!(
        harness.event(Event::ClientDisconnected { id: RequestId(3) }),
        shorten(400)
    );
}
