//! Failed fetches, and what they show about the origin, the server and the keys that it holds.

mod common;

use common::*;
use load_balancer::*;

/// Guards against attributing origin failures to servers: an error that reports a cache miss leaves
/// the server's limit unchanged.
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
            "a failed fetch is not retried at another server"
        );
        assert!(rejected(&actions));
    }
    let reached = (0..100).any(|key| {
        rig.now = rig.now.plus(ms(2_000));
        sent(&rig.request(1, key).1) == Some(name(1))
    });
    assert!(reached, "the server was sent no request of another class");
}

/// Guards against an origin that fails under overload (incident i545070): fetches are reduced to a
/// few probes while they fail, likely hits continue, and fetches are sent again once they succeed.
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
        "likely hits are still sent"
    );
    let sent_at_first = try_fetches(&mut rig, 20_000, 20);
    assert!(
        sent_at_first < 10,
        "{sent_at_first} of 20 fetches sent after the origin failed"
    );
    for i in 0..10 {
        try_fetches(&mut rig, 30_000 + i * 100, 100);
    }
    assert_eq!(
        try_fetches(&mut rig, 50_000, 100),
        100,
        "all fetches are sent after recovery"
    );
}

/// A failed fetch removes its own key from the table of locations, not another key that shares its
/// entry, whose requests are likely hits.
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
        .expect("a key of the same entry");
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

/// With 1,000 routers in front of a slow origin each sees few fetches, so that a few failures must
/// suffice to limit them.
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
    assert!(admitted < 20, "{admitted} of 100 fetches sent");
}

/// With 1,000 routers, timeouts of requests that may be fetches are attributed to the server, not
/// to the origin, unless fetches have failed.
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
    assert!(admitted > 80, "{admitted} of 100 requests sent");
}

/// Guards against a failing origin whose errors carry no cache status, as over RESP2. A likely
/// fetch that fails later than hits are served is not retried, and several of them limit further
/// fetches. A quick error is attributed to the server.
#[test]
fn a_late_unexplained_failure_is_attributed_to_the_origin() {
    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(0, 5);
    assert!(
        sent(&rig.end_attempt(id, 0, Outcome::Failure, 20)).is_some(),
        "a quick failure is retried at the next server"
    );
    let mut rig = TestRouter::new(settings(), ready(3));
    let (id, _) = rig.request(0, 5);
    let actions = rig.end_attempt(id, 0, Outcome::Failure, 400);
    assert!(
        sent(&actions).is_none() && rejected(&actions),
        "a late failure is not retried, as a further fetch adds to the origin's overload"
    );
    for key in 100..140 {
        let (id, actions) = rig.request(0, key);
        if sent(&actions).is_some() {
            rig.end_attempt(id, 0, Outcome::Failure, 400);
        }
    }
    let (_, actions) = rig.request(0, 999);
    assert!(rejected(&actions), "no fetch is sent after many failed");
}

/// When a cached copy has expired, its key must not bypass the fetch limit forever because its
/// server is still believed to hold it.
#[test]
fn a_late_failure_forgets_a_key_and_many_attribute_quick_ones_to_the_origin() {
    let mut rig = TestRouter::new(settings(), ready(3));
    assert!(rig.served_by(5).is_some());
    let (id, _) = rig.request(0, 5);
    assert!(
        rejected(&rig.end_attempt(id, 0, Outcome::Failure, 400)),
        "a late failure of a cached key counts as a failed fetch"
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
        "a quick failure counts as a fetch that the origin rejected"
    );
}
