//! Handling of health checks, the listener and connections in each phase, drained or not.

use load_balancer::Micros;
use process_lifecycle::{DRAIN_READ_DURATION, IdleConnectionPolicy, Lifecycle, LifecycleEvent};

const START: Micros = Micros::from_millis(1_000);

/// The state of a new process after these events, all at `START`.
fn after(events: &[LifecycleEvent]) -> Lifecycle {
    events
        .iter()
        .fold(Lifecycle::default(), |lifecycle, &event| {
            lifecycle.after(START, event)
        })
}

#[test]
fn a_process_is_ready_once_it_knows_endpoints() {
    assert!(!after(&[]).is_ready() && after(&[]).accepts_connections());
    assert!(after(&[LifecycleEvent::EndpointsKnown]).is_ready());
}

#[test]
fn a_drained_process_reports_unhealthy_and_closes_idle_connections_but_can_serve() {
    let lifecycle = after(&[LifecycleEvent::EndpointsKnown, LifecycleEvent::DrainRouter]);
    assert!(
        !lifecycle.reports_healthy() && lifecycle.is_ready() && lifecycle.accepts_connections()
    );
    assert_eq!(
        lifecycle.idle_connection_policy(),
        IdleConnectionPolicy::Close
    );
}

#[test]
fn a_second_drain_does_not_restart_the_first() {
    let lifecycle = after(&[LifecycleEvent::EndpointsKnown, LifecycleEvent::DrainRouter])
        .after(START.plus(DRAIN_READ_DURATION), LifecycleEvent::DrainRouter);
    assert!(
        lifecycle.may_read_more(START) && !lifecycle.may_read_more(START.plus(DRAIN_READ_DURATION))
    );
}

#[test]
fn a_resume_ends_the_drain_and_does_nothing_without_one() {
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
fn with_a_successor_idle_connections_are_handed_over_and_no_new_ones_are_accepted() {
    let lifecycle = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
    ]);
    assert_eq!(
        (
            lifecycle.idle_connection_policy(),
            lifecycle.accepts_connections(),
            lifecycle.is_ready()
        ),
        (IdleConnectionPolicy::HandOver, false, false)
    );
    assert!(!lifecycle.may_read_more(START));
}

#[test]
fn a_process_serves_again_when_its_successor_is_lost() {
    let lifecycle = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::SuccessorLost,
    ]);
    assert_eq!(lifecycle, after(&[LifecycleEvent::EndpointsKnown]));
    let shutting_down = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::Terminate,
        LifecycleEvent::SuccessorLost,
    ]);
    assert_eq!(
        shutting_down.idle_connection_policy(),
        IdleConnectionPolicy::CloseNow
    );
}

#[test]
fn sigterm_while_drained_closes_connections_and_keeps_the_drain() {
    let lifecycle = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::DrainRouter,
        LifecycleEvent::Terminate,
    ]);
    assert_eq!(
        (
            lifecycle.idle_connection_policy(),
            lifecycle.reports_healthy(),
            lifecycle.accepts_connections()
        ),
        (IdleConnectionPolicy::CloseNow, false, false)
    );
}

#[test]
fn a_drain_during_a_replacement_still_hands_connections_over() {
    let lifecycle = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::DrainRouter,
    ]);
    assert_eq!(
        (
            lifecycle.idle_connection_policy(),
            lifecycle.reports_healthy()
        ),
        (IdleConnectionPolicy::HandOver, false)
    );
}

#[test]
fn after_sigterm_with_a_successor_connections_are_still_handed_over() {
    let lifecycle = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::SuccessorServes,
        LifecycleEvent::Terminate,
    ]);
    assert_eq!(
        lifecycle.idle_connection_policy(),
        IdleConnectionPolicy::HandOver
    );
    let terminated_first = after(&[
        LifecycleEvent::EndpointsKnown,
        LifecycleEvent::Terminate,
        LifecycleEvent::SuccessorServes,
    ]);
    assert_eq!(
        terminated_first.idle_connection_policy(),
        IdleConnectionPolicy::HandOver
    );
}
