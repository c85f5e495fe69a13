//! Slow start: servers that are warming up are sent little at first.

mod common;

use common::*;
use load_balancer::*;

/// Guards the deployment's rule that a server which is warming up must not be overloaded: a server
/// that has just started is sent the part of its arcs that its present capacity allows, and all of
/// them once it is warm.
#[test]
fn a_server_in_slow_start_takes_a_growing_part_of_its_arcs() {
    let keys_at_age = |age: u64| {
        let mut endpoints = ready(4);
        endpoints[0].age = ProcessAge::Known(ms(age));
        let mut rig = TestRouter::new(settings(), endpoints);
        (0..4_000)
            .filter(|&key| rig.served_by(key) == Some(name(1)))
            .count()
    };
    let (fresh, half, warm) = (keys_at_age(0), keys_at_age(15_000), keys_at_age(30_000));
    assert!(fresh < warm / 5, "fresh {fresh}, warm {warm}");
    assert!(
        half > fresh && half < warm * 3 / 4,
        "half {half}, warm {warm}"
    );
    assert!(warm > 700, "warm {warm}");
}

#[test]
fn an_unreachable_server_returns_through_slow_start() {
    let mut rig = TestRouter::new(settings(), ready(2));
    let key = (0..)
        .find(|&key| rig.served_by(key) == Some(name(1)))
        .expect("a key of server 1");
    let fail_one = |rig: &mut TestRouter| {
        let (id, _) = rig.request(0, key);
        rig.end_attempt(id, 0, Outcome::Unreachable, 5);
        rig.end_attempt(id, 1, Outcome::Success, 5);
    };
    let served_count = |rig: &mut TestRouter| {
        (0..400)
            .filter(|&key| rig.served_by(key) == Some(name(1)))
            .count()
    };
    // A single connection reset shows nothing: the server keeps its keys.
    fail_one(&mut rig);
    assert!(
        served_count(&mut rig) > 150,
        "{} of 400 keys",
        served_count(&mut rig)
    );
    fail_one(&mut rig);
    fail_one(&mut rig);
    let served_after_failures = served_count(&mut rig);
    assert!(
        served_after_failures < 60,
        "{served_after_failures} of 400 keys sent to a server that has just been unreachable"
    );
}

/// Guards against rejecting everything while the whole fleet is warming up: the part of its arcs
/// that a server takes is relative to the warmest server.
#[test]
fn a_fleet_in_slow_start_serves_all_keys() {
    let mut endpoints = ready(4);
    for endpoint in &mut endpoints {
        endpoint.age = ProcessAge::Known(ms(1_000));
    }
    let mut rig = TestRouter::new(settings(), endpoints);
    let mut served = 0;
    for key in 0..200 {
        served += usize::from(rig.served_by(key).is_some());
        rig.now = rig.now.plus(ms(20));
    }
    assert!(served > 150, "{served} of 200 keys served");
}

/// Guards the same rule with hundreds of routers that share no state: without an allowance each of
/// them would send a hot key of a server in slow start there once before it observes that the
/// server is slow.
#[test]
fn many_routers_together_stay_within_a_slow_start_allowance() {
    let mut endpoints = ready(4);
    endpoints[0].age = ProcessAge::Known(ms(15_000));
    let mut router = TestRouter::new(settings(), endpoints.clone());
    let key = (0..)
        .find(|&key| router.served_by(key) == Some(name(1)))
        .expect("a key of the server in slow start");
    let routers: u32 = 200;
    let mut sent_to_warming_server = 0;
    for seed in 0..routers {
        let mut rig = TestRouter::new(settings(), vec![]);
        rig.router = Router::new(
            Settings {
                routers,
                ..settings()
            },
            seed.into(),
        )
        .expect("usable settings");
        rig.update_endpoints(EndpointUpdate::Snapshot, endpoints.clone());
        for _ in 0..4 {
            let (id, actions) = rig.request(0, key);
            sent_to_warming_server += usize::from(sent(&actions) == Some(name(1)));
            rig.end_attempt(id, 0, Outcome::Success, 75);
            rig.now = rig.now.plus(ms(500));
        }
    }
    // 0.75 of 2 x 53% of a core for 1.5 s, at 75 to 150 ms a request, is 8 to 16 requests; random
    // variation adds half at most.
    assert!(
        (1..24).contains(&sent_to_warming_server),
        "{sent_to_warming_server} requests in 2 s to a server that is warming up"
    );
}

/// Servers that are excluded for slow start do not end the walk along the ring, so that the only
/// warm server is found.
#[test]
fn the_one_warm_server_is_found_among_many_in_slow_start() {
    let mut endpoints = ready(60);
    for endpoint in &mut endpoints[1..] {
        endpoint.age = ProcessAge::Known(ms(10));
    }
    let mut rig = TestRouter::new(settings(), endpoints);
    let found = (0..200).filter(|&key| {
        let served = rig.served_by(key).is_some();
        rig.now = rig.now.plus(ms(1));
        served
    });
    let found = found.count();
    assert!(found > 190, "{found} of 200 keys served");
}

/// How many of 2,000 keys a new process of a server gets at once, after half of its slow start and
/// after all of it. The endpoint list dates its start `listed_start_offset_ms` after the time at
/// which the list is received; negative values date it before.
fn keys_of_a_restarted_server(listed_start_offset_ms: i64) -> [usize; 3] {
    let hour = ms(3_600_000);
    let received_at = hour.plus(hour);
    [0, 15_000, 30_500].map(|age| {
        let mut rig = TestRouter::new(settings(), ready(4));
        rig.now = received_at;
        let mut restarted = Endpoint::ready(name(1));
        let received_at_ms = i64::try_from(received_at.0 / 1_000).expect("in range");
        let started_ms = (received_at_ms + listed_start_offset_ms).unsigned_abs();
        restarted.started = WallTime::from_unix_millis(started_ms);
        restarted.age = ProcessAge::Unknown;
        rig.update_endpoints(EndpointUpdate::Delta, vec![restarted]);
        rig.now = received_at.plus(ms(age));
        (0..2_000)
            .filter(|&key| rig.served_by(key) == Some(name(1)))
            .count()
    })
}

/// Guards against wall clocks that differ by seconds or an hour. A server whose listed start lay in
/// the future got no requests until then, and one whose listed start lay too far in the past got no
/// slow start.
#[test]
fn a_new_process_warms_up_from_when_it_is_told_whatever_the_clocks_say() {
    for listed_start_offset_ms in [3_600_000, 5_000, 0, -5_000, -3_600_000] {
        let [fresh, half, warm] = keys_of_a_restarted_server(listed_start_offset_ms);
        assert!(warm > 350, "{listed_start_offset_ms} ms: warm {warm}");
        assert!(
            fresh < warm / 5,
            "{listed_start_offset_ms} ms: fresh {fresh}, warm {warm}"
        );
        assert!(
            half > fresh && half < warm * 3 / 4,
            "{listed_start_offset_ms} ms: half {half}, warm {warm}"
        );
    }
}

/// Guards against an operator override from a process whose wall clock is ahead: the server got no
/// requests until that time.
#[test]
fn a_server_that_was_enabled_in_the_future_warms_up_from_now() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let server = name(1);
    rig.event(Event::ServerDisabled {
        server: server.clone(),
    });
    let at = rig.now.plus(ms(3_600_000));
    rig.event(Event::ServerEnabled {
        server,
        at,
        source: OverrideSource::OtherProcess,
    });
    rig.now = rig.now.plus(ms(30_500));
    let warm = (0..2_000)
        .filter(|&key| rig.served_by(key) == Some(name(1)))
        .count();
    assert!(warm > 350, "warm {warm}");
}
