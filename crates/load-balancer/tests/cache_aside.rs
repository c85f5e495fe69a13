//! Cache-aside mode, in which the router itself fetches from the origin.

mod common;

use common::*;
use load_balancer::*;

#[test]
fn cache_aside_misses_and_writes_go_to_the_origin() {
    let mut settings = settings();
    settings.mode = CacheMode::Aside {
        origin: MachineKindId(9),
    };
    let mut endpoints = ready(3);
    let mut origin = Endpoint::ready(ServerId::from("10.9.9.9:80"));
    origin.kind = Some(MachineKindId(9));
    endpoints.push(origin.clone());
    let mut rig = TestRouter::new(settings, endpoints);
    for key in 0..300 {
        assert_ne!(
            rig.served_by(key),
            Some(origin.server.clone()),
            "the origin must not be on the ring"
        );
    }
    let (id, _) = rig.request(0, 5_000);
    assert_eq!(
        sent(&rig.end_attempt(id, 0, Outcome::Miss, 3)),
        Some(origin.server.clone())
    );
    rig.end_attempt(id, 1, Outcome::Success, 30);
    assert_eq!(sent(&rig.request(1, 5_000).1), Some(origin.server));
}

/// With 600 routers the initial limit for an origin must still admit the first miss of each router.
#[test]
fn the_first_miss_at_one_of_many_routers_goes_to_the_origin() {
    for seed in 0..20 {
        let mut settings = settings();
        (settings.mode, settings.routers) = (
            CacheMode::Aside {
                origin: MachineKindId(9),
            },
            600,
        );
        let mut origin = Endpoint::ready(ServerId::from("10.9.9.9:80"));
        origin.kind = Some(MachineKindId(9));
        let mut rig = TestRouter::new(settings.clone(), vec![]);
        rig.router = Router::new(settings, seed).expect("usable settings");
        rig.update_endpoints(
            EndpointUpdate::Snapshot,
            [ready(3), vec![origin.clone()]].concat(),
        );
        let (id, _) = rig.request(0, 7);
        assert_eq!(
            sent(&rig.end_attempt(id, 0, Outcome::Miss, 5)),
            Some(origin.server)
        );
    }
}
