//! Retries: whether a request may be sent again, to which servers, how often, and when an attempt
//! times out.

mod common;

use common::*;
use load_balancer::*;

#[test]
fn a_non_idempotent_request_is_retried_only_if_it_never_ran() {
    for (outcome, is_retried) in [
        (Outcome::Overloaded, true),
        (Outcome::Unreachable, true),
        (Outcome::Failure, false),
        (Outcome::ConnectionLost, false),
        (Outcome::TimedOut, false),
    ] {
        let mut rig = TestRouter::new(settings(), ready(3));
        let (id, _) = rig.request(1, 5);
        let actions = rig.end_attempt(id, 0, outcome, 20);
        assert_eq!(sent(&actions).is_some(), is_retried, "{outcome:?}");
        assert_eq!(
            failed(&actions),
            !is_retried,
            "{outcome:?}: a request that may have run fails and is not rejected"
        );
        assert!(!rejected(&actions));
    }
}

#[test]
fn a_keyed_request_is_retried_only_within_its_deduplication_window() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(2, 5);
    rig.now = rig.now.plus(ms(100));
    assert!(sent(&rig.end_attempt(id, 0, Outcome::ConnectionLost, 100)).is_some());

    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(2, 5);
    rig.now = rig.now.plus(ms(400));
    let actions = rig.end_attempt(id, 0, Outcome::ConnectionLost, 400);
    assert_eq!(sent(&actions), None, "its deduplication window is over");
    assert!(
        rejected(&actions),
        "all servers drop duplicates, so the client may repeat the request"
    );
}

/// A retry may have to wait for its connection, so it carries the time by which it must be written.
#[test]
fn a_keyed_retry_carries_the_rest_of_its_deduplication_window() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let (id, actions) = rig.request(2, 7);
    let write_within_of = |actions: &[Action]| {
        actions.iter().find_map(|a| match a {
            Action::Send { write_within, .. } => Some(*write_within),
            _ => None,
        })
    };
    assert_eq!(
        write_within_of(&actions),
        Some(None),
        "the first attempt has no limit"
    );
    rig.now = rig.now.plus(ms(390));
    let actions = rig.end_attempt(id, 0, Outcome::ConnectionLost, 390);
    assert_eq!(
        write_within_of(&actions),
        Some(Some(ms(10))),
        "10 of 400 ms are left"
    );
}

#[test]
fn a_keyed_request_stays_in_its_deduplication_scope() {
    let mut settings = settings();
    settings.classes[2].idempotency = Idempotency::Keyed {
        scope: DeduplicationScope::Zone,
        deduplication_window: ms(400),
    };
    let mut endpoints = ready(3);
    for (i, endpoint) in endpoints.iter_mut().enumerate() {
        endpoint.zone = Some(ZoneId(i));
    }
    let mut rig = TestRouter::new(settings, endpoints);
    let (id, _) = rig.request(2, 5);
    let actions = rig.end_attempt(id, 0, Outcome::ConnectionLost, 10);
    assert_eq!(sent(&actions), None);
    assert!(failed(&actions) && !rejected(&actions));
}

#[test]
fn attempts_are_limited() {
    let mut rig = TestRouter::new(settings(), ready(9));
    let (id, _) = rig.request(0, 5);
    let mut sends = 1;
    for attempt in 0..9 {
        sends +=
            usize::from(sent(&rig.end_attempt(id, attempt, Outcome::Unreachable, 1)).is_some());
    }
    assert_eq!(sends, 3);
}

#[test]
fn no_retry_goes_to_a_server_that_drains_meanwhile() {
    let mut rig = TestRouter::new(settings(), ready(2));
    let (id, actions) = rig.request(0, 5);
    let first = sent(&actions).expect("sent");
    let mut draining: Vec<Endpoint> = ready(2)
        .into_iter()
        .filter(|endpoint| endpoint.server != first)
        .collect();
    draining[0].state = EndpointState::Draining;
    rig.update_endpoints(EndpointUpdate::Delta, draining);
    let actions = rig.end_attempt(id, 0, Outcome::Unreachable, 5);
    assert_eq!(sent(&actions), None);
    assert!(rejected(&actions));
}

/// Guards the retry budget: a fleet that fails as a whole must not get a multiple of the load.
#[test]
fn retries_are_a_small_part_of_the_load() {
    let mut rig = TestRouter::new(settings(), ready(5));
    let mut sends = 0;
    for key in 0..500 {
        let (id, actions) = rig.request(0, key);
        sends += usize::from(sent(&actions).is_some());
        for attempt in 0..3 {
            sends +=
                usize::from(sent(&rig.end_attempt(id, attempt, Outcome::Overloaded, 5)).is_some());
        }
    }
    assert!(
        sends < 560,
        "{sends} sends for 500 requests that all failed"
    );
}

/// Guards the server that follows a hot or unresponsive one on the ring: retries of many routers
/// are spread over several servers, and still find the last available one.
#[test]
fn retries_of_many_routers_are_spread() {
    let second_target = |seed: u64, count: usize| {
        let mut rig = TestRouter::new(settings(), vec![]);
        rig.router = Router::new(
            Settings {
                routers: 400,
                ..settings()
            },
            seed,
        )
        .expect("usable settings");
        rig.update_endpoints(EndpointUpdate::Snapshot, ready(count));
        let (id, _) = rig.request(0, 7);
        sent(&rig.end_attempt(id, 0, Outcome::TimedOut, 200))
    };
    let servers_used: std::collections::BTreeSet<_> =
        (0..40).filter_map(|seed| second_target(seed, 20)).collect();
    assert!((2..=4).contains(&servers_used.len()), "{servers_used:?}");
    assert!(
        (0..40).all(|seed| second_target(seed, 2).is_some()),
        "the last available server"
    );
}

/// Guards against servers that do not respond: while a retry can follow and late answers have no
/// weight, an attempt times out after a part of the time to the objective. There is no timeout if
/// late answers have weight, if the request is not idempotent, or if the typical latency is a large
/// part of that time, since most attempts would then be abandoned shortly before their response.
#[test]
fn an_overdue_attempt_times_out_while_a_retry_can_follow() {
    let timeout = |class: usize, late_weight: f64, baseline: u64| {
        let mut rig = TestRouter::new(settings_with_late_weight(late_weight), ready(3));
        for key in 0..60 {
            let (id, _) = rig.request(0, key);
            rig.now = rig.now.plus(ms(baseline));
            rig.end_attempt(id, 0, Outcome::Success, baseline);
        }
        let (_, actions) = rig.request(class, 5);
        let found = actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        found.expect("a send")
    };
    assert!(timeout(0, 0.0, 20).is_some_and(|t| t > ms(60) && t < ms(300)));
    assert!(timeout(2, 0.0, 20).is_some());
    assert_eq!(timeout(1, 0.0, 20), None, "a non-idempotent request");
    assert_eq!(timeout(0, 0.3, 20), None, "late answers have weight");
    assert_eq!(
        timeout(0, 0.0, 100),
        None,
        "the typical latency is a third of the objective"
    );
}

/// Guards against a keyed request that runs again at a process that has come up since, and has not heard of
/// its key. The listed start times lie on either side of the request's time.
#[test]
fn a_keyed_request_is_not_retried_at_a_process_that_was_told_after_it_was_sent() {
    const SENT_AT_MS: u64 = 100_000;
    for (is_told_after, started_ms) in [(false, 10), (false, SENT_AT_MS + 10), (true, 10)] {
        let restarted = |number| Endpoint {
            started: WallTime::from_unix_millis(started_ms),
            age: ProcessAge::Known(ms(40_000)),
            ..Endpoint::ready(name(number))
        };
        let first_list = if is_told_after {
            ready(3)
        } else {
            [1, 2, 3].map(restarted).to_vec()
        };
        let mut rig = TestRouter::new(settings(), first_list);
        assert_eq!(rig.now, ms(SENT_AT_MS));
        let (id, actions) = rig.request(2, 5);
        let first = sent(&actions).expect("a send");
        if is_told_after {
            let others = [1, 2, 3]
                .into_iter()
                .filter(|&number| name(number) != first);
            rig.now = rig.now.plus(ms(10));
            rig.update_endpoints(EndpointUpdate::Delta, others.map(restarted).collect());
        }
        rig.now = rig.now.plus(ms(30));
        let actions = rig.end_attempt(id, 0, Outcome::ConnectionLost, 40);
        assert_eq!(
            sent(&actions).is_some(),
            !is_told_after,
            "told after the request: {is_told_after}, started at {started_ms} ms"
        );
    }
}
