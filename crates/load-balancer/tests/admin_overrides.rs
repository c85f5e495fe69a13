//! Servers that operators call out and back: their word holds whatever the list says, and the return is cold.

mod common;

use common::*;
use load_balancer::*;

fn exclude(rig: &mut Rig, server: ServerId) -> Vec<Action> {
    rig.event(Event::ServerDisabled { server })
}

fn include(rig: &mut Rig, server: ServerId) -> Vec<Action> {
    let at = rig.now;
    rig.event(Event::ServerEnabled { server, at })
}

/// How many of a hundred keys go to the first server.
fn share(rig: &mut Rig) -> usize {
    (0..100)
        .filter(|&key| rig.served_by(key) == Some(name(1)))
        .count()
}

#[test]
fn nothing_new_goes_to_a_server_that_is_out() {
    let mut rig = Rig::new(settings(), ready(3));
    assert!(share(&mut rig) > 0);
    let actions = exclude(&mut rig, name(1));
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
fn the_list_does_not_lift_a_ban() {
    let mut rig = Rig::new(settings(), ready(3));
    exclude(&mut rig, name(1));
    let fresh = Endpoint {
        started: ms(99_000),
        ..Endpoint::ready(name(1))
    };
    let gone = Endpoint {
        state: EndpointState::Removed,
        ..Endpoint::ready(name(1))
    };
    for endpoints in [vec![Endpoint::ready(name(1))], vec![gone], vec![fresh]] {
        rig.list(EndpointUpdate::Delta, endpoints);
        assert_eq!(share(&mut rig), 0);
    }
    rig.list(EndpointUpdate::Snapshot, ready(3));
    assert_eq!(share(&mut rig), 0);
}

#[test]
fn an_attempt_that_is_out_ends_as_it_would_and_no_further_one_goes_there() {
    let mut rig = Rig::new(settings(), ready(1));
    let (id, actions) = rig.ask(0, 7);
    assert_eq!(sent(&actions), Some(name(1)));
    exclude(&mut rig, name(1));
    let (_, actions) = rig.ask(0, 7);
    assert_eq!(sent(&actions), None);
    let actions = rig.end(id, 0, Outcome::Success, 20);
    assert!(!refused(&actions) && !failed(&actions), "{actions:?}");
}

#[test]
fn one_call_back_ends_two_calls_out() {
    let mut rig = Rig::new(settings(), ready(3));
    exclude(&mut rig, name(1));
    exclude(&mut rig, name(1));
    include(&mut rig, name(1));
    assert_eq!(
        rig.router.availability(&name(1)),
        Some(Availability::Accepting)
    );
}

#[test]
fn the_return_is_cold_though_the_list_names_no_new_start_and_warms_up() {
    let mut rig = Rig::new(settings(), ready(3));
    let usual = share(&mut rig);
    exclude(&mut rig, name(1));
    rig.now = rig.now.plus(ms(3_000));
    include(&mut rig, name(1));
    assert!(share(&mut rig) * 5 < usual, "it is sent little at first");
    rig.now = rig.now.plus(ms(31_000));
    assert_eq!(share(&mut rig), usual);
}

#[test]
fn a_call_back_during_its_warm_up_begins_that_anew() {
    let mut rig = Rig::new(settings(), ready(3));
    let usual = share(&mut rig);
    rig.list(
        EndpointUpdate::Delta,
        vec![Endpoint {
            started: rig.now,
            ..Endpoint::ready(name(1))
        }],
    );
    rig.now = rig.now.plus(ms(29_000));
    exclude(&mut rig, name(1));
    include(&mut rig, name(1));
    assert!(share(&mut rig) * 5 < usual);
}

#[test]
fn a_call_back_that_was_not_called_out_changes_nothing() {
    let mut rig = Rig::new(settings(), ready(3));
    let usual = share(&mut rig);
    include(&mut rig, name(1));
    include(&mut rig, name(1));
    assert_eq!(
        (share(&mut rig), rig.router.admin_overrides().count()),
        (usual, 0)
    );
}

#[test]
fn a_word_given_before_the_list_names_the_server_holds_once_it_does() {
    let mut rig = Rig::new(settings(), ready(2));
    exclude(&mut rig, name(3));
    rig.list(EndpointUpdate::Delta, vec![Endpoint::ready(name(3))]);
    assert_eq!(
        rig.router.availability(&name(3)),
        Some(Availability::Disabled)
    );
}

#[test]
fn a_successor_that_is_told_of_a_call_back_meets_the_server_as_cold() {
    let mut old = Rig::new(settings(), ready(3));
    let usual = share(&mut old);
    exclude(&mut old, name(1));
    include(&mut old, name(1));
    let words: Vec<_> = old
        .router
        .admin_overrides()
        .map(|(server, word)| (server.clone(), word))
        .collect();
    let mut new = Rig::new(settings(), ready(3));
    new.now = old.now.plus(ms(1_000));
    for (server, word) in words {
        let event = match word {
            AdminOverride::Disabled => Event::ServerDisabled { server },
            AdminOverride::EnabledAt(at) => Event::ServerEnabled { server, at },
        };
        new.event(event);
    }
    assert!(share(&mut new) * 5 < usual);
}

#[test]
fn with_all_servers_out_requests_wait_and_go_once_one_is_back() {
    let mut rig = Rig::new(settings(), ready(2));
    exclude(&mut rig, name(1));
    exclude(&mut rig, name(2));
    let (id, actions) = rig.ask(0, 7);
    assert!(
        sent(&actions).is_none() && !refused(&actions),
        "{actions:?}"
    );
    include(&mut rig, name(2));
    rig.now = rig.now.plus(ms(100));
    let timer = u64::from(id.0) << 2 | 1;
    assert_eq!(
        sent(&rig.event(Event::Timer { token: timer })),
        Some(name(2))
    );
}

#[test]
fn a_successor_knows_what_is_kept_where_and_what_each_server_bears() {
    let mut old = Rig::new(settings(), ready(3));
    let homes: Vec<_> = (0..100).map(|key| old.served_by(key)).collect();
    let learnt = old.router.warm_state();
    let mut new = Rig::new(settings(), ready(3));
    let now = old.now;
    new.router.restore_warm_state(now, learnt.clone());
    assert_eq!(new.router.warm_state(), learnt);
    assert_eq!(
        (0..100).map(|key| new.served_by(key)).collect::<Vec<_>>(),
        homes
    );
}

#[test]
fn of_a_server_that_was_started_anew_nothing_is_recalled() {
    let mut old = Rig::new(settings(), ready(2));
    let usual = share(&mut old);
    let fresh = Endpoint {
        started: ms(99_000),
        ..Endpoint::ready(name(1))
    };
    let mut new = Rig::new(settings(), vec![fresh, Endpoint::ready(name(2))]);
    let now = new.now;
    new.router.restore_warm_state(now, old.router.warm_state());
    assert!(share(&mut new) * 5 < usual, "it is cold");
}
