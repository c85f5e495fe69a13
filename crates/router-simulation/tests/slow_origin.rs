//! Metastable failures that a router must not fall into, as long scripted runs: an origin that was slow, restarts into
//! it, servers that fail quickly, many routers that each see little.

use router_simulation::fault_plan::{Fault, FaultKind, MILLI, PlannedRequest, RunPlan, SECOND};
use router_simulation::run::{Recording, Report, simulate};

/// The origin is slow from here on ...
const FROM: u64 = 5 * SECOND;
/// ... for so long, and the calm counts from 5 s after.
const LONG: u64 = 20 * SECOND;

/// A run of 40 s without faults, with `routers` that see `rate` requests a second each.
fn plan_without_faults(seed: u64, routers: usize, rate: f64) -> RunPlan {
    let mut plan = RunPlan::draw(seed, &[]);
    plan.faults.clear();
    plan.routers = (0..routers).map(|i| i % 3).collect();
    let drawn = std::mem::take(&mut plan.requests);
    let times = routers as f64 * rate / (drawn.len() as f64 / 10.0);
    let count = (drawn.len() as f64 * times * 4.0) as usize;
    plan.requests = (0..count)
        .map(|i| {
            let request = &drawn[i % drawn.len()];
            let at = SECOND / 4 + (i as f64 / count as f64 * 40e6) as u64;
            let work = request.work / times;
            // Each router sees all keys.
            PlannedRequest {
                number: i as u32,
                at,
                router: (i * 7 + i / drawn.len()) % routers,
                work,
                ..request.clone()
            }
        })
        .collect();
    plan.mean_work /= times;
    plan.recovered_by = FROM + LONG;
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

/// Eight times as slow as usual.
fn slow_origin() -> Fault {
    fault(FaultKind::OriginSlow, FROM, LONG, vec![0], 1.1)
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

/// Of what is served from 5 s after the end without the faults, at least nine tenths are with them.
fn recovers(mut plan: RunPlan, faults: Vec<Fault>) {
    plan.recovered_by += 5 * SECOND;
    let before = served_after_faults(&plan);
    plan.faults = faults;
    let after = served_after_faults(&plan);
    assert!(
        after * 10 >= before * 9,
        "seed {}: {after} of {before} served in the calm",
        plan.seed
    );
}

#[test]
fn an_origin_slow_eight_times_for_20_s_is_recovered_from_within_5_s() {
    (0..4).for_each(|seed| recovers(plan_without_faults(seed, 4, 14.0), vec![slow_origin()]));
}

#[test]
fn so_it_is_while_a_third_of_the_servers_answer_with_quick_errors() {
    for seed in 0..4 {
        let errors = fault(FaultKind::FastErrors, FROM, LONG, vec![0, 3, 6], 0.5);
        recovers(
            plan_without_faults(seed, 4, 14.0),
            vec![slow_origin(), errors],
        );
    }
}

#[test]
fn so_it_is_by_40_routers_that_see_3_requests_a_second_each() {
    (0..3).for_each(|seed| recovers(plan_without_faults(seed, 40, 3.0), vec![slow_origin()]));
}

#[test]
fn all_routers_restart_into_a_slow_origin_with_an_old_list_and_a_zone_cut_off() {
    for seed in 0..4 {
        let plan = plan_without_faults(seed, 6, 9.0);
        let at = FROM + 10 * SECOND;
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
        recovers(plan, vec![slow_origin(), restarts, down, cut]);
    }
}

/// The invariant checker counts what all routers together send a server in slow start.
#[test]
fn cold_servers_stay_within_their_budget_at_30_routers() {
    for seed in 0..4 {
        let mut plan = plan_without_faults(seed, 30, 3.0);
        plan.faults = vec![fault(
            FaultKind::ServerCrash,
            FROM,
            500 * MILLI,
            vec![0, 2, 4],
            0.5,
        )];
        served_after_faults(&plan);
    }
}
