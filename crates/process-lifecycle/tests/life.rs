//! What a process answers in each state, and where states meet.

use load_balancer::Micros;
use process_lifecycle::{AtRest, Event, Life, READ_ON};

const START: Micros = Micros::from_millis(1_000);

/// A process after these events, all at one time.
fn after(events: &[Event]) -> Life {
    events
        .iter()
        .fold(Life::default(), |life, &event| life.after(START, event))
}

#[test]
fn it_is_ready_once_it_knows_servers() {
    assert!(!after(&[]).is_ready() && after(&[]).accepts());
    assert!(after(&[Event::Equipped]).is_ready());
}

#[test]
fn a_drained_process_says_no_and_closes_what_rests_but_can_serve() {
    let life = after(&[Event::Equipped, Event::Evacuate]);
    assert!(!life.pongs() && life.is_ready() && life.accepts());
    assert_eq!(life.at_rest(), AtRest::Closes);
}

#[test]
fn a_second_evacuation_does_not_begin_the_drain_anew() {
    let life =
        after(&[Event::Equipped, Event::Evacuate]).after(START.plus(READ_ON), Event::Evacuate);
    assert!(life.reads_on(START) && !life.reads_on(START.plus(READ_ON)));
}

#[test]
fn a_rejoin_ends_the_drain_and_unasked_changes_nothing() {
    let serving = after(&[Event::Equipped]);
    assert_eq!(
        after(&[Event::Equipped, Event::Evacuate, Event::Rejoin]),
        serving
    );
    assert_eq!(serving.after(START, Event::Rejoin), serving);
}

#[test]
fn with_a_successor_connections_at_rest_are_passed_on_and_none_is_accepted() {
    let life = after(&[Event::Equipped, Event::SuccessorServes]);
    assert_eq!(
        (life.at_rest(), life.accepts(), life.is_ready()),
        (AtRest::PassesOn, false, false)
    );
    assert!(!life.reads_on(START));
}

#[test]
fn a_successor_that_dies_gives_the_service_back() {
    let life = after(&[
        Event::Equipped,
        Event::SuccessorServes,
        Event::SuccessorLost,
    ]);
    assert_eq!(life, after(&[Event::Equipped]));
    let ending = after(&[
        Event::Equipped,
        Event::SuccessorServes,
        Event::Terminate,
        Event::SuccessorLost,
    ]);
    assert_eq!(ending.at_rest(), AtRest::ClosesNow);
}

#[test]
fn sigterm_while_drained_ends_the_process_and_leaves_the_drain() {
    let life = after(&[Event::Equipped, Event::Evacuate, Event::Terminate]);
    assert_eq!(
        (life.at_rest(), life.pongs(), life.accepts()),
        (AtRest::ClosesNow, false, false)
    );
}

#[test]
fn a_drain_during_a_replacement_goes_to_the_successor_with_the_connections() {
    let life = after(&[Event::Equipped, Event::SuccessorServes, Event::Evacuate]);
    assert_eq!((life.at_rest(), life.pongs()), (AtRest::PassesOn, false));
}

#[test]
fn after_sigterm_with_a_successor_connections_still_go_to_it() {
    let life = after(&[Event::Equipped, Event::SuccessorServes, Event::Terminate]);
    assert_eq!(life.at_rest(), AtRest::PassesOn);
    let late = after(&[Event::Equipped, Event::Terminate, Event::SuccessorServes]);
    assert_eq!(late.at_rest(), AtRest::PassesOn);
}
