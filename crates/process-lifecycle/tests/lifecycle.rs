//! What a process answers in each state, and where states meet.

use load_balancer::Micros;
use process_lifecycle::{IdleConnectionPolicy, Lifecycle, LifecycleEvent, READ_ON};

const START: Micros = Micros::from_millis(1_000);

/// A process after these events, all at one time.
fn after(events: &[LifecycleEvent]) -> Lifecycle {
    events.iter().fold(Lifecycle::default(), |life, &event| {
        life.after(START, event)
    })
}

#[test]
fn it_is_ready_once_it_knows_servers() {
    assert!(!after(&[]).is_ready() && after(&[]).accepts());
    assert!(after(&[LifecycleEvent::EndpointsKnown]).is_ready());
}

#[test]
fn a_drained_process_says_no_and_closes_what_rests_but_can_serve() {
    let life = after(&[LifecycleEvent::EndpointsKnown, LifecycleEvent::DrainRouter]);
    assert!(!life.reports_healthy() && life.is_ready() && life.accepts());
    assert_eq!(life.idle_connection_policy(), IdleConnectionPolicy::Close);
}

#[test]
fn a_second_evacuation_does_not_begin_the_drain_anew() {
    let life = after(&[LifecycleEvent::EndpointsKnown, LifecycleEvent::DrainRouter])
        .after(START.plus(READ_ON), LifecycleEvent::DrainRouter);
    assert!(life.may_read_more(START) && !life.may_read_more(START.plus(READ_ON)));
}

#[test]
fn a_rejoin_ends_the_drain_and_unasked_changes_nothing() {
    let serving = after(&[LifecycleEvent::EndpointsKnown]);
    assert_eq!(
        after(&[
            LifecycleEvent::EndpointsKnown,
            LifecycleEvent::DrainRouter,
            LifecycleEvent::ResumeRouter
        ]),
        serving
    );
    assert_eq!(serving.after(START, LifecycleEvent::ResumeRouter), serving);
}

#[test]
fn with_a_successor_connections_at_rest_are_passed_on_and_none_is_accepted() {
    let life = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
    ]);
    assert_eq!(
        (
            life.idle_connection_policy(),
            life.accepts(),
            life.is_ready()
        ),
        (IdleConnectionPolicy::HandOver, false, false)
    );
    assert!(!life.may_read_more(START));
}

#[test]
fn a_successor_that_dies_gives_the_service_back() {
    let life = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::SuccessorLost,
    ]);
    assert_eq!(life, after(&[LifecycleEvent::EndpointsKnown]));
    let ending = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::Terminate,
        LifecycleEvent::SuccessorLost,
    ]);
    assert_eq!(
        ending.idle_connection_policy(),
        IdleConnectionPolicy::CloseNow
    );
}

#[test]
fn sigterm_while_drained_ends_the_process_and_leaves_the_drain() {
    let life = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::DrainRouter,
        LifecycleEvent::Terminate,
    ]);
    assert_eq!(
        (
            life.idle_connection_policy(),
            life.reports_healthy(),
            life.accepts()
        ),
        (IdleConnectionPolicy::CloseNow, false, false)
    );
}

#[test]
fn a_drain_during_a_replacement_goes_to_the_successor_with_the_connections() {
    let life = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::DrainRouter,
    ]);
    assert_eq!(
        (life.idle_connection_policy(), life.reports_healthy()),
        (IdleConnectionPolicy::HandOver, false)
    );
}

#[test]
fn after_sigterm_with_a_successor_connections_still_go_to_it() {
    let life = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::Terminate,
    ]);
    assert_eq!(
        life.idle_connection_policy(),
        IdleConnectionPolicy::HandOver
    );
    let late = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::Terminate,
        LifecycleEvent::SuccessorServes,
    ]);
    assert_eq!(
        late.idle_connection_policy(),
        IdleConnectionPolicy::HandOver
    );
}
