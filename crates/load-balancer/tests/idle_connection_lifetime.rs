//! Idle connections to servers that a hundred routers share: their lifetime, and rejections of new
//! connections.

mod common;

use common::*;
use load_balancer::*;
use std::ops::Range;

/// One of a hundred routers, with realistic connection costs.
fn router_of_large_fleet() -> TestRouter {
    let connection_costs = ConnectionCosts {
        connection: 0.08,
        handshake: 0.12,
    };
    TestRouter::new(
        Settings {
            routers: 100,
            connection_costs,
            ..settings()
        },
        ready(10),
    )
}

/// Sends one request per key every 100 ms; each attempt has the given connection use and outcome.
fn run_requests(
    rig: &mut TestRouter,
    keys: Range<u64>,
    connection_use: ConnectionUse,
    outcome: Outcome,
) {
    for key in keys {
        let (id, actions) = rig.request(0, key);
        rig.now = rig.now.plus(ms(5));
        if sent(&actions).is_some() {
            let cache_status = (outcome == Outcome::Success).then_some(CacheStatus::Hit);
            rig.event(Event::AttemptEnded(AttemptEnd {
                connection_use,
                cache_status,
                ..ended(id, 0, outcome, 5)
            }));
        }
        rig.event(Event::ClientDisconnected { id });
        rig.now = rig.now.plus(ms(95));
    }
}

const REUSED: ConnectionUse = ConnectionUse::Reused(Micros(50_000));

#[test]
fn idle_time_costs_at_most_half_of_a_handshake() {
    let mut rig = router_of_large_fleet();
    run_requests(&mut rig, 0..200, REUSED, Outcome::Success);
    // Each of a hundred routers sends ten requests per second, spread over ten servers, so a
    // handshake costs as much as 1.5 s of idle time.
    let lifetime = rig.router.idle_connection_lifetime().as_secs_f64();
    assert!((0.7..0.8).contains(&lifetime), "{lifetime}");
}

#[test]
fn connections_without_a_cost_have_no_lifetime_limit() {
    let rig = TestRouter::new(settings(), ready(10));
    assert_eq!(rig.router.idle_connection_lifetime(), Micros::MAX);
}

#[test]
fn rejected_new_connections_shorten_the_lifetime_and_cut_no_limit() {
    let mut rig = router_of_large_fleet();
    run_requests(&mut rig, 0..100, REUSED, Outcome::Success);
    let (lifetime, limit_mean_before) = (
        rig.router.idle_connection_lifetime(),
        rig.router.diagnostics().limit_mean,
    );
    run_requests(&mut rig, 0..40, ConnectionUse::New, Outcome::Overloaded);
    assert!(
        rig.router.idle_connection_lifetime() < lifetime.scaled(0.5),
        "{:?} of {lifetime:?}",
        rig.router.idle_connection_lifetime()
    );
    // The first rejections count as overload, since slots are not known to be scarce yet.
    assert!(
        rig.router.diagnostics().limit_mean > 0.8 * limit_mean_before,
        "{} of {limit_mean_before}",
        rig.router.diagnostics().limit_mean
    );
}

#[test]
fn rejections_on_reused_connections_too_show_overload() {
    let mut rig = router_of_large_fleet();
    run_requests(&mut rig, 0..100, REUSED, Outcome::Success);
    let (lifetime, limit_mean_before) = (
        rig.router.idle_connection_lifetime(),
        rig.router.diagnostics().limit_mean,
    );
    for key in 0..20 {
        run_requests(&mut rig, key..key + 1, REUSED, Outcome::Overloaded);
        run_requests(
            &mut rig,
            key + 20..key + 21,
            ConnectionUse::New,
            Outcome::Overloaded,
        );
    }
    assert!(
        rig.router.idle_connection_lifetime() > lifetime.scaled(0.9),
        "{:?} of {lifetime:?}",
        rig.router.idle_connection_lifetime()
    );
    assert!(
        rig.router.diagnostics().limit_mean < 0.8 * limit_mean_before,
        "{} of {limit_mean_before}",
        rig.router.diagnostics().limit_mean
    );
}
