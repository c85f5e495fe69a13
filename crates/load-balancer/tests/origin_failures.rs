//! Failed fetches: what they tell of the origin, of a server and of the keys that it holds.

mod common;

use common::*;
use load_balancer::*;

/// Guards against blaming servers for a slow origin: an error that notes a miss leaves their health alone.
#[test]
fn a_failed_fetch_does_not_count_against_its_server() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let key = key_of(1, 4);
    for _ in 0..20 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_none() {
            continue;
        }
        let actions = rig.event(ended_with_status(
            id,
            Outcome::Failure,
            20,
            Some(CacheStatus::Miss),
        ));
        assert_eq!(
            sent(&actions),
            None,
            "a failed fetch is not tried again elsewhere"
        );
        assert!(rejected(&actions));
    }
    let reached = (0..100).any(|key| {
        rig.now = rig.now.plus(ms(2_000));
        sent(&rig.request(1, key).1) == Some(name(1))
    });
    assert!(reached, "the server is sent other work");
}

/// Guards a collapsed origin (incident i545070): fetches shrink to a trickle while they fail, likely hits go on, and
/// fetches come back when they succeed.
#[test]
fn fetches_shrink_while_the_origin_fails_and_recover() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let cached_key = key_of(1, 4);
    rig.served_by(cached_key);
    for key in 10_000..10_200 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_some() {
            rig.event(ended_with_status(
                id,
                Outcome::Failure,
                30,
                Some(CacheStatus::Miss),
            ));
        }
    }
    let try_fetches = |rig: &mut TestRouter, from: u64, count: u64| {
        let mut sent_count = 0;
        for key in from..from + count {
            let (id, actions) = rig.request(0, key);
            if sent(&actions).is_some() {
                sent_count += 1;
                rig.event(ended_with_status(
                    id,
                    Outcome::Success,
                    30,
                    Some(CacheStatus::Miss),
                ));
            }
            rig.now = rig.now.plus(ms(10));
        }
        sent_count
    };
    assert_eq!(
        rig.served_by(cached_key),
        Some(name(1)),
        "likely hits go on"
    );
    let sent_at_first = try_fetches(&mut rig, 20_000, 20);
    assert!(
        sent_at_first < 10,
        "{sent_at_first} of 20 fetches after a collapse"
    );
    for i in 0..10 {
        try_fetches(&mut rig, 30_000 + i * 100, 100);
    }
    assert_eq!(try_fetches(&mut rig, 50_000, 100), 100, "all fetches again");
}

/// Guards likely hits: a failed fetch forgets its own key, not another that shares its entry in the table of locations.
#[test]
fn a_failed_fetch_forgets_only_its_own_key() {
    use md5::{Digest, Md5};
    let entry_index = |key: u64| {
        let digest: [u8; 16] = Md5::digest(key.to_string().as_bytes()).into();
        u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]) % 4096
    };
    let cached_key = 7;
    let colliding_key = (1_000_000..)
        .find(|&key| entry_index(key) == entry_index(cached_key))
        .expect("a key of the same slot");
    let mut rig = TestRouter::new(settings(), ready(1));
    assert_eq!(rig.served_by(cached_key), Some(name(1)));
    let others = (10_000..10_400).filter(|&key| entry_index(key) != entry_index(cached_key));
    for key in std::iter::once(colliding_key).chain(others) {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_some() {
            rig.event(ended_with_status(
                id,
                Outcome::Failure,
                30,
                Some(CacheStatus::Miss),
            ));
        }
    }
    for _ in 0..10 {
        assert_eq!(
            rig.served_by(cached_key),
            Some(name(1)),
            "a likely hit is served while the origin fails"
        );
    }
}

/// Guards a slow origin behind a thousand routers: each sees few fetches, so that a few failures must be enough.
#[test]
fn one_of_many_routers_limits_fetches_after_a_few_failures() {
    let mut rig = TestRouter::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(50),
    );
    for key in 0..5 {
        let (id, _) = rig.request(0, key);
        rig.event(ended_with_status(
            id,
            Outcome::Failure,
            20,
            Some(CacheStatus::Miss),
        ));
        rig.now = rig.now.plus(ms(500));
    }
    let mut admitted = 0;
    for key in 100..200 {
        let (id, actions) = rig.request(0, key);
        admitted += usize::from(sent(&actions).is_some());
        rig.event(ended_with_status(
            id,
            Outcome::Failure,
            20,
            Some(CacheStatus::Miss),
        ));
        rig.now = rig.now.plus(ms(500));
    }
    assert!(admitted < 20, "{admitted} of 100 fetches");
}

/// Guards the servers of a thousand routers: time-outs of requests that may be fetches are the server's, not the
/// origin's, unless fetches have failed.
#[test]
fn timeouts_alone_do_not_limit_fetches_at_one_of_many_routers() {
    let mut rig = TestRouter::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(50),
    );
    let mut admitted = 0;
    for key in 0..100 {
        let (id, actions) = rig.request(0, key);
        admitted += usize::from(sent(&actions).is_some());
        for attempt in 0..3 {
            rig.end_attempt(id, attempt, Outcome::TimedOut, 800);
        }
        rig.now = rig.now.plus(ms(60_000));
    }
    assert!(admitted > 80, "{admitted} of 100 requests");
}

/// Guards a failing origin where errors carry no cache status, as on sockets: a likely fetch that fails later than hits are
/// served is not tried elsewhere, and enough of them hold further fetches back. A quick error is the server's own.
#[test]
fn a_late_unexplained_failure_is_attributed_to_the_origin() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(0, 5);
    assert!(
        sent(&rig.end_attempt(id, 0, Outcome::Failure, 20)).is_some(),
        "quick: the next server may do"
    );
    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(0, 5);
    let actions = rig.end_attempt(id, 0, Outcome::Failure, 400);
    assert!(
        sent(&actions).is_none() && rejected(&actions),
        "late: a further fetch feeds the origin's overload"
    );
    for key in 100..140 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_some() {
            rig.end_attempt(id, 0, Outcome::Failure, 400);
        }
    }
    let (_, actions) = rig.request(0, 999);
    assert!(
        rejected(&actions),
        "no fetch is started while the last ones failed"
    );
}

/// Guards against a key whose cached copy expired: it must not be sent past the fetch limit for good.
#[test]
fn a_late_failure_forgets_a_key_and_many_attribute_quick_ones_to_the_origin() {
    let mut rig = TestRouter::new(settings(), ready(3));
    assert!(rig.served_by(5).is_some());
    let (id, _) = rig.request(0, 5);
    assert!(
        rejected(&rig.end_attempt(id, 0, Outcome::Failure, 400)),
        "known, and yet a failed fetch"
    );
    for key in 100..110 {
        let (id, _) = rig.request(0, key);
        rig.end_attempt(id, 0, Outcome::Failure, 400);
    }
    rig.now = rig.now.plus(ms(10_000));
    let (id, actions) = rig.request(0, 7);
    assert!(sent(&actions).is_some());
    let actions = rig.end_attempt(id, 0, Outcome::Failure, 20);
    assert!(
        sent(&actions).is_none() && rejected(&actions),
        "the origin turns fetches away at once"
    );
}
