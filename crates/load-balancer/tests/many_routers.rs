//! Fleets of many routers, each with few observations: admission by priority, limits that fade, keys that stay.

mod common;

use common::*;
use load_balancer::*;

/// One router of a hundred: class 0 has priority weight one, class 1 five; both are idempotent.
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

/// A read of the given class, with 800 ms to live; `number` is its own.
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

/// One request every `gap` for keys of the first of four servers, `high_priority` of ten of class 1; of nine answers one
/// takes `elapsed_ms`, past the objective, the others 60 ms. How many of each class were sent on.
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

/// Keys of the given server, each asked for once.
fn keys_owned_by(server: usize, servers: usize) -> impl Iterator<Item = u64> {
    (0..).filter(move |&key| {
        TestRouter::new(settings(), ready(servers)).served_by(key) == Some(name(server))
    })
}

/// A server that is always slow gets less, and requests of five times the weight go first: the order of
/// refusals is the same as at few routers.
#[test]
fn higher_priority_is_rejected_last_at_one_of_many_routers() {
    let mut rig = TestRouter::new(one_of_100_routers(), ready(4));
    send_requests(&mut rig, 60, ms(700), 3, 400);
    rig.now = rig.now.plus(ms(1_000));
    let [low, high] = send_requests(&mut rig, 200, ms(700), 3, 400);
    assert!(low < 140 / 2, "{low} of 140 of low priority");
    let (rejected_low, rejected_high) = (140 - low, 60 - high);
    assert!(
        rejected_high * 140 * 3 <= rejected_low * 60,
        "{rejected_high} of 60 against {rejected_low} of 140"
    );
}

/// With equal priority weights neither class gives way to the other.
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
        "{one} against {other}"
    );
}

/// One late answer is no state of the server: a minute later its keys are served as before, without an attempt between.
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
    assert_eq!(server_of(&mut rig, keys[2]), None, "a pause right after");
    rig.now = rig.now.plus(ms(90_000));
    assert_eq!(server_of(&mut rig, keys[3]), Some(name(1)));
}

/// A rejection by the server itself does not fade like that.
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

/// Few observations migrate no key: a router that got one late answer rejects or waits, it does not send the key elsewhere,
/// where it would be a fetch that drives out another key.
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
    assert!(at_owner >= 4, "{at_owner} to the owner");
    assert_eq!(elsewhere, 0);
}

/// A burst that is admitted leaves no trace: after three seconds of twice the usual load all is
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
    // In the burst answers take longer, yet come within the objective.
    for _ in 0..10 {
        send_request(&mut rig, 300, 140);
    }
    for _ in 0..4 {
        send_request(&mut rig, 500, 60);
    }
    let rejected = (0..60).filter(|_| !send_request(&mut rig, 600, 60)).count();
    assert!(rejected <= 1, "{rejected} of 60 rejected after the burst");
}

/// A write evicts no cached key, so that few observations suffice for it to go where there is capacity.
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
        "a read waits for its owner"
    );
    assert!(sent(&rig.request(1, keys[2]).1).is_some_and(|server| server != name(1)));
}

/// A slow server's requests fall to what it bears, and the others' are left alone: at a hundred routers that each
/// see a server once in ten seconds, a router needs about three attempts.
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
        "{slow:?} of the slow server's"
    );
    assert!(others.1 * 100 >= others.0 * 97, "{others:?} of the others'");
}
