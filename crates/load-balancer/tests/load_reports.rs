//! Load reports of servers, and the effect of reports and of latency on limits and placement.

mod common;

use common::*;
use load_balancer::*;

fn report_format() -> LoadReportFormat {
    let names = ["utilization", "backlog", "recent_ms", "x1"].map(String::from);
    LoadReportFormat::new(&names, ["", "fetches_out"])
}

fn spare_capacity() -> Option<LoadReport> {
    report_format().read_row("0.4,0,80,1")
}

fn no_capacity() -> Option<LoadReport> {
    report_format().read_row("1.0,12,80,1")
}

/// Ends the first attempt of a request with a hit after `elapsed_ms` and a load report.
fn hit(rig: &mut TestRouter, id: RequestId, elapsed_ms: u64, load: Option<LoadReport>) {
    let cache_status = Some(CacheStatus::Hit);
    rig.event(Event::AttemptEnded(AttemptEnd {
        cache_status,
        load,
        ..ended(id, 0, Outcome::Success, elapsed_ms)
    }));
}

/// Serves forty hits with the given latencies and returns the mean concurrency limit before and
/// after.
fn limits_after(
    rig: &mut TestRouter,
    elapsed_ms: impl Fn(u64) -> u64,
    load: Option<LoadReport>,
) -> (f64, f64) {
    let before = rig.router.diagnostics().limit_mean;
    for turn in 0..40 {
        let (id, actions) = rig.request(0, 7);
        rig.now = rig.now.plus(ms(elapsed_ms(turn)));
        if sent(&actions).is_some() {
            hit(rig, id, elapsed_ms(turn), load);
        }
        rig.now = rig.now.plus(ms(1_000));
    }
    (before, rig.router.diagnostics().limit_mean)
}

#[test]
fn a_report_is_read_by_position_or_by_name() {
    let row = report_format().read_row("0.61,2,83.5,7").expect("a report");
    assert_eq!(
        (
            row.cpu_utilization,
            row.queue_length,
            row.service_time,
            row.fetches_in_flight
        ),
        (Some(0.61), Some(2.0), Some(Micros(83_500)), Some(7.0))
    );
    assert_eq!(
        report_format().read_pairs("util=0.61,queue=2,latency_ms=83.5,x1=7"),
        Some(row)
    );
    assert_eq!(
        report_format().read_pairs("x1=7, backlog=2 ,qps=9,utilization=0.61,recent_ms=83.5"),
        Some(row)
    );
}

#[test]
fn figures_that_are_not_credible_are_left_out() {
    for row in [
        "NaN,2,-,7",
        "inf,2,1e300,7",
        "-0.1,2,-5,7",
        "61,2,,7",
        "what?,2,0x5,7",
    ] {
        let load = report_format().read_row(row).expect(row);
        assert_eq!(
            (
                load.cpu_utilization,
                load.service_time,
                load.queue_length,
                load.fetches_in_flight
            ),
            (None, None, Some(2.0), Some(7.0)),
            "{row}"
        );
    }
    for unusable in ["", "-", "NaN,NaN,NaN,NaN", ",,,", "util", "=,=,="] {
        assert_eq!(report_format().read_row(unusable), None, "{unusable}");
        assert_eq!(report_format().read_pairs(unusable), None, "{unusable}");
    }
    assert_eq!(
        LoadReportFormat::default().read_pairs("util=0.5"),
        None,
        "a deployment without load reports"
    );
}

/// Guards against treating a server that is always slow as overloaded: with an objective of 300 ms,
/// constant hits of 200 ms are no sign of a queue.
#[test]
fn a_constantly_slow_server_keeps_its_limit_with_and_without_reports() {
    for load in [spare_capacity(), None] {
        let mut rig = TestRouter::new(settings(), ready(1));
        let (before, after) = limits_after(&mut rig, |_| 200, load);
        assert!(after >= before, "{before} to {after} with {load:?}");
    }
}

#[test]
fn a_queue_that_is_reported_or_shows_in_latency_cuts_the_limit() {
    let mut rig = TestRouter::new(settings(), ready(1));
    let (before, after) = limits_after(&mut rig, |_| 200, no_capacity());
    assert!(after < before / 2.0, "{before} to {after} by its report");
    let mut rig = TestRouter::new(settings(), ready(1));
    let (before, after) = limits_after(&mut rig, |turn| if turn < 8 { 60 } else { 200 }, None);
    assert!(after < before / 2.0, "{before} to {after} by its latency");
}

/// Guards against a stale or wrong report of spare capacity: a server whose hits take three times
/// their minimum or more has a queue.
#[test]
fn a_report_of_spare_capacity_is_disproved_by_latency() {
    let mut rig = TestRouter::new(settings(), ready(1));
    let (before, after) = limits_after(
        &mut rig,
        |turn| if turn < 8 { 50 } else { 250 },
        spare_capacity(),
    );
    assert!(after < before / 2.0, "{before} to {after}");
    assert_eq!(rig.router.diagnostics().servers_with_spare_capacity, 0);
}

/// Guards routers of a large fleet: a limit below one paces requests, but must not do so at a
/// server that reports spare capacity. A report that is two seconds old has no effect.
#[test]
fn a_server_with_spare_capacity_gets_one_request_at_a_time_whatever_its_limit() {
    let router_with_low_limit = |load| {
        let mut rig = TestRouter::new(
            Settings {
                routers: 40,
                ..settings()
            },
            ready(1),
        );
        for _ in 0..4 {
            let (id, _) = rig.request(0, 7);
            rig.event(Event::AttemptEnded(AttemptEnd {
                load,
                ..ended(id, 0, Outcome::Overloaded, 2)
            }));
            rig.now = rig.now.plus(ms(20_000));
        }
        let (id, _) = rig.request(0, 7);
        rig.event(Event::AttemptEnded(AttemptEnd {
            load,
            ..ended(id, 0, Outcome::Overloaded, 2)
        }));
        rig
    };
    let is_sent = |rig: &mut TestRouter, after| {
        rig.now = rig.now.plus(ms(after));
        sent(&rig.request(0, 7).1).is_some()
    };
    assert!(
        !is_sent(&mut router_with_low_limit(None), 100),
        "its limit is below one"
    );
    assert!(is_sent(&mut router_with_low_limit(spare_capacity()), 100));
    assert!(!is_sent(&mut router_with_low_limit(no_capacity()), 100));
    let mut stale = router_with_low_limit(spare_capacity());
    stale.now = stale.now.plus(ms(2_000));
    stale.update_endpoints(EndpointUpdate::Delta, Vec::new());
    assert_eq!(
        stale.router.diagnostics().servers_with_spare_capacity,
        0,
        "an expired report"
    );
}

/// Sends nine requests for keys of server 1, more than its limit, and returns another server that
/// gets one of them. Servers 2 to 4 have `requests_elsewhere` attempts in flight each, server 5 has
/// none.
fn diverted_to(requests_elsewhere: usize, is_failing: bool) -> Option<ServerId> {
    let mut rig = TestRouter::new(settings(), ready(5));
    let owner = |key| {
        TestRouter::new(settings(), ready(5))
            .served_by(key)
            .expect("a server")
    };
    let keys_of = |server: usize| (1_000..).filter(move |&key| owner(key) == name(server));
    // Each key is cached at its owner, so that no request is a fetch.
    let keys: Vec<Vec<u64>> = (1..=5)
        .map(|server| keys_of(server).take(9).collect())
        .collect();
    for &key in keys.iter().flatten() {
        rig.served_by(key).expect("a server with capacity");
    }
    if is_failing {
        for &key in &keys[0][..4] {
            let (id, _) = rig.request(0, key);
            rig.end_attempt(id, 0, Outcome::Overloaded, 2);
            rig.end_attempt(id, 1, Outcome::Success, 5);
        }
    }
    for server in 2..=4 {
        for &key in &keys[server - 1][..requests_elsewhere] {
            rig.request(0, key);
        }
    }
    let targets: Vec<ServerId> = keys[0]
        .iter()
        .filter_map(|&key| sent(&rig.request(0, key).1))
        .collect();
    targets.into_iter().find(|server| *server != name(1))
}

/// Guards against sustained overload: when the whole fleet is in use, each key that moves causes an
/// origin fetch and evicts another key.
#[test]
fn a_key_leaves_a_full_server_only_if_the_fleet_has_spare_capacity_or_the_server_fails() {
    assert!(
        diverted_to(0, false).is_some(),
        "keys move if the fleet has spare capacity"
    );
    assert_eq!(
        diverted_to(3, false),
        None,
        "no key moves if the whole fleet is in use"
    );
    assert_eq!(
        diverted_to(3, true),
        Some(name(5)),
        "keys move off a failing server"
    );
}

/// Guards against treating an origin that is always slower than the latency objective as
/// overloaded: late answers are useful up to the deadline, in proportion to their late weight.
#[test]
fn an_origin_that_is_always_slower_than_the_objective_keeps_its_fetch_limit() {
    let mut rig = TestRouter::new(settings_with_late_weight(0.5), ready(10));
    let before = rig.router.diagnostics().fetch_limit;
    for key in 0..200 {
        let (id, actions) = rig.request(0, key);
        assert!(
            sent(&actions).is_some(),
            "request {key} of 200 was not sent"
        );
        rig.now = rig.now.plus(ms(400));
        let end = ended(id, 0, Outcome::Success, 400);
        rig.event(Event::AttemptEnded(AttemptEnd {
            cache_status: Some(CacheStatus::Miss),
            ..end
        }));
    }
    let after = rig.router.diagnostics().fetch_limit;
    assert!(after >= before, "{before} to {after}");
}
