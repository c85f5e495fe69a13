//! Fleets of many routers of which each sees little: admission by worth, beliefs that age, keys that stay.

mod common;

use common::*;
use load_balancer::*;

/// One router of a hundred: class 0 is worth one, class 1 five; both safe.
fn one_of_many() -> Settings {
    let worthy = Class {
        priority_weight: 5.0,
        ..class(Idempotency::Idempotent)
    };
    Settings {
        routers: 100,
        classes: vec![class(Idempotency::Idempotent), worthy],
        ..Settings::default()
    }
}

/// A read of the given class, with 800 ms to live; `number` is its own.
fn read(rig: &mut Rig, number: usize, class: usize, key: u64) -> (RequestId, Vec<Action>) {
    let id = RequestId(1_000_000 + number as u32);
    let expires = rig.now.plus(ms(800));
    let (class, key) = (ClassId(class), Some(key));
    let ask = Request {
        id,
        class,
        tenant: None,
        key,
        expires,
        cost_hint: None,
        retry: false,
        write: false,
    };
    (id, rig.event(Event::Request(ask)))
}

/// One request every `gap` for keys of the first of four servers, `worthy` of ten of class 1; of nine answers one
/// takes `took`, past the aim, the others 60 ms. How many of each class were sent on.
fn drive(rig: &mut Rig, requests: usize, gap: Micros, worthy: usize, took: u64) -> [usize; 2] {
    let mut sent_on = [0; 2];
    for (i, key) in keys_of(1, 4).take(requests).enumerate() {
        let class = usize::from(i * 7 % 10 < worthy);
        let (id, actions) = read(rig, i, class, key);
        if sent(&actions).is_some() {
            sent_on[class] += 1;
            let took = if sent_on.iter().sum::<usize>() % 9 == 0 {
                took
            } else {
                60
            };
            rig.event(noted(id, Outcome::Success, took, Some(CacheStatus::Hit)));
        }
        rig.now = rig.now.plus(gap);
    }
    sent_on
}

/// Keys of the given server, each asked for once.
fn keys_of(server: usize, servers: usize) -> impl Iterator<Item = u64> {
    (0..).filter(move |&key| {
        Rig::new(settings(), ready(servers)).served_by(key) == Some(name(server))
    })
}

fn noted(id: RequestId, outcome: Outcome, took: u64, cache_status: Option<CacheStatus>) -> Event {
    Event::AttemptEnded(AttemptEnd {
        cache_status,
        ..ended(id, 0, outcome, took)
    })
}

/// A server that is slow on every look takes less, and what is worth five times as much goes first: the order of
/// refusals is the same as at few routers.
#[test]
fn what_is_worth_more_is_refused_last_at_a_router_that_sees_little() {
    let mut rig = Rig::new(one_of_many(), ready(4));
    drive(&mut rig, 60, ms(700), 3, 400);
    rig.now = rig.now.plus(ms(1_000));
    let [low, high] = drive(&mut rig, 200, ms(700), 3, 400);
    assert!(low < 140 / 2, "{low} of 140 of little worth");
    let (refused_low, refused_high) = (140 - low, 60 - high);
    assert!(
        refused_high * 140 * 3 <= refused_low * 60,
        "{refused_high} of 60 against {refused_low} of 140"
    );
}

/// Where all is worth the same, neither class gives way to the other.
#[test]
fn no_class_gives_way_where_all_worths_are_alike() {
    let alike = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Idempotent),
    ];
    let mut rig = Rig::new(
        Settings {
            classes: alike,
            ..one_of_many()
        },
        ready(4),
    );
    drive(&mut rig, 60, ms(700), 5, 400);
    let [one, other] = drive(&mut rig, 200, ms(700), 5, 400);
    assert!(
        one.abs_diff(other) * 4 <= one + other,
        "{one} against {other}"
    );
}

/// One late answer is no state of the server: a minute later its keys are served as before, with no look between.
#[test]
fn a_late_answer_is_forgotten_with_age() {
    let mut rig = Rig::new(one_of_many(), ready(4));
    let keys: Vec<u64> = keys_of(1, 4).take(12).collect();
    for &key in &keys[..2] {
        let (id, _) = rig.ask(0, key);
        rig.event(noted(id, Outcome::Success, 400, Some(CacheStatus::Hit)));
    }
    let asked = |rig: &mut Rig, key: u64| sent(&rig.ask(0, key).1);
    assert_eq!(asked(&mut rig, keys[2]), None, "a pause right after");
    rig.now = rig.now.plus(ms(90_000));
    assert_eq!(asked(&mut rig, keys[3]), Some(name(1)));
}

/// What a server says itself does not age like that: it has turned requests away.
#[test]
fn a_servers_own_no_holds_until_it_says_otherwise() {
    let knocks = |outcome: Outcome| {
        let mut rig = Rig::new(one_of_many(), ready(4));
        let mut knocks = 0;
        for key in keys_of(1, 4).take(120) {
            let (id, actions) = rig.ask(0, key);
            if sent(&actions) == Some(name(1)) {
                knocks += 1;
                rig.end(id, 0, outcome, 600);
                rig.end(id, 1, Outcome::Success, 20);
            }
            rig.now = rig.now.plus(ms(5_000));
        }
        knocks
    };
    let (told, seen) = (knocks(Outcome::Overloaded), knocks(Outcome::TimedOut));
    assert!(
        told * 2 <= seen,
        "{told} knocks after full answers, {seen} after time-outs"
    );
}

/// A hunch moves no key: a router that met one late answer refuses or waits, it does not send the key elsewhere,
/// where it would be a fetch that drives out another key.
#[test]
fn a_hunch_of_one_router_moves_no_key() {
    let mut rig = Rig::new(one_of_many(), ready(4));
    let keys: Vec<u64> = keys_of(1, 4).take(40).collect();
    let (mut home, mut elsewhere) = (0, 0);
    for &key in &keys {
        let (id, actions) = rig.ask(0, key);
        match sent(&actions) {
            Some(server) if server == name(1) => home += 1,
            Some(_) => elsewhere += 1,
            None => {}
        }
        rig.event(noted(id, Outcome::Success, 400, Some(CacheStatus::Hit)));
        rig.now = rig.now.plus(ms(15_000));
    }
    assert!(home >= 4, "{home} to the owner");
    assert_eq!(elsewhere, 0);
}

/// A burst that is admitted does not close the door behind it: after three seconds of twice the usual all is
/// admitted again within two seconds.
#[test]
fn after_a_burst_all_is_admitted_again_within_two_seconds() {
    let mut rig = Rig::new(one_of_many(), ready(15));
    let mut key = 0;
    let mut step = |rig: &mut Rig, gap: u64, took: u64| {
        key += 1;
        let (id, actions) = rig.ask(0, key);
        let ok = sent(&actions).is_some();
        if ok {
            rig.event(noted(id, Outcome::Success, took, Some(CacheStatus::Hit)));
        }
        rig.now = rig.now.plus(ms(gap));
        ok
    };
    (0..100).for_each(|_| _ = step(&mut rig, 600, 60));
    // In the burst answers take longer, yet come within the aim.
    (0..10).for_each(|_| _ = step(&mut rig, 300, 140));
    (0..4).for_each(|_| _ = step(&mut rig, 500, 60));
    let refused = (0..60).filter(|_| !step(&mut rig, 600, 60)).count();
    assert!(refused <= 1, "{refused} of 60 refused after the burst");
}

/// A write costs no cached key, so that a hunch is enough for it to go where there is room.
#[test]
fn a_write_leaves_a_server_on_a_hunch() {
    let keyed = class(Idempotency::Keyed {
        scope: DeduplicationScope::All,
        deduplication_window: ms(400),
    });
    let mut rig = Rig::new(
        Settings {
            classes: vec![class(Idempotency::Idempotent), keyed],
            ..one_of_many()
        },
        ready(4),
    );
    let keys: Vec<u64> = keys_of(1, 4).take(3).collect();
    for &key in &keys[..2] {
        let (id, _) = rig.ask(0, key);
        rig.event(noted(id, Outcome::Success, 400, Some(CacheStatus::Hit)));
    }
    assert_eq!(
        sent(&rig.ask(0, keys[2]).1),
        None,
        "a read waits for its owner"
    );
    assert!(sent(&rig.ask(1, keys[2]).1).is_some_and(|server| server != name(1)));
}

/// A slow server's requests fall to what it bears, and the others' are left alone: at a hundred routers that each
/// see a server once in ten seconds, a router takes about three looks.
#[test]
fn one_slow_server_costs_the_others_nothing() {
    let mut rig = Rig::new(one_of_many(), ready(15));
    let (mut slow, mut others) = ((0, 0), (0, 0));
    for key in 0..600 {
        let (id, actions) = rig.ask(0, key);
        let owner = Rig::new(settings(), ready(15)).served_by(key);
        let count = if owner == Some(name(1)) {
            &mut slow
        } else {
            &mut others
        };
        count.0 += 1;
        if let Some(server) = sent(&actions) {
            count.1 += 1;
            let took = if server == name(1) { 400 } else { 60 };
            rig.event(noted(id, Outcome::Success, took, Some(CacheStatus::Hit)));
        }
        rig.now = rig.now.plus(ms(667));
    }
    assert!(
        slow.0 >= 20 && slow.1 * 2 <= slow.0,
        "{slow:?} of the slow server's"
    );
    assert!(others.1 * 100 >= others.0 * 97, "{others:?} of the others'");
}
