//! Metastable failures that a router must not enter, as long scripted runs: an origin that was
//! slow, restarts during the slowness, servers that fail quickly, and many routers with few
//! requests each.

use router_simulation::fault_plan::{Fault, FaultKind, MILLI, PlannedRequest, RunPlan, SECOND};
use router_simulation::run::{Recording, Report, simulate};

/// When the origin becomes slow, in microseconds.
const SLOW_FROM: u64 = 5 * SECOND;
/// How long the origin is slow, in microseconds. Recovery is checked from 5 s later.
const SLOW_DURATION: u64 = 20 * SECOND;

/// Returns the plan of a run of 40 s without faults, with `routers` routers that receive `rate`
/// requests per second each.
fn plan_without_faults(seed: u64, routers: usize, rate: f64) -> RunPlan {
    let mut plan = RunPlan::draw(seed, &[]);
    plan.faults.clear();
    plan.routers = (0..routers).map(|i| i % 3).collect();
    let drawn = std::mem::take(&mut plan.requests);
    let rate_factor = routers as f64 * rate / (drawn.len() as f64 / 10.0);
    let count = (drawn.len() as f64 * rate_factor * 4.0) as usize;
    plan.requests = (0..count)
        .map(|i| {
            let request = &drawn[i % drawn.len()];
            let at = SECOND / 4 + (i as f64 / count as f64 * 40e6) as u64;
            let work = request.work / rate_factor;
            // Each router receives requests for all keys.
            PlannedRequest {
                number: i as u32,
                at,
                router: (i * 7 + i / drawn.len()) % routers,
                work,
                ..request.clone()
            }
        })
        .collect();
    plan.mean_work /= rate_factor;
    plan.recovered_by = SLOW_FROM + SLOW_DURATION;
    plan
}

fn fault(kind: FaultKind, at: u64, duration: u64, targets: Vec<usize>, severity: f64) -> Fault {
    Fault {
        kind,
        at,
        duration,
        targets,
        severity,
    }
}

/// The origin takes eight times as long as usual.
fn slow_origin() -> Fault {
    fault(
        FaultKind::OriginSlow,
        SLOW_FROM,
        SLOW_DURATION,
        vec![0],
        1.1,
    )
}

fn served_after_faults(plan: &RunPlan) -> u64 {
    let Report {
        violations,
        after_faults,
        ..
    } = simulate(plan, Recording::Violations);
    assert!(violations.is_empty(), "{violations:?}");
    after_faults.served
}

/// Checks that, from 5 s after the end of the faults, at least nine tenths of the requests are
/// served that are served without the faults.
fn assert_recovery(mut plan: RunPlan, faults: Vec<Fault>) {
    plan.recovered_by += 5 * SECOND;
    let before = served_after_faults(&plan);
    plan.faults = faults;
    let after = served_after_faults(&plan);
    assert!(
        after * 10 >= before * 9,
        "seed {}: {after} of {before} served after the faults",
        plan.seed
    );
}

#[test]
fn service_recovers_within_5_s_of_an_origin_eight_times_slower_for_20_s() {
    (0..4)
        .for_each(|seed| assert_recovery(plan_without_faults(seed, 4, 14.0), vec![slow_origin()]));
}

#[test]
fn service_recovers_while_a_third_of_the_servers_fail_quickly() {
    for seed in 0..4 {
        let errors = fault(
            FaultKind::FastErrors,
            SLOW_FROM,
            SLOW_DURATION,
            vec![0, 3, 6],
            0.5,
        );
        assert_recovery(
            plan_without_faults(seed, 4, 14.0),
            vec![slow_origin(), errors],
        );
    }
}

#[test]
fn service_recovers_with_40_routers_of_3_requests_per_second_each() {
    (0..3)
        .for_each(|seed| assert_recovery(plan_without_faults(seed, 40, 3.0), vec![slow_origin()]));
}

#[test]
fn service_recovers_if_all_routers_restart_with_an_old_list_and_a_partitioned_zone() {
    for seed in 0..4 {
        let plan = plan_without_faults(seed, 6, 9.0);
        let at = SLOW_FROM + 10 * SECOND;
        let restarts = fault(
            FaultKind::RouterCrash,
            at,
            2 * SECOND,
            (0..6).collect(),
            0.5,
        );
        let down = fault(
            FaultKind::DiscoveryDown,
            at - SECOND,
            6 * SECOND,
            vec![0],
            0.5,
        );
        let cut = fault(FaultKind::ZonePartition, at, 5 * SECOND, vec![1], 0.5);
        assert_recovery(plan, vec![slow_origin(), restarts, down, cut]);
    }
}

/// The invariant checker sums what all routers together send to a server in slow start.
#[test]
fn servers_in_slow_start_are_not_overloaded_by_30_routers() {
    for seed in 0..4 {
        let mut plan = plan_without_faults(seed, 30, 3.0);
        plan.faults = vec![fault(
            FaultKind::ServerCrash,
            SLOW_FROM,
            500 * MILLI,
            vec![0, 2, 4],
            0.5,
        )];
        served_after_faults(&plan);
    }
}
