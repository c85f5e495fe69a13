//! Deadlines: each request gets its final answer in time, and no attempt follows its end.

mod common;

use common::*;
use load_balancer::*;

#[test]
fn a_hanging_request_is_answered_at_its_deadline() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let (_, actions) = rig.request(0, 5);
    let (after, token) = deadline_timer(&actions);
    assert!(after <= ms(800));
    rig.now = rig.now.plus(after);
    assert!(rejected(&rig.event(Event::Timer { token })));
    assert_eq!(
        rig.event(Event::Timer { token })
            .iter()
            .filter(|a| matches!(a, Action::Reject { .. }))
            .count(),
        0
    );
}

#[test]
fn nothing_is_sent_after_the_client_disconnected() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(0, 5);
    rig.event(Event::ClientDisconnected { id });
    assert_eq!(rig.end_attempt(id, 0, Outcome::Unreachable, 20), vec![]);
}

#[test]
fn a_hanging_non_idempotent_request_fails_and_is_not_rejected() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let (_, actions) = rig.request(1, 5);
    let (after, token) = deadline_timer(&actions);
    rig.now = rig.now.plus(after);
    let actions = rig.event(Event::Timer { token });
    assert!(failed(&actions) && !rejected(&actions));
}

#[test]
fn without_servers_a_request_waits_for_one() {
    let mut rig = TestRouter::new(settings(), vec![]);
    let (_, actions) = rig.request(0, 5);
    assert_eq!(sent(&actions), None);
    assert!(!rejected(&actions));
    let placement_timers = actions.iter().filter_map(|a| match a {
        Action::SetTimer { after, token } if *after < ms(100) => Some(*token),
        _ => None,
    });
    let token = placement_timers.max().expect("a placement timer");
    rig.update_endpoints(EndpointUpdate::Snapshot, ready(1));
    rig.now = rig.now.plus(ms(30));
    assert_eq!(sent(&rig.event(Event::Timer { token })), Some(name(1)));
}
