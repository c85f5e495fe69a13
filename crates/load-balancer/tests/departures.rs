//! Each departure from the ring: that it acts, and that it lets go.

mod common;
use common::*;
use load_balancer::*;

/// A key of the given server in a rig of `count` idle servers.
fn key_of(server: usize, count: usize) -> u64 {
    let mut rig = Rig::new(settings(), ready(count));
    (0..)
        .find(|&key| rig.served_by(key) == Some(name(server)))
        .expect("a key")
}

/// Keys of the given server, each asked for once, so that none of them is hot.
fn keys_of(server: usize, count: usize) -> impl Iterator<Item = u64> {
    (1_000..).filter(move |&key| key_at(key, count) == name(server))
}

/// The ring's own server of a key among `count`.
fn key_at(key: u64, count: usize) -> ServerId {
    Rig::new(settings(), ready(count))
        .served_by(key)
        .expect("a server")
}

/// The end of a first attempt, and how the server came by its answer.
fn noted(id: RequestId, outcome: Outcome, took: u64, cache_status: Option<CacheStatus>) -> Event {
    Event::AttemptEnded(AttemptEnd {
        cache_status,
        ..ended(id, 0, outcome, took)
    })
}

/// Writes that take every place there is.
fn take_all_places(rig: &mut Rig) -> Vec<RequestId> {
    let asked: Vec<_> = (0..30).map(|key| rig.ask(1, key)).collect();
    asked
        .into_iter()
        .filter(|(_, actions)| sent(actions).is_some())
        .map(|(id, _)| id)
        .collect()
}

/// A server that cannot be reached is left to its successors but for a trickle, and taken back when it serves.
#[test]
fn an_unreachable_server_is_left_alone_and_taken_back() {
    let mut rig = Rig::new(settings(), ready(4));
    let mut keys = keys_of(1, 4);
    let mut down = 0;
    for key in keys.by_ref().take(60) {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions) == Some(name(1)) {
            down += 1;
            rig.end(id, 0, Outcome::Unreachable, 3);
            rig.end(id, 1, Outcome::Success, 20);
        } else {
            rig.end(id, 0, Outcome::Success, 20);
        }
        rig.now = rig.now.plus(ms(5));
    }
    assert!(
        (1..20).contains(&down),
        "{down} of 60 went to a server that is down"
    );
    for key in keys.by_ref().take(40) {
        rig.served_by(key);
        rig.now = rig.now.plus(ms(1_000));
    }
    assert!(
        keys.take(10).all(|key| rig.served_by(key) == Some(name(1))),
        "the ring decides again"
    );
}

/// Guards against blaming servers for a slow origin: an error that notes a miss leaves their health alone.
#[test]
fn failed_fetches_are_no_servers_fault() {
    let mut rig = Rig::new(settings(), ready(4));
    let key = key_of(1, 4);
    for _ in 0..20 {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions).is_none() {
            continue;
        }
        let actions = rig.event(noted(id, Outcome::Failure, 20, Some(CacheStatus::Miss)));
        assert_eq!(
            sent(&actions),
            None,
            "a failed fetch is not tried again elsewhere"
        );
        assert!(refused(&actions));
    }
    let reached = (0..100).any(|key| {
        rig.now = rig.now.plus(ms(2_000));
        sent(&rig.ask(1, key).1) == Some(name(1))
    });
    assert!(reached, "the server is sent other work");
}

/// Guards a collapsed origin (incident i545070): fetches shrink to a trickle while they fail, likely hits go on, and
/// fetches come back when they succeed.
#[test]
fn a_failing_origin_is_left_alone_and_taken_up_again() {
    let mut rig = Rig::new(settings(), ready(4));
    let hit = key_of(1, 4);
    rig.served_by(hit);
    for key in 10_000..10_200 {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions).is_some() {
            rig.event(noted(id, Outcome::Failure, 30, Some(CacheStatus::Miss)));
        }
    }
    let try_fetches = |rig: &mut Rig, from: u64, count: u64| {
        let mut sends = 0;
        for key in from..from + count {
            let (id, actions) = rig.ask(0, key);
            if sent(&actions).is_some() {
                sends += 1;
                rig.event(noted(id, Outcome::Success, 30, Some(CacheStatus::Miss)));
            }
            rig.now = rig.now.plus(ms(10));
        }
        sends
    };
    assert_eq!(rig.served_by(hit), Some(name(1)), "likely hits go on");
    let first = try_fetches(&mut rig, 20_000, 20);
    assert!(first < 10, "{first} of 20 fetches after a collapse");
    (0..10).for_each(|i| {
        try_fetches(&mut rig, 30_000 + i * 100, 100);
    });
    assert_eq!(try_fetches(&mut rig, 50_000, 100), 100, "all fetches again");
}

/// Guards against a jam: a server whose answers are slow is sent less at a time, and the rest is spilled or refused.
#[test]
fn slow_answers_shrink_a_servers_limit_and_quick_ones_restore_it() {
    let mut rig = Rig::new(settings(), ready(1));
    let at_once = |rig: &mut Rig, took: u64| {
        let ids: Vec<_> = (0..20).map(|_| rig.ask(0, 7)).collect();
        let out: Vec<_> = ids
            .iter()
            .filter(|(_, actions)| sent(actions).is_some())
            .collect();
        for (id, _) in &out {
            rig.event(noted(*id, Outcome::Success, took, Some(CacheStatus::Hit)));
        }
        out.len()
    };
    let calm = at_once(&mut rig, 20);
    assert!(calm >= 4, "{calm} at once to an idle server");
    (0..10).for_each(|_| {
        at_once(&mut rig, 290);
    });
    assert_eq!(
        at_once(&mut rig, 290),
        1,
        "one at a time to a jammed server"
    );
    (0..60).for_each(|_| {
        at_once(&mut rig, 20);
    });
    assert!(at_once(&mut rig, 20) >= 4);
}

/// A hot key gets a second home only while its own server is full.
#[test]
fn a_hot_key_spills_to_its_successor_only_while_hot() {
    let mut rig = Rig::new(settings(), ready(4));
    let key = key_of(1, 4);
    let out: Vec<_> = (0..12).map(|_| rig.ask(0, key)).collect();
    let homes: std::collections::BTreeSet<_> = out
        .iter()
        .filter_map(|(_, actions)| sent(actions))
        .collect();
    assert!(homes.len() >= 2, "{homes:?}");
    for (id, _) in out {
        rig.event(noted(id, Outcome::Success, 10, Some(CacheStatus::Hit)));
    }
    for other in 1_000..1_200 {
        rig.served_by(other);
    }
    for _ in 0..5 {
        assert_eq!(rig.served_by(key), Some(name(1)));
    }
}

/// Guards a fleet in a jam against itself: a key that moves is fetched again and drives others out, so that it goes
/// to its successor only if that has room to spare. A successor that is half busy with its own keys is not asked.
#[test]
fn a_key_moves_only_to_a_server_with_room_to_spare() {
    let moved = |busy: usize| {
        let mut rig = Rig::new(settings(), ready(2));
        let (home, next): (Vec<_>, Vec<_>) = (
            keys_of(1, 2).take(8).collect(),
            keys_of(2, 2).take(busy).collect(),
        );
        home.iter()
            .chain(&next)
            .for_each(|&key| _ = rig.served_by(key));
        next.iter().for_each(|&key| _ = rig.ask(0, key));
        home.iter()
            .any(|&key| sent(&rig.ask(0, key).1) == Some(name(2)))
    };
    assert!(moved(0), "an idle one takes what has no place at home");
    assert!(
        !moved(2),
        "one that has two of its four places taken does not"
    );
}

/// Guards a jam against clients that come again: a retry of what was turned away is as old as its first try. Once an
/// answer comes too late to be worth anything, it leaves the places to those for whom it is not.
#[test]
fn a_retry_past_its_aim_leaves_the_places_to_others() {
    let room = |wait: u64, late_weight: f64| {
        let mut rig = Rig::new(settings_with_late_worth(late_weight), ready(1));
        let keys = 100..130;
        keys.clone().for_each(|key| _ = rig.served_by(key));
        let taken = take_all_places(&mut rig);
        assert!(
            keys.clone().all(|key| refused(&rig.ask(0, key).1)),
            "no place is left"
        );
        taken
            .into_iter()
            .for_each(|id| _ = rig.end(id, 0, Outcome::Success, 20));
        rig.now = rig.now.plus(ms(wait));
        keys.filter(|&key| sent(&rig.retry(0, key).1).is_some())
            .count()
    };
    let (early, late, worth) = (room(50, 0.0), room(290, 0.0), room(290, 1.0));
    assert!(early >= 4, "{early} in time");
    assert!(
        (1..=early / 2).contains(&late),
        "{late} late, where that is worth nothing; {early} in time"
    );
    assert_eq!(worth, early, "where it is worth as much");
}

/// Guards what only looks like a late retry: of a request never turned away here, or so long ago that its client has
/// gone. It is new, and has the places of a new one.
#[test]
fn a_retry_of_nothing_known_is_new() {
    let room = |turned_away: bool| {
        let mut rig = Rig::new(settings_with_late_worth(0.0), ready(1));
        (100..130).for_each(|key| _ = rig.served_by(key));
        let taken = take_all_places(&mut rig);
        (100..130)
            .filter(|_| turned_away)
            .for_each(|key| _ = rig.ask(0, key));
        taken
            .into_iter()
            .for_each(|id| _ = rig.end(id, 0, Outcome::Success, 20));
        rig.now = rig.now.plus(ms(1_200));
        (100..130)
            .filter(|&key| sent(&rig.retry(0, key).1).is_some())
            .count()
    };
    assert!(room(false) >= 4);
    assert_eq!(
        room(true),
        room(false),
        "past the class's deadline nobody waits"
    );
}

#[test]
fn a_write_is_worth_more_room_than_a_read() {
    let mut settings = settings();
    settings.classes[1].priority_weight = 8.0;
    let mut rig = Rig::new(settings, ready(1));
    let room = |rig: &mut Rig, class| {
        (0..30)
            .filter(|_| sent(&rig.ask(class, 7).1).is_some())
            .count()
    };
    let reads = room(&mut rig, 0);
    assert!(reads > 0);
    assert!(room(&mut rig, 1) > 0, "room is left for what is worth more");
}

/// Guards a tenant's share: one that floods uses less of each limit than the others.
#[test]
fn a_flooding_tenant_leaves_room_for_others() {
    let mut settings = settings();
    settings.tenants = vec![
        Tenant {
            quota_per_s: 10.0,
            share: 0.5,
        },
        Tenant {
            quota_per_s: 10.0,
            share: 0.5,
        },
    ];
    let mut rig = Rig::new(settings, ready(1));
    let mut next = 1_000_000;
    let mut ask = |rig: &mut Rig, tenant| {
        next += 1;
        rig.now = rig.now.plus(ms(5));
        let request = Request {
            id: RequestId(next),
            class: ClassId(0),
            tenant: Some(TenantId(tenant)),
            key: Some(7),
            expires: rig.now.plus(ms(800)),
            cost_hint: None,
            retry: false,
            write: false,
        };
        sent(&rig.event(Event::Request(request))).is_some()
    };
    for id in 1_000_001..1_000_601 {
        if ask(&mut rig, 0) {
            rig.end(RequestId(id), 0, Outcome::Success, 5);
        }
    }
    let flood = (0..20).filter(|_| ask(&mut rig, 0)).count();
    let other = (0..20).filter(|_| ask(&mut rig, 1)).count();
    assert!(flood > 0);
    assert!(other > 0, "the flood took all the room");
}

/// Retries are earned: a fleet that fails as a whole is not sent three times the load.
#[test]
fn retries_are_a_small_part_of_the_load() {
    let mut rig = Rig::new(settings(), ready(5));
    let mut sends = 0;
    for key in 0..500 {
        let (id, actions) = rig.ask(0, key);
        sends += usize::from(sent(&actions).is_some());
        for attempt in 0..3 {
            sends += usize::from(sent(&rig.end(id, attempt, Outcome::Overloaded, 5)).is_some());
        }
    }
    assert!(
        sends < 560,
        "{sends} sends for 500 requests that all failed"
    );
}

#[test]
fn an_aside_miss_goes_to_the_origin_and_writes_go_straight_there() {
    let mut settings = settings();
    settings.mode = CacheMode::Aside { origin: KindId(9) };
    let mut endpoints = ready(3);
    let mut origin = Endpoint::ready(ServerId::from("10.9.9.9:80"));
    origin.kind = Some(KindId(9));
    endpoints.push(origin.clone());
    let mut rig = Rig::new(settings, endpoints);
    for key in 0..300 {
        assert_ne!(
            rig.served_by(key),
            Some(origin.server.clone()),
            "the origin is off the ring"
        );
    }
    let (id, _) = rig.ask(0, 5_000);
    assert_eq!(
        sent(&rig.end(id, 0, Outcome::Miss, 3)),
        Some(origin.server.clone())
    );
    rig.end(id, 1, Outcome::Success, 30);
    assert_eq!(sent(&rig.ask(1, 5_000).1), Some(origin.server));
}

#[test]
fn a_lost_list_is_asked_for_again_later_each_time() {
    let poll_within = ms(10_000);
    let mut settings = settings();
    settings.discovery = Discovery::Subscribe { poll_within };
    let mut router = Router::new(settings, 3).expect("usable settings");
    let mut actions = Vec::new();
    let list = |update, endpoints| Event::EndpointsChanged { update, endpoints };
    router.handle(
        ms(1),
        list(EndpointUpdate::Restored, ready(3)),
        &mut actions,
    );
    assert_eq!(
        actions,
        vec![Action::Subscribe],
        "at the start, from the stale list"
    );
    let mut waits = Vec::new();
    for _ in 0..6 {
        actions.clear();
        router.handle(ms(2), list(EndpointUpdate::WatchLost, vec![]), &mut actions);
        let [Action::SetTimer { after, token }] = actions[..] else {
            panic!("{actions:?}")
        };
        waits.push(after);
        actions.clear();
        router.handle(ms(2), Event::Timer { token }, &mut actions);
        assert_eq!(actions, vec![Action::Subscribe]);
    }
    assert!(waits[3] > waits[0]);
    assert!(
        waits.iter().all(|&w| w <= ms(5_000)),
        "never so late that the router is deemed told: {waits:?}"
    );
    actions.clear();
    router.handle(ms(3), list(EndpointUpdate::Delta, vec![]), &mut actions);
    router.handle(ms(3), list(EndpointUpdate::WatchLost, vec![]), &mut actions);
    let [Action::SetTimer { after, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    assert!(after <= ms(1_000), "a new loss starts short again");
}

/// Guards memory: servers that come and go under new names for ever do not pile up, and keep their keys apart.
#[test]
fn places_of_servers_long_gone_are_used_again() {
    let mut rig = Rig::new(settings(), ready(3));
    for i in 10..2_000 {
        rig.list(
            EndpointUpdate::Snapshot,
            vec![Endpoint::ready(name(1)), Endpoint::ready(name(i))],
        );
        rig.now = rig.now.plus(ms(3_000));
        let served: std::collections::BTreeSet<_> =
            (0..40).filter_map(|key| rig.served_by(key)).collect();
        assert!(served.contains(&name(1)) && served.iter().all(|s| *s == name(1) || *s == name(i)));
    }
    let TrackedCounts { requests, servers } = rig.router.tracked_counts();
    assert_eq!(requests, 0);
    assert!(servers <= 5, "{servers} servers remembered");
}

/// Guards against a crowd (incident i19cc49): many routers, each with a limit under one, space their requests out, and
/// stop doing so when answers are quick again.
#[test]
fn a_limit_under_one_spaces_requests_out() {
    let mut settings = settings();
    settings.routers = 16;
    let mut rig = Rig::new(settings, ready(1));
    let sends = |rig: &mut Rig, took: u64| {
        let mut count = 0;
        for _ in 0..100 {
            let (id, actions) = rig.ask(0, 7);
            if sent(&actions).is_some() {
                count += 1;
                rig.event(noted(id, Outcome::Success, took, Some(CacheStatus::Hit)));
            }
            rig.now = rig.now.plus(ms(20));
        }
        count
    };
    let calm = sends(&mut rig, 10);
    let jammed = (0..4)
        .map(|_| sends(&mut rig, 280))
        .last()
        .expect("four rounds");
    let after = (0..4)
        .map(|_| sends(&mut rig, 10))
        .last()
        .expect("four rounds");
    assert!(calm > 90, "{calm} of 100 while calm");
    assert!(jammed < 10, "{jammed} of 100 in two seconds while jammed");
    assert!(after > 90, "{after} of 100 afterwards");
}

/// Guards likely hits: a failed fetch unlearns its own key, not another that shares its slot in the memory of keys.
#[test]
fn a_failed_fetch_unlearns_only_its_own_key() {
    use md5::{Digest, Md5};
    let slot = |key: u64| {
        let digest: [u8; 16] = Md5::digest(key.to_string().as_bytes()).into();
        u32::from_le_bytes([digest[0], digest[1], digest[2], digest[3]]) % 4096
    };
    let kept = 7;
    let sharing = (1_000_000..)
        .find(|&key| slot(key) == slot(kept))
        .expect("a key of the same slot");
    let mut rig = Rig::new(settings(), ready(1));
    assert_eq!(rig.served_by(kept), Some(name(1)));
    let others = (10_000..10_400).filter(|&key| slot(key) != slot(kept));
    for key in std::iter::once(sharing).chain(others) {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions).is_some() {
            rig.event(noted(id, Outcome::Failure, 30, Some(CacheStatus::Miss)));
        }
    }
    for _ in 0..10 {
        assert_eq!(
            rig.served_by(kept),
            Some(name(1)),
            "a likely hit is served while the origin fails"
        );
    }
}

/// Guards a slow origin behind a thousand routers: each sees few fetches, so that a few failures must be enough.
#[test]
fn a_router_of_many_holds_fetches_back_after_a_few_failures() {
    let mut rig = Rig::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(50),
    );
    for key in 0..5 {
        let (id, _) = rig.ask(0, key);
        rig.event(noted(id, Outcome::Failure, 20, Some(CacheStatus::Miss)));
        rig.now = rig.now.plus(ms(500));
    }
    let mut let_through = 0;
    for key in 100..200 {
        let (id, actions) = rig.ask(0, key);
        let_through += usize::from(sent(&actions).is_some());
        rig.event(noted(id, Outcome::Failure, 20, Some(CacheStatus::Miss)));
        rig.now = rig.now.plus(ms(500));
    }
    assert!(let_through < 20, "{let_through} of 100 fetches");
}

/// Guards the servers of a thousand routers: time-outs of requests that may be fetches are the server's, not the
/// origin's, unless fetches have failed.
#[test]
fn time_outs_alone_do_not_hold_fetches_back_at_a_router_of_many() {
    let mut rig = Rig::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(50),
    );
    let mut let_through = 0;
    for key in 0..100 {
        let (id, actions) = rig.ask(0, key);
        let_through += usize::from(sent(&actions).is_some());
        (0..3).for_each(|attempt| _ = rig.end(id, attempt, Outcome::TimedOut, 800));
        rig.now = rig.now.plus(ms(60_000));
    }
    assert!(let_through > 80, "{let_through} of 100 requests");
}

/// Guards full servers behind a thousand routers (incident iaf5b03, where four of five attempts were turned away):
/// each router leaves a server that was full alone for long, though it has never been served there.
#[test]
fn a_full_server_is_left_alone_by_a_router_of_many() {
    let mut rig = Rig::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(4),
    );
    let mut knocked = 0;
    for key in keys_of(1, 4).take(20) {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions) == Some(name(1)) {
            knocked += 1;
            rig.end(id, 0, Outcome::Overloaded, 1);
        }
        rig.end(id, 1, Outcome::Success, 20);
        rig.now = rig.now.plus(ms(1_000));
    }
    assert!((1..8).contains(&knocked), "{knocked} of 20");
}

/// Guards jammed servers behind many routers (incident i3e2ffc): one time-out is news enough for a pause.
#[test]
fn one_time_out_at_a_router_of_many_is_news_enough() {
    let mut rig = Rig::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(4),
    );
    let key = key_of(1, 4);
    assert_eq!(rig.served_by(key), Some(name(1)));
    rig.now = rig.now.plus(ms(60_000));
    let (id, actions) = rig.ask(0, key);
    assert_eq!(sent(&actions), Some(name(1)));
    rig.end(id, 0, Outcome::TimedOut, 800);
    rig.now = rig.now.plus(ms(1_000));
    assert_ne!(sent(&rig.ask(0, key).1), Some(name(1)));
}

/// Guards against a throttle that never ends: a server that was full or jammed and now answers only misses, as most
/// answers are at a router that sees little, is taken up again like one that answers hits.
#[test]
fn a_throttled_server_that_answers_misses_is_taken_back() {
    for (routers, trouble) in [
        (1_000, Outcome::Overloaded),
        (64, Outcome::Overloaded),
        (64, Outcome::TimedOut),
    ] {
        let mut rig = Rig::new(
            Settings {
                routers,
                ..settings()
            },
            ready(4),
        );
        let keys: Vec<u64> = (0..)
            .filter(|&k| key_at(k, 4) == name(1))
            .take(400)
            .collect();
        for &key in &keys[..40] {
            let (id, _) = rig.ask(0, key);
            rig.end(id, 0, trouble, 300);
            rig.end(id, 1, Outcome::Success, 20);
            rig.now = rig.now.plus(ms(2_000));
        }
        let mut last = 0;
        for (i, &key) in keys[40..].iter().enumerate() {
            let (id, actions) = rig.ask(0, key);
            last += usize::from(i >= 340 && sent(&actions) == Some(name(1)));
            rig.event(noted(id, Outcome::Success, 60, Some(CacheStatus::Miss)));
            rig.now = rig.now.plus(ms(2_000));
        }
        assert_eq!(
            last, 20,
            "the ring decides again, {routers} routers after {trouble:?}"
        );
    }
}

/// Guards the floor of a full server's limit, which a thousand routers start under (incident iaf5b03): each further
/// "full" lengthens the pause.
#[test]
fn each_further_full_answer_lengthens_the_pause() {
    let mut rig = Rig::new(
        Settings {
            routers: 1_000,
            ..settings()
        },
        ready(4),
    );
    let mut knocks = Vec::new();
    for key in keys_of(1, 4).take(400) {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions) == Some(name(1)) {
            knocks.push(rig.now);
            rig.end(id, 0, Outcome::Overloaded, 1);
            rig.end(id, 1, Outcome::Success, 20);
        }
        rig.now = rig.now.plus(ms(500));
    }
    let pauses: Vec<Micros> = knocks.windows(2).map(|k| k[1].since(k[0])).collect();
    assert!(pauses.len() >= 2, "{pauses:?}");
    assert!(
        pauses.windows(2).all(|p| p[1] >= p[0].scaled(1.5)),
        "{pauses:?}"
    );
}

/// Guards the bounded walk: servers that are skipped for being new do not count, so that one warm server is found.
#[test]
fn the_one_warm_server_is_found_among_many_cold_ones() {
    let mut endpoints = ready(60);
    endpoints[1..]
        .iter_mut()
        .for_each(|m| m.started = ms(99_990));
    let mut rig = Rig::new(settings(), endpoints);
    let found = (0..200).filter(|&key| {
        let served = rig.served_by(key).is_some();
        rig.now = rig.now.plus(ms(1));
        served
    });
    let found = found.count();
    assert!(found > 190, "{found} of 200");
}

/// Guards small machines: one of half the mean listed size takes about half of its arcs, the same at every router.
#[test]
fn a_small_server_takes_its_arcs_in_part() {
    let mut endpoints = ready(4);
    endpoints.iter_mut().for_each(|m| m.weight = 4.0);
    endpoints[0].weight = 1.5;
    let share = |weights| {
        let mut rig = Rig::new(
            Settings {
                weights,
                ..settings()
            },
            endpoints.clone(),
        );
        (0..2_000)
            .filter(|&key| rig.served_by(key) == Some(name(1)))
            .count()
    };
    let (whole, part) = (share(Weights::Unknown), share(Weights::Nominal));
    assert!(
        part * 10 > whole * 3 && part * 10 < whole * 6,
        "{part} of {whole}"
    );
}

/// Guards a key hotter than a server: many routers spread it over several homes, each router keeps to one, and
/// without its heat they all agree again.
#[test]
fn a_hot_key_has_several_homes_among_many_routers() {
    let homes = |other_keys: u64| {
        let mut homes = std::collections::BTreeSet::new();
        for seed in 0..40 {
            let mut rig = Rig::new(settings(), vec![]);
            rig.router = Router::new(
                Settings {
                    routers: 400,
                    ..settings()
                },
                seed,
            )
            .expect("usable settings");
            rig.list(EndpointUpdate::Snapshot, ready(40));
            for key in 0..60 {
                rig.served_by(if key % 6 == 0 { 7 } else { 1_000 + key });
            }
            (0..other_keys).for_each(|key| _ = rig.served_by(2_000 + key));
            homes.extend(rig.served_by(7));
        }
        homes.len()
    };
    let (hot, calm) = (homes(0), homes(2_000));
    assert!(
        (3..12).contains(&hot),
        "{hot} homes while a sixth of the requests ask for it"
    );
    assert_eq!(calm, 1);
}

/// Guards against silence: while another attempt can follow, one may take only a part of the time to the aim, where
/// late answers are worthless. Where they are not, or the request is unsafe, it is waited for; and so it is where
/// answers usually take a good part of that time: most would be given up shortly before they come.
#[test]
fn an_attempt_that_is_overdue_while_another_can_follow_is_given_up() {
    let timeout = |class: usize, late_weight: f64, usual: u64| {
        let mut rig = Rig::new(settings_with_late_worth(late_weight), ready(3));
        for key in 0..60 {
            let (id, _) = rig.ask(0, key);
            rig.now = rig.now.plus(ms(usual));
            rig.end(id, 0, Outcome::Success, usual);
        }
        let (_, actions) = rig.ask(class, 5);
        let found = actions.iter().find_map(|a| match a {
            Action::Send { timeout, .. } => Some(*timeout),
            _ => None,
        });
        found.expect("a send")
    };
    assert!(timeout(0, 0.0, 20).is_some_and(|t| t > ms(60) && t < ms(300)));
    assert!(timeout(2, 0.0, 20).is_some());
    assert_eq!(timeout(1, 0.0, 20), None, "an unsafe one");
    assert_eq!(timeout(0, 0.3, 20), None, "late answers have worth");
    assert_eq!(
        timeout(0, 0.0, 100),
        None,
        "a third of the aim is usual here"
    );
}

/// Guards against connections dropped unseen while idle: after one that broke, those idle as long are closed before
/// they are used; busy ones and those in steady use are not.
#[test]
fn an_idle_connection_is_closed_before_use_after_one_that_broke() {
    let mut rig = Rig::new(settings(), ready(1));
    let closes = |actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::CloseIdle { .. }))
    };
    let round = |rig: &mut Rig, wait: u64, outcome: Outcome| {
        rig.now = rig.now.plus(ms(wait));
        let (id, actions) = rig.ask(0, 7);
        rig.end(id, 0, outcome, 5);
        closes(&actions)
    };
    assert!(!round(&mut rig, 0, Outcome::Success));
    assert!(!round(&mut rig, 4_000, Outcome::ConnectionLost));
    assert!(round(&mut rig, 3_000, Outcome::Success), "idle for long");
    assert!(!round(&mut rig, 100, Outcome::Success), "in steady use");
    assert!(
        !round(&mut rig, 16_000, Outcome::Success),
        "beyond its idle time there is none"
    );
}

/// Guards an origin behind hundreds of routers: the first miss of each goes there.
#[test]
fn the_first_miss_of_a_router_of_many_goes_to_the_origin() {
    for seed in 0..20 {
        let mut settings = settings();
        (settings.mode, settings.routers) = (CacheMode::Aside { origin: KindId(9) }, 600);
        let mut origin = Endpoint::ready(ServerId::from("10.9.9.9:80"));
        origin.kind = Some(KindId(9));
        let mut rig = Rig::new(settings.clone(), vec![]);
        rig.router = Router::new(settings, seed).expect("usable settings");
        rig.list(
            EndpointUpdate::Snapshot,
            [ready(3), vec![origin.clone()]].concat(),
        );
        let (id, _) = rig.ask(0, 7);
        assert_eq!(sent(&rig.end(id, 0, Outcome::Miss, 5)), Some(origin.server));
    }
}

/// Guards the successor of a hot or silent server: further attempts of many routers are spread over a few servers,
/// and still find the only one that is left.
#[test]
fn further_attempts_are_spread() {
    let second = |seed: u64, count: usize| {
        let mut rig = Rig::new(settings(), vec![]);
        rig.router = Router::new(
            Settings {
                routers: 400,
                ..settings()
            },
            seed,
        )
        .expect("usable settings");
        rig.list(EndpointUpdate::Snapshot, ready(count));
        let (id, _) = rig.ask(0, 7);
        sent(&rig.end(id, 0, Outcome::TimedOut, 200))
    };
    let homes: std::collections::BTreeSet<_> =
        (0..40).filter_map(|seed| second(seed, 20)).collect();
    assert!((2..=4).contains(&homes.len()), "{homes:?}");
    assert!(
        (0..40).all(|seed| second(seed, 2).is_some()),
        "the only one left"
    );
}

/// Guards a failing origin where errors carry no note, as on sockets: a likely fetch that fails later than hits are
/// served is not tried elsewhere, and enough of them hold further fetches back. A quick error is the server's own.
#[test]
fn a_late_failure_without_a_note_is_laid_to_the_origin() {
    let mut rig = Rig::new(settings(), ready(3));
    let (id, _) = rig.ask(0, 5);
    assert!(
        sent(&rig.end(id, 0, Outcome::Failure, 20)).is_some(),
        "quick: the next server may do"
    );
    let mut rig = Rig::new(settings(), ready(3));
    let (id, _) = rig.ask(0, 5);
    let actions = rig.end(id, 0, Outcome::Failure, 400);
    assert!(
        sent(&actions).is_none() && refused(&actions),
        "late: a further fetch feeds the origin's jam"
    );
    for key in 100..140 {
        let (id, actions) = rig.ask(0, key);
        if sent(&actions).is_some() {
            rig.end(id, 0, Outcome::Failure, 400);
        }
    }
    let (_, actions) = rig.ask(0, 999);
    assert!(
        refused(&actions),
        "no fetch is started while the last ones failed"
    );
}

/// Guards against a key whose kept copy went void: it must not be sent past the fetch limit for good.
#[test]
fn a_late_failure_unlearns_a_key_and_many_make_quick_ones_the_origins() {
    let mut rig = Rig::new(settings(), ready(3));
    assert!(rig.served_by(5).is_some());
    let (id, _) = rig.ask(0, 5);
    assert!(
        refused(&rig.end(id, 0, Outcome::Failure, 400)),
        "known, and yet a failed fetch"
    );
    for key in 100..110 {
        let (id, _) = rig.ask(0, key);
        rig.end(id, 0, Outcome::Failure, 400);
    }
    rig.now = rig.now.plus(ms(10_000));
    let (id, actions) = rig.ask(0, 7);
    assert!(sent(&actions).is_some());
    let actions = rig.end(id, 0, Outcome::Failure, 20);
    assert!(
        sent(&actions).is_none() && refused(&actions),
        "the origin turns fetches away at once"
    );
}
