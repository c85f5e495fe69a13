//! A slow, full or failing origin behind the cache servers: what a router sends it, and whom it blames.

mod common;

use common::*;
use load_balancer::*;

fn noted(id: RequestId, outcome: Outcome, took: u64, cache_status: CacheStatus) -> Event {
    Event::AttemptEnded(AttemptEnd {
        cache_status: Some(cache_status),
        ..ended(id, 0, outcome, took)
    })
}

/// Sends requests for new keys until one is turned away; their ids.
fn fill(rig: &mut Rig, first_key: u64) -> Vec<RequestId> {
    let mut out = Vec::new();
    for key in first_key..first_key + 1_000 {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions).is_none() {
            return out;
        }
        out.push(id);
    }
    panic!("no bound on fetches");
}

/// Guards against the jam that feeds itself: a fetch that was given up goes on at the origin, and its place is free
/// only once it has most likely ended.
#[test]
fn a_fetch_given_up_holds_its_place_as_long_again() {
    let mut rig = Rig::new(settings_with_late_worth(0.0), ready(20));
    let out = fill(&mut rig, 1_000);
    assert!(out.len() > 10, "{} at once", out.len());
    rig.now = rig.now.plus(ms(400));
    out.iter()
        .for_each(|&id| _ = rig.event(Event::AttemptEnded(ended(id, 0, Outcome::TimedOut, 400))));
    assert!(
        fill(&mut rig, 5_000).is_empty(),
        "all of them still are at work at the origin"
    );
    rig.now = rig.now.plus(ms(4_000));
    assert!(!fill(&mut rig, 9_000).is_empty(), "they have ended");
}

/// Guards against a limit cut by chance: at an origin that is well some fetches take long, and tell nothing.
#[test]
fn a_few_long_fetches_among_quick_ones_cut_nothing() {
    let mut rig = Rig::new(settings(), ready(20));
    let before = rig.router.diagnostics().fetch_limit;
    for key in 0..200 {
        let (id, actions) = rig.ask(0, key);
        assert!(sent(&actions).is_some(), "request {key}");
        let took = if key % 7 == 6 { 310 } else { 60 };
        rig.event(noted(id, Outcome::Success, took, CacheStatus::Miss));
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
fn fetches_come_back_within_seconds_of_a_collapse() {
    let mut rig = Rig::new(settings(), ready(20));
    for key in 0..400 {
        let (id, actions) = rig.ask(0, key);
        rig.now = rig.now.plus(ms(50));
        if sent(&actions).is_some() {
            rig.event(noted(id, Outcome::Success, 790, CacheStatus::Miss));
        }
    }
    let jammed = rig.router.diagnostics().fetch_limit;
    assert!(jammed < 1.0, "limit {jammed} while all fetches are late");
    let mut served = 0;
    for key in 1_000..1_100 {
        let (id, actions) = rig.ask(0, key);
        rig.now = rig.now.plus(ms(50));
        if sent(&actions).is_some() {
            served += u32::from(key >= 1_060);
            rig.event(noted(id, Outcome::Success, 40, CacheStatus::Miss));
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
fn time_outs_all_over_the_fleet_are_the_origins_at_a_router_of_many() {
    let mut rig = Rig::new(
        Settings {
            routers: 100,
            ..settings()
        },
        ready(20),
    );
    let before = rig.router.diagnostics();
    for key in 0..60 {
        let (id, actions) = rig.ask(0, key);
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
fn a_key_stays_off_other_servers_while_fetches_are_short() {
    let moved = |short: bool| {
        let mut rig = Rig::new(settings(), ready(20));
        let keys: Vec<u64> = keys_of(1, 20).take(9).collect();
        keys[..8].iter().for_each(|&key| _ = rig.served_by(key));
        let mut fetch = |key, took| {
            let (id, _) = rig.ask(0, key);
            rig.event(noted(id, Outcome::Success, took, CacheStatus::Miss));
        };
        (20_000..20_010).for_each(|key| fetch(key, 30));
        if short {
            (30_000..30_020).for_each(|key| fetch(key, 200));
            let limit = rig.router.diagnostics().fetch_limit;
            let mut others = 50_000..;
            while f64::from(rig.router.diagnostics().fetches_in_flight) < limit * 0.6 {
                rig.ask(0, others.next().expect("endless"));
            }
        }
        keys[..8].iter().for_each(|&key| _ = rig.ask(0, key));
        sent(&rig.ask(0, keys[8]).1)
    };
    let elsewhere = moved(false);
    assert!(
        elsewhere.is_some() && elsewhere != Some(name(1)),
        "at ease a key is moved: {elsewhere:?}"
    );
    assert_eq!(moved(true), None, "short of fetches it is not");
}

/// Keys of the given server, each asked for once, so that none of them is hot.
fn keys_of(server: usize, count: usize) -> impl Iterator<Item = u64> {
    let owner = move |key| {
        Rig::new(settings(), ready(count))
            .served_by(key)
            .expect("a server")
    };
    (1_000..).filter(move |&key| owner(key) == name(server))
}
