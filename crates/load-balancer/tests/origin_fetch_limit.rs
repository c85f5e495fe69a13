//! A slow or overloaded origin behind the cache servers: which fetches a router sends, and which
//! failures it attributes to the origin.

mod common;

use common::*;
use load_balancer::*;

/// Sends requests for new keys until one is rejected, and returns the ids of the requests sent.
fn fill_fetch_limit(rig: &mut TestRouter, first_key: u64) -> Vec<RequestId> {
    let mut in_flight = Vec::new();
    for key in first_key..first_key + 1_000 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_none() {
            return in_flight;
        }
        in_flight.push(id);
    }
    panic!("1,000 fetches were sent without reaching a limit");
}

/// Guards against overload that sustains itself: an abandoned fetch continues at the origin, so
/// that it counts against the limit until it has most likely ended.
#[test]
fn an_abandoned_fetch_counts_as_long_again() {
    let mut rig = TestRouter::new(settings_with_late_weight(0.0), ready(20));
    let in_flight = fill_fetch_limit(&mut rig, 1_000);
    assert!(
        in_flight.len() > 10,
        "{} fetches in flight at the limit",
        in_flight.len()
    );
    rig.now = rig.now.plus(ms(400));
    for &id in &in_flight {
        rig.event(Event::AttemptEnded(ended(id, 0, Outcome::TimedOut, 400)));
    }
    assert!(
        fill_fetch_limit(&mut rig, 5_000).is_empty(),
        "abandoned fetches still count against the limit"
    );
    rig.now = rig.now.plus(ms(4_000));
    assert!(
        !fill_fetch_limit(&mut rig, 9_000).is_empty(),
        "abandoned fetches no longer count after they have ended"
    );
}

/// Guards against a limit that is reduced because of slow servers and stays low while rejected
/// clients retry. If fetches take hardly longer than hits, a few slow servers raise the average
/// latency to a multiple of the minimum.
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
    assert!(
        after >= before,
        "the limit fell from {before} to {after} with one fetch in six late"
    );
}

/// Guards against reducing the limit by chance: at a healthy origin some fetches take long, which
/// shows nothing.
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
        "the limit fell from {before} to {after} with one fetch in seven late"
    );
}

/// Once the origin has recovered, a few fetches in time must suffice for the limit to admit the
/// others.
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
        "{served} of the last 40 requests sent, from 3 s after the overload"
    );
}

/// A router of a large fleet sees little of each server. Likely fetches that time out at one server
/// after another must be attributed to the origin, not to the servers.
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
        "the fetch limit changed from {} to {}",
        before.fetch_limit,
        after.fetch_limit
    );
    assert!(
        after.limit_mean > before.limit_mean / 2.0,
        "the mean limit of servers changed from {} to {}",
        before.limit_mean,
        after.limit_mean
    );
}

/// A key does not migrate from a server at capacity while the origin has a queue and its fetch
/// limit is largely in use, because the migration is an extra fetch and evicts another key.
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
                rig.request(0, others.next().expect("an unbounded range"));
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
        "a key migrates while the origin has no queue: {elsewhere:?}"
    );
    assert_eq!(
        server_of_last_key(true),
        None,
        "a key does not migrate while fetches are limited"
    );
}
