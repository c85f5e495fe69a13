//! The consistent-hash ring, observed through the attempts that idle routers send.

mod common;
use common::*;
use load_balancer::*;
use std::collections::HashMap;

/// Keys and the number of their owner among the servers 10.0.0.1:80 to 10.0.0.5:80, computed
/// independently of this crate from MD5 digests cut into little-endian words. Key 769 lies past the
/// highest point and wraps around to the lowest.
const EXPECTED_OWNERS: [(u64, usize); 7] = [
    (1, 5),
    (2, 2),
    (3, 2),
    (77, 1),
    (1000, 1),
    (4569004829183723, 4),
    (769, 2),
];

fn owners(rig: &mut TestRouter, keys: std::ops::Range<u64>) -> Vec<ServerId> {
    keys.map(|key| rig.served_by(key).expect("a ready server"))
        .collect()
}

#[test]
fn keys_go_to_the_first_point_at_or_above_and_wrap_around() {
    let mut rig = TestRouter::new(settings(), ready(5));
    for (key, server) in EXPECTED_OWNERS {
        assert_eq!(rig.served_by(key), Some(name(server)), "key {key}");
    }
}

#[test]
fn the_order_of_the_list_does_not_matter() {
    let mut reversed = ready(9);
    reversed.reverse();
    let mut a = TestRouter::new(settings(), ready(9));
    let mut b = TestRouter::new(settings(), reversed);
    assert_eq!(owners(&mut a, 0..500), owners(&mut b, 0..500));
}

#[test]
fn arcs_are_even() {
    let mut rig = TestRouter::new(settings(), ready(10));
    let mut count = HashMap::new();
    for owner in owners(&mut rig, 0..10_000) {
        *count.entry(owner).or_insert(0) += 1;
    }
    assert_eq!(count.len(), 10);
    for (server, n) in count {
        assert!((700..1_350).contains(&n), "{server} owns {n} of 10000 keys");
    }
}

#[test]
fn only_the_keys_of_a_draining_server_move() {
    let mut rig = TestRouter::new(settings(), ready(8));
    let before = owners(&mut rig, 0..2_000);
    let mut endpoints = ready(8);
    endpoints[3].state = EndpointState::Draining;
    rig.update_endpoints(EndpointUpdate::Delta, vec![endpoints[3].clone()]);
    let after = owners(&mut rig, 0..2_000);
    for (old_owner, new_owner) in before.iter().zip(&after) {
        assert_ne!(
            *new_owner,
            name(4),
            "a draining server must not be on the ring"
        );
        assert!(
            old_owner == new_owner || *old_owner == name(4),
            "a key of {old_owner} moved to {new_owner}"
        );
    }
    rig.update_endpoints(EndpointUpdate::Delta, vec![ready(8)[3].clone()]);
    assert_eq!(owners(&mut rig, 0..2_000), before);
}

#[test]
fn requests_without_a_key_are_placed_by_their_id() {
    let server_of = |id: u32| {
        let mut rig = TestRouter::new(settings(), ready(6));
        let request = Request {
            id: RequestId(id),
            class: ClassId(0),
            tenant: None,
            key: None,
            expires: rig.now.plus(ms(500)),
            cost_hint: None,
            retry: false,
            write: false,
        };
        sent(&rig.event(Event::Request(request))).expect("a ready server")
    };
    assert_eq!(server_of(12), server_of(12));
    let used: std::collections::HashSet<_> = (0..60).map(server_of).collect();
    assert_eq!(used.len(), 6);
}

/// A new server that a snapshot lists before a retained one must not take the table entry of the
/// retained one.
#[test]
fn a_snapshot_moves_only_the_keys_of_servers_that_come_or_go() {
    let mut rig = TestRouter::new(settings(), ready(4));
    owners(&mut rig, 0..200);
    rig.now = rig.now.plus(ms(60_000));
    // 10.0.0.9 is listed first, 10.0.0.1 has left, and the others are retained.
    let mut endpoints = vec![Endpoint::ready(name(9))];
    endpoints.extend(ready(4).split_off(1));
    rig.update_endpoints(EndpointUpdate::Snapshot, endpoints.clone());
    let mut new_router = TestRouter::new(settings(), endpoints);
    let owners_now = owners(&mut rig, 0..500);
    assert!(owners_now.contains(&name(9)) && !owners_now.contains(&name(1)));
    assert_eq!(owners_now, owners(&mut new_router, 0..500));
}
