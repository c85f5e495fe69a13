//! Hot keys, keys that migrate, and small servers: when a request goes elsewhere than to its owner.

mod common;

use common::*;
use load_balancer::*;

/// A hot key gets a second server only while its owner is at capacity.
#[test]
fn a_hot_key_spills_to_its_successor_only_while_hot() {
    let mut rig = TestRouter::new(settings(), ready(4));
    let key = key_of(1, 4);
    let out: Vec<_> = (0..12).map(|_| rig.request(0, key)).collect();
    let servers_used: std::collections::BTreeSet<_> = out
        .iter()
        .filter_map(|(_, actions)| sent(actions))
        .collect();
    assert!(servers_used.len() >= 2, "{servers_used:?}");
    for (id, _) in out {
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

/// Guards a key hotter than a server: many routers spread it over several replicas, each router uses one, and
/// without its heat they all agree again.
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
    let (hot, calm) = (servers_used(0), servers_used(2_000));
    assert!(
        (3..12).contains(&hot),
        "{hot} replicas while a sixth of the requests ask for it"
    );
    assert_eq!(calm, 1);
}

/// Guards an overloaded fleet: a key that migrates is fetched again and evicts others, so that it goes
/// to its successor only if that has room to spare. A successor that is half busy with its own keys is not asked.
#[test]
fn a_key_migrates_only_to_a_server_with_spare_capacity() {
    let moved = |busy: usize| {
        let mut rig = TestRouter::new(settings(), ready(2));
        let (owned, next): (Vec<_>, Vec<_>) = (
            keys_of(1, 2).take(8).collect(),
            keys_of(2, 2).take(busy).collect(),
        );
        for &key in owned.iter().chain(&next) {
            rig.served_by(key);
        }
        for &key in &next {
            rig.request(0, key);
        }
        owned
            .iter()
            .any(|&key| sent(&rig.request(0, key).1) == Some(name(2)))
    };
    assert!(
        moved(0),
        "an idle one takes what its owner has no capacity for"
    );
    assert!(!moved(2), "one with half of its limit in use does not");
}

/// Guards small machines: one of half the mean listed size takes about half of its arcs, the same at every router.
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
    let (whole, part) = (share(WeightKind::Unknown), share(WeightKind::Nominal));
    assert!(
        part * 10 > whole * 3 && part * 10 < whole * 6,
        "{part} of {whole}"
    );
}
