//! Fleets of many routers, of which each observes little: admission by priority, limits whose
//! observations lose weight with age, and keys that do not migrate.

mod common;

use common::*;
use load_balancer::*;

/// The settings of one of 100 routers. Class 0 has priority weight 1 and class 1 has 5; both are
/// idempotent.
fn one_of_100_routers() -> Settings {
    let high_priority = Class {
        priority_weight: 5.0,
        ..class(Idempotency::Idempotent)
    };
    Settings {
        routers: 100,
        classes: vec![class(Idempotency::Idempotent), high_priority],
        ..Settings::default()
    }
}

/// Sends a read of the given class that expires after 800 ms; `number` makes its id unique.
fn read(rig: &mut TestRouter, number: usize, class: usize, key: u64) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000_000 + number as u32);
    let expires = rig.now.plus(ms(800));
    let request = Request {
        id,
        class: ClassId(class),
        tenant: None,
        key: Some(key),
        expires,
        cost_hint: None,
        retry: false,
        write: false,
    };
    (id, rig.event(Event::Request(request)))
}

/// Sends one request every `gap` for keys of the first of four servers, `high_priority` of ten with
/// class 1. One of nine answers takes `elapsed_ms`, which exceeds the objective; the others take 60
/// ms. Returns how many requests of each class were sent to a server.
fn send_requests(
    rig: &mut TestRouter,
    requests: usize,
    gap: Micros,
    high_priority: usize,
    elapsed_ms: u64,
) -> [usize; 2] {
    let mut sent_on = [0; 2];
    for (i, key) in keys_owned_by(1, 4).take(requests).enumerate() {
        let class = usize::from(i * 7 % 10 < high_priority);
        let (id, actions) = read(rig, i, class, key);
        if sent(&actions).is_some() {
            sent_on[class] += 1;
            let elapsed_ms = if sent_on.iter().sum::<usize>() % 9 == 0 {
                elapsed_ms
            } else {
                60
            };
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                elapsed_ms,
                Some(CacheStatus::Hit),
            ));
        }
        rig.now = rig.now.plus(gap);
    }
    sent_on
}

/// Keys that the given server owns. Each is requested only once, so that none is hot.
fn keys_owned_by(server: usize, servers: usize) -> impl Iterator<Item = u64> {
    (0..).filter(move |&key| {
        TestRouter::new(settings(), ready(servers)).served_by(key) == Some(name(server))
    })
}

/// A server that stays slow is sent less, and requests of five times the priority weight are
/// admitted first, in the same order as in a fleet of few routers.
#[test]
fn higher_priority_is_rejected_last_at_one_of_many_routers() {
    let mut rig = TestRouter::new(one_of_100_routers(), ready(4));
    send_requests(&mut rig, 60, ms(700), 3, 400);
    rig.now = rig.now.plus(ms(1_000));
    let [low, high] = send_requests(&mut rig, 200, ms(700), 3, 400);
    assert!(
        low < 140 / 2,
        "{low} of 140 requests of low priority were sent"
    );
    let (rejected_low, rejected_high) = (140 - low, 60 - high);
    assert!(
        rejected_high * 140 * 3 <= rejected_low * 60,
        "{rejected_high} of 60 of high priority rejected, {rejected_low} of 140 of low priority"
    );
}

/// With equal priority weights neither class is preferred.
#[test]
fn classes_of_equal_priority_weight_are_admitted_alike() {
    let equal_classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ];
    let mut rig = TestRouter::new(
        Settings {
            classes: equal_classes,
            ..one_of_100_routers()
        },
        ready(4),
    );
    send_requests(&mut rig, 60, ms(700), 5, 400);
    let [one, other] = send_requests(&mut rig, 200, ms(700), 5, 400);
    assert!(
        one.abs_diff(other) * 4 <= one + other,
        "{one} requests of one class sent, {other} of the other"
    );
}

/// One late answer does not show that the server is slow: 90 s later its keys are served as before,
/// without any attempt in between.
#[test]
fn a_late_answer_loses_effect_with_age() {
    let mut rig = TestRouter::new(one_of_100_routers(), ready(4));
    let keys: Vec<u64> = keys_owned_by(1, 4).take(12).collect();
    for &key in &keys[..2] {
        let (id, _) = rig.request(0, key);
        rig.event(ended_with_status(
            id,
            Outcome::Success,
            400,
            Some(CacheStatus::Hit),
        ));
    }
    let server_of = |rig: &mut TestRouter, key: u64| sent(&rig.request(0, key).1);
    assert_eq!(
        server_of(&mut rig, keys[2]),
        None,
        "no request is sent right after a late answer"
    );
    rig.now = rig.now.plus(ms(90_000));
    assert_eq!(server_of(&mut rig, keys[3]), Some(name(1)));
}

/// A rejection by the server itself does not lose weight with age.
#[test]
fn a_rejection_by_the_server_holds_until_it_answers() {
    let attempts_there = |outcome: Outcome| {
        let mut rig = TestRouter::new(one_of_100_routers(), ready(4));
        let mut attempts_there = 0;
        for key in keys_owned_by(1, 4).take(120) {
            let (id, actions) = rig.request(0, key);
            if sent(&actions) == Some(name(1)) {
                attempts_there += 1;
                rig.end_attempt(id, 0, outcome, 600);
                rig.end_attempt(id, 1, Outcome::Success, 20);
            }
            rig.now = rig.now.plus(ms(5_000));
        }
        attempts_there
    };
    let (after_rejections, after_timeouts) = (
        attempts_there(Outcome::Overloaded),
        attempts_there(Outcome::TimedOut),
    );
    assert!(
        after_rejections * 2 <= after_timeouts,
        "{after_rejections} attempts after rejections, {after_timeouts} after timeouts"
    );
}

/// A key does not migrate on few observations: a router with one late answer rejects requests or
/// waits. At another server the key would be an origin fetch, which evicts another key.
#[test]
fn a_limit_on_few_observations_migrates_no_key() {
    let mut rig = TestRouter::new(one_of_100_routers(), ready(4));
    let keys: Vec<u64> = keys_owned_by(1, 4).take(40).collect();
    let (mut at_owner, mut elsewhere) = (0, 0);
    for &key in &keys {
        let (id, actions) = rig.request(0, key);
        match sent(&actions) {
            Some(server) if server == name(1) => at_owner += 1,
            Some(_) => elsewhere += 1,
            None => {}
        }
        rig.event(ended_with_status(
            id,
            Outcome::Success,
            400,
            Some(CacheStatus::Hit),
        ));
        rig.now = rig.now.plus(ms(15_000));
    }
    assert!(at_owner >= 4, "{at_owner} requests sent to the owner");
    assert_eq!(elsewhere, 0);
}

/// A burst has no lasting effect: after three seconds at twice the usual load, all requests are
/// admitted again within two seconds.
#[test]
fn after_a_burst_all_requests_are_admitted_within_two_seconds() {
    let mut rig = TestRouter::new(one_of_100_routers(), ready(15));
    let mut key = 0;
    let mut send_request = |rig: &mut TestRouter, gap: u64, elapsed_ms: u64| {
        key += 1;
        let (id, actions) = rig.request(0, key);
        let is_sent = sent(&actions).is_some();
        if is_sent {
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                elapsed_ms,
                Some(CacheStatus::Hit),
            ));
        }
        rig.now = rig.now.plus(ms(gap));
        is_sent
    };
    for _ in 0..100 {
        send_request(&mut rig, 600, 60);
    }
    // During the burst answers take longer, but within the objective.
    for _ in 0..10 {
        send_request(&mut rig, 300, 140);
    }
    for _ in 0..4 {
        send_request(&mut rig, 500, 60);
    }
    let rejected = (0..60).filter(|_| !send_request(&mut rig, 600, 60)).count();
    assert!(rejected <= 1, "{rejected} of 60 rejected after the burst");
}

/// A write evicts no cached key, so that few observations suffice to divert it to a server with
/// capacity.
#[test]
fn a_write_leaves_a_server_on_few_observations() {
    let keyed = class(Idempotency::Keyed {
        scope: DeduplicationScope::All,
        deduplication_window: ms(400),
    });
    let mut rig = TestRouter::new(
        Settings {
            classes: vec![class(Idempotency::Idempotent), keyed],
            ..one_of_100_routers()
        },
        ready(4),
    );
    let keys: Vec<u64> = keys_owned_by(1, 4).take(3).collect();
    for &key in &keys[..2] {
        let (id, _) = rig.request(0, key);
        rig.event(ended_with_status(
            id,
            Outcome::Success,
            400,
            Some(CacheStatus::Hit),
        ));
    }
    assert_eq!(
        sent(&rig.request(0, keys[2]).1),
        None,
        "a read is not diverted from its owner"
    );
    assert!(sent(&rig.request(1, keys[2]).1).is_some_and(|server| server != name(1)));
}

/// Requests to a slow server drop to what it can serve, and other servers are not affected. With
/// 100 routers, of which each sends a server one request in ten seconds, a router needs about three
/// attempts to notice.
#[test]
fn one_slow_server_does_not_affect_the_others() {
    let mut rig = TestRouter::new(one_of_100_routers(), ready(15));
    let (mut slow, mut others) = ((0, 0), (0, 0));
    for key in 0..600 {
        let (id, actions) = rig.request(0, key);
        let owner = TestRouter::new(settings(), ready(15)).served_by(key);
        let count = if owner == Some(name(1)) {
            &mut slow
        } else {
            &mut others
        };
        count.0 += 1;
        if let Some(server) = sent(&actions) {
            count.1 += 1;
            let elapsed_ms = if server == name(1) { 400 } else { 60 };
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                elapsed_ms,
                Some(CacheStatus::Hit),
            ));
        }
        rig.now = rig.now.plus(ms(667));
    }
    assert!(
        slow.0 >= 20 && slow.1 * 2 <= slow.0,
        "{slow:?} requests for keys of the slow server, and sent"
    );
    assert!(
        others.1 * 100 >= others.0 * 97,
        "{others:?} requests for other keys, and sent"
    );
}
