//! The endpoint list: subscription, draining, and servers that are added and removed.

mod common;

use common::*;
use load_balancer::*;

fn closes(actions: &[Action], server: &ServerId) -> bool {
    actions.contains(&Action::CloseIdle {
        server: server.clone(),
    })
}

#[test]
fn a_lost_watch_is_renewed_with_growing_delay() {
    let poll_within = ms(10_000);
    let mut settings = settings();
    settings.discovery = DiscoveryMode::Subscribe { poll_within };
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
        "subscribes at the start, when the restored list may be stale"
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
        "a retry came later than the longest time without a poll: {waits:?}"
    );
    actions.clear();
    router.handle(ms(3), list(EndpointUpdate::Delta, vec![]), &mut actions);
    router.handle(ms(3), list(EndpointUpdate::WatchLost, vec![]), &mut actions);
    let [Action::SetTimer { after, .. }] = actions[..] else {
        panic!("{actions:?}")
    };
    assert!(
        after <= ms(1_000),
        "the delay did not start anew after an update: {after:?}"
    );
}

/// Guards against unbounded memory: when servers keep being replaced under new names, the table
/// entries of removed servers are reused, and no key is served by a removed server.
#[test]
fn table_entries_of_removed_servers_are_reused() {
    let mut rig = TestRouter::new(settings(), ready(3));
    for i in 10..2_000 {
        rig.update_endpoints(
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
    assert!(servers <= 5, "{servers} servers in the table");
}

/// Where the deployment requires it, idle connections to a draining server are closed when the
/// drain is announced, and again whenever an attempt ends there.
#[test]
fn idle_connections_to_a_draining_server_are_closed() {
    let mut settings = settings();
    settings.rules.drain_close = Some(ms(800));
    let mut rig = TestRouter::new(settings.clone(), ready(3));
    let (id, actions) = rig.request(0, 5);
    let server = sent(&actions).expect("sent");
    let mut draining = ready(3);
    for endpoint in &mut draining {
        endpoint.state = EndpointState::Draining;
    }
    let actions = rig.update_endpoints(EndpointUpdate::Delta, draining);
    assert!(
        (1..=3).all(|i| closes(&actions, &name(i))),
        "several servers drain at once: {actions:?}"
    );
    let actions = rig.end_attempt(id, 0, Outcome::Success, 20);
    assert!(
        closes(&actions, &server),
        "an attempt ended at a draining server: {actions:?}"
    );

    let mut rig = TestRouter::new(settings.clone(), ready(3));
    let actions = rig.update_endpoints(EndpointUpdate::Snapshot, ready(2));
    assert!(closes(&actions, &name(3)), "missing from a snapshot");
    assert!(!closes(&actions, &name(1)));

    let mut rig = TestRouter::new(settings, ready(3));
    let (id, actions) = rig.request(0, 5);
    let server = sent(&actions).expect("sent");
    rig.update_endpoints(
        EndpointUpdate::Snapshot,
        ready(3)
            .into_iter()
            .filter(|m| m.server != server)
            .collect(),
    );
    rig.event(Event::ClientDisconnected { id });
    assert!(
        closes(&rig.end_attempt(id, 0, Outcome::TimedOut, 20), &server),
        "the last attempt ended after the client had disconnected"
    );
}
