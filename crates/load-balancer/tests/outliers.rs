//! Servers that are unreachable, overloaded or time out: how they are avoided, and how they come
//! back into use.

mod common;

use common::*;
use load_balancer::*;

/// The successors of an unreachable server take over its keys, apart from a few probes, until it
/// serves again.
#[test]
fn an_unreachable_server_is_avoided_and_used_again_once_it_serves() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let mut keys = keys_of(1, 4);
    let mut sent_while_down = 0;
    for key in keys.by_ref().take(60) {
        let (id, actions) = rig.request(0, key);
        if sent(&actions) == Some(name(1)) {
            sent_while_down += 1;
            rig.end_attempt(id, 0, Outcome::Unreachable, 3);
            rig.end_attempt(id, 1, Outcome::Success, 20);
        } else {
            rig.end_attempt(id, 0, Outcome::Success, 20);
        }
        rig.now = rig.now.plus(ms(5));
    }
    assert!(
        (1..20).contains(&sent_while_down),
        "{sent_while_down} of 60 requests sent to a server that is down"
    );
    for key in keys.by_ref().take(40) {
        rig.served_by(key);
        rig.now = rig.now.plus(ms(1_000));
    }
    assert!(
        keys.take(10).all(|key| rig.served_by(key) == Some(name(1))),
        "keys are placed by the ring alone again"
    );
}

/// With 1,000 routers, each must avoid an overloaded server for a long time even if that server
/// never served it (incident iaf5b03, in which four of five attempts were rejected).
#[test]
fn an_overloaded_server_is_avoided_by_one_of_many_routers() {
    let mut rig = TestRouter::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(4),
    );
    let mut attempts_there = 0;
    for key in keys_of(1, 4).take(20) {
        let (id, actions) = rig.request(0, key);
        if sent(&actions) == Some(name(1)) {
            attempts_there += 1;
            rig.end_attempt(id, 0, Outcome::Overloaded, 1);
        }
        rig.end_attempt(id, 1, Outcome::Success, 20);
        rig.now = rig.now.plus(ms(1_000));
    }
    assert!(
        (1..8).contains(&attempts_there),
        "{attempts_there} of 20 attempts at an overloaded server"
    );
}

/// In a large fleet of routers one timeout suffices for a router to pause its requests to an
/// overloaded server (incident i3e2ffc).
#[test]
fn one_timeout_suffices_at_one_of_many_routers() {
    let mut rig = TestRouter::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(4),
    );
    let key = key_of(1, 4);
    assert_eq!(rig.served_by(key), Some(name(1)));
    rig.now = rig.now.plus(ms(60_000));
    let (id, actions) = rig.request(0, key);
    assert_eq!(sent(&actions), Some(name(1)));
    rig.end_attempt(id, 0, Outcome::TimedOut, 800);
    rig.now = rig.now.plus(ms(1_000));
    assert_ne!(sent(&rig.request(0, key).1), Some(name(1)));
}

/// Guards against a limit that stays reduced: a server that was overloaded and now answers only
/// misses, as most answers are at a router that sees little, recovers like one that answers hits.
#[test]
fn a_throttled_server_that_answers_misses_recovers() {
    for (routers, failure) in [
        (1_000, Outcome::Overloaded),
        (64, Outcome::Overloaded),
        (64, Outcome::TimedOut),
    ] {
        let mut rig = TestRouter::new(
            Settings {
                routers,
                ..settings()
            },
            ready(4),
        );
        let keys: Vec<u64> = (0..)
            .filter(|&k| server_for_key(k, 4) == name(1))
            .take(400)
            .collect();
        for &key in &keys[..40] {
            let (id, _) = rig.request(0, key);
            rig.end_attempt(id, 0, failure, 300);
            rig.end_attempt(id, 1, Outcome::Success, 20);
            rig.now = rig.now.plus(ms(2_000));
        }
        let mut sent_at_end = 0;
        for (i, &key) in keys[40..].iter().enumerate() {
            let (id, actions) = rig.request(0, key);
            sent_at_end += usize::from(i >= 340 && sent(&actions) == Some(name(1)));
            rig.event(ended_with_status(
                id,
                Outcome::Success,
                60,
                Some(CacheStatus::Miss),
            ));
            rig.now = rig.now.plus(ms(2_000));
        }
        assert_eq!(
            sent_at_end, 20,
            "keys are placed by the ring alone again, {routers} routers after {failure:?}"
        );
    }
}

/// The lowest limit of an overloaded server must lie below the limit with which each of 1,000
/// routers starts (incident iaf5b03), so that each further rejection lengthens the pause.
#[test]
fn each_further_rejection_lengthens_the_pause() {
    let mut rig = TestRouter::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(4),
    );
    let mut attempts_there = Vec::new();
    for key in keys_of(1, 4).take(400) {
        let (id, actions) = rig.request(0, key);
        if sent(&actions) == Some(name(1)) {
            attempts_there.push(rig.now);
            rig.end_attempt(id, 0, Outcome::Overloaded, 1);
            rig.end_attempt(id, 1, Outcome::Success, 20);
        }
        rig.now = rig.now.plus(ms(500));
    }
    let pauses: Vec<Micros> = attempts_there
        .windows(2)
        .map(|k| k[1].since(k[0]))
        .collect();
    assert!(pauses.len() >= 2, "{pauses:?}");
    assert!(
        pauses.windows(2).all(|p| p[1] >= p[0].scaled(1.5)),
        "{pauses:?}"
    );
}
