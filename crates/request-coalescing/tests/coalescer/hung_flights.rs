//! A flight that hangs is replaced, once.

use crate::rig::*;
use request_coalescing::*;

#[test]
fn a_hung_flight_is_replaced_once_and_joined_no_more() {
    let mut rig = Rig::new();
    rig.learn_latency(10);
    rig.read(1);
    rig.advance(20);
    assert_eq!(
        joins(rig.read(2)),
        Some(1),
        "twice what is long, and no more"
    );
    rig.advance(1);
    assert_eq!(rig.read(3), Action::Open { flight: flight(3) });
    assert_eq!(joins(rig.read(4)), Some(3));
    rig.advance(21);
    assert_eq!(joins(rig.read(5)), Some(3), "a third one would be too many");
    let actions = rig.ended(3, FlightOutcome::Served);
    assert_eq!(
        answers(&actions).len(),
        5,
        "those of the hanging one have the answer too"
    );
    assert_eq!(withdrawn(&actions), [1]);
    assert_eq!(rig.coalescer.counters().replacements, 1);
}
