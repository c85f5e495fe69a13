//! A slow or overloaded origin behind the cache servers: what a router sends it, and what it attributes to it.

mod common;

use common::*;
use load_balancer::*;

/// Sends requests for new keys until one is rejected; their ids.
fn fill_fetch_limit(rig: &mut TestRouter, first_key: u64) -> Vec<RequestId> {
    let mut in_flight = Vec::new();
    for key in first_key..first_key + 1_000 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_none() {
            return in_flight;
        }
        in_flight.push(id);
    }
    panic!("no bound on fetches");
}

/// Guards against overload that sustains itself: an abandoned fetch goes on at the origin, and its slot is free
/// only once it has most likely ended.
#[test]
fn an_abandoned_fetch_counts_as_long_again() {
    let mut rig = TestRouter::new(settings_with_late_weight(0.0), ready(20));
    let in_flight = fill_fetch_limit(&mut rig, 1_000);
    assert!(in_flight.len() > 10, "{} at once", in_flight.len());
    rig.now = rig.now.plus(ms(400));
    for &id in &in_flight {
        rig.event(Event::AttemptEnded(ended(id, 0, Outcome::TimedOut, 400)));
    }
    assert!(
        fill_fetch_limit(&mut rig, 5_000).is_empty(),
        "all of them still are at work at the origin"
    );
    rig.now = rig.now.plus(ms(4_000));
    assert!(
        !fill_fetch_limit(&mut rig, 9_000).is_empty(),
        "they have ended"
    );
}

/// Guards against a limit that falls for slow servers and stays down, as rejected clients come back: where fetches take
/// hardly longer than hits, a few slow ones lift their average to a multiple of the least.
#[test]
fn late_fetches_of_slow_servers_do_not_decrease_the_limit() {
    let mut rig = TestRouter::new(settings(), ready(20));
    let before = rig.router.diagnostics().fetch_limit;
    for key in 0..200 {
        let (id, actions) = rig.request(0, key);
        assert!(sent(&actions).is_some(), "request {key}");
        let elapsed_ms = if key % 6 == 5 { 400 } else { 20 };
        rig.event(ended_with_status(
            id,
            Outcome::Success,
            elapsed_ms,
            Some(CacheStatus::Miss),
        ));
        rig.now = rig.now.plus(ms(20));
    }
    let after = rig.router.diagnostics().fetch_limit;
    assert!(after >= before, "{before} to {after}, with one in six late");
}

/// Guards against a limit cut by chance: at an origin that is well some fetches take long, and tell nothing.
#[test]
fn a_few_late_fetches_among_quick_ones_do_not_decrease_the_limit() {
    let mut rig = TestRouter::new(settings(), ready(20));
    let before = rig.router.diagnostics().fetch_limit;
    for key in 0..200 {
        let (id, actions) = rig.request(0, key);
        assert!(sent(&actions).is_some(), "request {key}");
        let elapsed_ms = if key % 7 == 6 { 310 } else { 60 };
        rig.event(ended_with_status(
            id,
            Outcome::Success,
            elapsed_ms,
            Some(CacheStatus::Miss),
        ));
        rig.now = rig.now.plus(ms(20));
    }
    let after = rig.router.diagnostics().fetch_limit;
    assert!(
        after >= before,
        "{before} to {after}, with one in seven late"
    );
}

/// Guards recovery: once the origin is well again a few fetches in time let the others follow.
#[test]
fn fetches_recover_within_seconds_of_a_collapse() {
    let mut rig = TestRouter::new(settings(), ready(20));
    for key in 0..400 {
        let (id, actions) = rig.request(0, key);
        rig.now = rig.now.plus(ms(50));
        if sent(&actions).is_some() {
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                790,
                Some(CacheStatus::Miss),
            ));
        }
    }
    let limit_during_overload = rig.router.diagnostics().fetch_limit;
    assert!(
        limit_during_overload < 1.0,
        "limit {limit_during_overload} while all fetches are late"
    );
    let mut served = 0;
    for key in 1_000..1_100 {
        let (id, actions) = rig.request(0, key);
        rig.now = rig.now.plus(ms(50));
        if sent(&actions).is_some() {
            served += u32::from(key >= 1_060);
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                40,
                Some(CacheStatus::Miss),
            ));
        }
    }
    assert!(
        served >= 36,
        "{served} of the last 40 requests, from 3 s after the end"
    );
}

/// Guards servers behind a slow origin at a router of many, which sees little of each: likely fetches that time out
/// at one server after another are the origin's.
#[test]
fn timeouts_at_many_servers_are_attributed_to_the_origin() {
    let mut rig = TestRouter::new(
        Settings {
            routers: 100,
            ..settings()
        },
        ready(20),
    );
    let before = rig.router.diagnostics();
    for key in 0..60 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_some() {
            rig.now = rig.now.plus(ms(700));
            rig.event(Event::AttemptEnded(ended(id, 0, Outcome::TimedOut, 700)));
        }
        rig.now = rig.now.plus(ms(300));
    }
    let after = rig.router.diagnostics();
    assert!(
        after.fetch_limit < before.fetch_limit / 2.0,
        "{} to {}",
        before.fetch_limit,
        after.fetch_limit
    );
    assert!(
        after.limit_mean > before.limit_mean / 2.0,
        "servers {} to {}",
        before.limit_mean,
        after.limit_mean
    );
}

/// Guards against what is full twice over: while the origin has a queue and its fetches are in use, a key does not
/// move off a full server, as the move is a fetch and drives out another key.
#[test]
fn a_key_does_not_migrate_while_fetches_are_limited() {
    let server_of_last_key = |fetches_limited: bool| {
        let mut rig = TestRouter::new(settings(), ready(20));
        let keys: Vec<u64> = keys_of(1, 20).take(9).collect();
        for &key in &keys[..8] {
            rig.served_by(key);
        }
        let mut fetch = |key, elapsed_ms| {
            let (id, _) = rig.request(0, key);
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                elapsed_ms,
                Some(CacheStatus::Miss),
            ));
        };
        for key in 20_000..20_010 {
            fetch(key, 30);
        }
        if fetches_limited {
            for key in 30_000..30_020 {
                fetch(key, 200);
            }
            let limit = rig.router.diagnostics().fetch_limit;
            let mut others = 50_000..;
            while f64::from(rig.router.diagnostics().fetches_in_flight) < limit * 0.6 {
                rig.request(0, others.next().expect("endless"));
            }
        }
        for &key in &keys[..8] {
            rig.request(0, key);
        }
        sent(&rig.request(0, keys[8]).1)
    };
    let elsewhere = server_of_last_key(false);
    assert!(
        elsewhere.is_some() && elsewhere != Some(name(1)),
        "without a queue a key migrates: {elsewhere:?}"
    );
    assert_eq!(server_of_last_key(true), None, "short of fetches it is not");
}
