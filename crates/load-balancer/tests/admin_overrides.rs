//! Admin overrides: they apply regardless of the endpoint list, and an enabled server goes through
//! slow start.

mod common;

use common::*;
use load_balancer::*;

fn disable(rig: &mut TestRouter, server: ServerId) -> Vec<Action> {
    rig.event(Event::ServerDisabled { server })
}

fn enable(rig: &mut TestRouter, server: ServerId) -> Vec<Action> {
    let at = rig.now;
    rig.event(Event::ServerEnabled {
        server,
        at,
        source: OverrideSource::Operator,
    })
}

/// Number of a hundred keys that are sent to the first server.
fn share(rig: &mut TestRouter) -> usize {
    (0..100)
        .filter(|&key| rig.served_by(key) == Some(name(1)))
        .count()
}

#[test]
fn nothing_new_goes_to_a_disabled_server() {
    let mut rig = TestRouter::new(settings(), ready(3));
    assert!(share(&mut rig) > 0);
    let actions = disable(&mut rig, name(1));
    assert!(
        actions.contains(&Action::CloseIdle { server: name(1) }),
        "{actions:?}"
    );
    assert_eq!(
        (share(&mut rig), rig.router.availability(&name(1))),
        (0, Some(Availability::Disabled))
    );
    assert_eq!(rig.router.avoided_endpoints(), 1);
}

#[test]
fn the_endpoint_list_does_not_enable_a_disabled_server() {
    let mut rig = TestRouter::new(settings(), ready(3));
    disable(&mut rig, name(1));
    let fresh = Endpoint {
        started: WallTime::from_unix_millis(99_000),
        age: ProcessAge::Unknown,
        ..Endpoint::ready(name(1))
    };
    let gone = Endpoint {
        state: EndpointState::Removed,
        ..Endpoint::ready(name(1))
    };
    for endpoints in [vec![Endpoint::ready(name(1))], vec![gone], vec![fresh]] {
        rig.update_endpoints(EndpointUpdate::Delta, endpoints);
        assert_eq!(share(&mut rig), 0);
    }
    rig.update_endpoints(EndpointUpdate::Snapshot, ready(3));
    assert_eq!(share(&mut rig), 0);
}

#[test]
fn an_attempt_in_flight_to_a_disabled_server_ends_and_no_other_follows() {
    let mut rig = TestRouter::new(settings(), ready(1));
    let (id, actions) = rig.request(0, 7);
    assert_eq!(sent(&actions), Some(name(1)));
    disable(&mut rig, name(1));
    let (_, actions) = rig.request(0, 7);
    assert_eq!(sent(&actions), None);
    let actions = rig.end_attempt(id, 0, Outcome::Success, 20);
    assert!(!rejected(&actions) && !failed(&actions), "{actions:?}");
}

#[test]
fn enabling_once_ends_disabling_twice() {
    let mut rig = TestRouter::new(settings(), ready(3));
    disable(&mut rig, name(1));
    disable(&mut rig, name(1));
    enable(&mut rig, name(1));
    assert_eq!(
        rig.router.availability(&name(1)),
        Some(Availability::Accepting)
    );
}

#[test]
fn an_enabled_server_goes_through_slow_start_without_a_new_start_on_the_list() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let baseline = share(&mut rig);
    disable(&mut rig, name(1));
    rig.now = rig.now.plus(ms(3_000));
    enable(&mut rig, name(1));
    assert!(
        share(&mut rig) * 5 < baseline,
        "a server in slow start gets few requests"
    );
    rig.now = rig.now.plus(ms(31_000));
    assert_eq!(share(&mut rig), baseline);
}

#[test]
fn enabling_during_slow_start_restarts_it() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let baseline = share(&mut rig);
    rig.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started: WallTime::from_unix_millis(99_000),
            age: ProcessAge::Unknown,
            ..Endpoint::ready(name(1))
        }],
    );
    rig.now = rig.now.plus(ms(29_000));
    disable(&mut rig, name(1));
    enable(&mut rig, name(1));
    assert!(share(&mut rig) * 5 < baseline);
}

#[test]
fn enabling_a_server_that_is_not_disabled_changes_nothing() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let baseline = share(&mut rig);
    enable(&mut rig, name(1));
    enable(&mut rig, name(1));
    assert_eq!(
        (share(&mut rig), rig.router.admin_overrides().count()),
        (baseline, 0)
    );
}

#[test]
fn an_override_holds_for_a_server_that_is_listed_later() {
    let mut rig = TestRouter::new(settings(), ready(2));
    disable(&mut rig, name(3));
    rig.update_endpoints(EndpointUpdate::Delta, vec![Endpoint::ready(name(3))]);
    assert_eq!(
        rig.router.availability(&name(3)),
        Some(Availability::Disabled)
    );
}

#[test]
fn a_successor_process_applies_slow_start_to_an_enabled_server() {
    let mut old = TestRouter::new(settings(), ready(3));
    let baseline = share(&mut old);
    disable(&mut old, name(1));
    enable(&mut old, name(1));
    let overrides: Vec<_> = old
        .router
        .admin_overrides()
        .map(|(server, value)| (server.clone(), value))
        .collect();
    let mut new = TestRouter::new(settings(), ready(3));
    new.now = old.now.plus(ms(1_000));
    for (server, value) in overrides {
        let event = match value {
            AdminOverride::Disabled => Event::ServerDisabled { server },
            AdminOverride::EnabledAt(at) => Event::ServerEnabled {
                server,
                at,
                source: OverrideSource::PreviousProcess,
            },
        };
        new.event(event);
    }
    assert!(share(&mut new) * 5 < baseline);
}

#[test]
fn with_all_servers_disabled_requests_wait_until_one_is_enabled() {
    let mut rig = TestRouter::new(settings(), ready(2));
    disable(&mut rig, name(1));
    disable(&mut rig, name(2));
    let (id, actions) = rig.request(0, 7);
    assert!(
        sent(&actions).is_none() && !rejected(&actions),
        "{actions:?}"
    );
    enable(&mut rig, name(2));
    rig.now = rig.now.plus(ms(100));
    let timer = u64::from(id.0) << 2 | 1;
    assert_eq!(
        sent(&rig.event(Event::Timer { token: timer })),
        Some(name(2))
    );
}

#[test]
fn a_successor_process_restores_key_locations_and_limits() {
    let mut old = TestRouter::new(settings(), ready(3));
    let servers_used: Vec<_> = (0..100).map(|key| old.served_by(key)).collect();
    let warm_state = old.router.warm_state();
    let mut new = TestRouter::new(settings(), ready(3));
    let now = old.now;
    new.router.restore_warm_state(now, warm_state.clone());
    assert_eq!(new.router.warm_state(), warm_state);
    assert_eq!(
        (0..100).map(|key| new.served_by(key)).collect::<Vec<_>>(),
        servers_used
    );
}

#[test]
fn nothing_is_restored_of_a_restarted_server() {
    let mut old = TestRouter::new(settings(), ready(2));
    let baseline = share(&mut old);
    let fresh = Endpoint {
        started: WallTime::from_unix_millis(99_000),
        age: ProcessAge::Unknown,
        ..Endpoint::ready(name(1))
    };
    let mut new = TestRouter::new(settings(), vec![fresh, Endpoint::ready(name(2))]);
    let now = new.now;
    new.router.restore_warm_state(now, old.router.warm_state());
    assert!(
        share(&mut new) * 5 < baseline,
        "a restarted server goes through slow start"
    );
}
