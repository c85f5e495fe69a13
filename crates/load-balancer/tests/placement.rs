//! Hot keys, keys that migrate, and small servers: when a request is sent to a server other than
//! the owner of its key.

mod common;

use common::*;
use load_balancer::*;

/// A second server serves a hot key only while the owner is at capacity.
#[test]
fn a_hot_key_spills_to_its_successor_only_while_hot() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let key = key_of(1, 4);
    let requests: Vec<_> = (0..12).map(|_| rig.request(0, key)).collect();
    let servers_used: std::collections::BTreeSet<_> = requests
        .iter()
        .filter_map(|(_, actions)| sent(actions))
        .collect();
    assert!(servers_used.len() >= 2, "{servers_used:?}");
    for (id, _) in requests {
        rig.event(ended_with_status(
            id,
            Outcome::Success,
            10,
            Some(CacheStatus::Hit),
        ));
    }
    for other in 1_000..1_200 {
        rig.served_by(other);
    }
    for _ in 0..5 {
        assert_eq!(rig.served_by(key), Some(name(1)));
    }
}

/// Guards against a key with more requests than one server can serve: many routers spread it over
/// several replicas, of which each router uses one, and all use the owner again once the key is no
/// longer hot.
#[test]
fn a_hot_key_has_several_replicas_among_many_routers() {
    let servers_used = |other_keys: u64| {
        let mut servers_used = std::collections::BTreeSet::new();
        for seed in 0..40 {
            let mut rig = TestRouter::new(settings(), vec![]);
            rig.router = Router::new(
                Settings {
                    routers: 400,
                    ..settings()
                },
                seed,
            )
            .expect("usable settings");
            rig.update_endpoints(EndpointUpdate::Snapshot, ready(40));
            for key in 0..60 {
                rig.served_by(if key % 6 == 0 { 7 } else { 1_000 + key });
            }
            for key in 0..other_keys {
                rig.served_by(2_000 + key);
            }
            servers_used.extend(rig.served_by(7));
        }
        servers_used.len()
    };
    let (while_hot, afterwards) = (servers_used(0), servers_used(2_000));
    assert!(
        (3..12).contains(&while_hot),
        "{while_hot} replicas of a key with a sixth of the requests"
    );
    assert_eq!(afterwards, 1);
}

/// Guards against migrations in an overloaded fleet: a key that migrates is fetched again and
/// evicts others, so that it goes to its successor only if that server has spare capacity. A
/// successor that uses half of its limit for its own keys does not have enough.
#[test]
fn a_key_migrates_only_to_a_server_with_spare_capacity() {
    let migrates = |in_flight_at_successor: usize| {
        let mut rig = TestRouter::new(settings(), ready(2));
        let (owner_keys, successor_keys): (Vec<_>, Vec<_>) = (
            keys_of(1, 2).take(8).collect(),
            keys_of(2, 2).take(in_flight_at_successor).collect(),
        );
        for &key in owner_keys.iter().chain(&successor_keys) {
            rig.served_by(key);
        }
        for &key in &successor_keys {
            rig.request(0, key);
        }
        owner_keys
            .iter()
            .any(|&key| sent(&rig.request(0, key).1) == Some(name(2)))
    };
    assert!(
        migrates(0),
        "an idle successor takes requests beyond the owner's capacity"
    );
    assert!(
        !migrates(2),
        "a successor with half of its limit in use takes no such requests"
    );
}

/// A server with about half of the mean listed weight takes about half of its arcs, the same half
/// at every router.
#[test]
fn a_small_server_takes_part_of_its_arcs() {
    let mut endpoints = ready(4);
    for endpoint in &mut endpoints {
        endpoint.weight = 4.0;
    }
    endpoints[0].weight = 1.5;
    let share = |weight_kind| {
        let mut rig = TestRouter::new(
            Settings {
                weight_kind,
                ..settings()
            },
            endpoints.clone(),
        );
        (0..2_000)
            .filter(|&key| rig.served_by(key) == Some(name(1)))
            .count()
    };
    let (full_arcs, partial_arcs) = (share(WeightKind::Unknown), share(WeightKind::Nominal));
    assert!(
        partial_arcs * 10 > full_arcs * 3 && partial_arcs * 10 < full_arcs * 6,
        "{partial_arcs} keys of {full_arcs}"
    );
}
