//! Endpoint lists that an agent pushes, on drawn runs: watches are reset and routers start while
//! servers drain.

use router_simulation::fault_plan::{FaultKind, RunPlan};
#[cfg(feature = "mutations")]
use router_simulation::invariant_checker::Rule;
use router_simulation::invariant_checker::Violation;
use router_simulation::run::{Recording, simulate};

const SEEDS: std::ops::Range<u64> = 0..60;

const RESETS: [FaultKind; 2] = [FaultKind::DiscoveryFlaps, FaultKind::ServerDrain];
const STARTS: [FaultKind; 3] = [
    FaultKind::RouterCrash,
    FaultKind::RollingRestart,
    FaultKind::ServerDrain,
];

/// Returns the first violation of each run with these faults where an agent pushes the lists.
fn violations(faults: &[FaultKind]) -> Vec<(u64, Violation)> {
    let first_violation = |seed| {
        let mut plan = RunPlan::draw(seed, faults);
        plan.lists_are_pushed = true;
        let report = simulate(&plan, Recording::Violations);
        report.violations.into_iter().next()
    };
    SEEDS
        .filter_map(|seed| first_violation(seed).map(|violation| (seed, violation)))
        .collect()
}

fn assert_rules_hold(faults: &[FaultKind]) {
    let violations = violations(faults);
    assert!(violations.is_empty(), "{:?}", violations.first());
}

/// Guards against a late call after a watch is reset: what the agent has counts as known.
#[test]
fn drains_are_known_in_time_while_watches_are_reset() {
    assert_rules_hold(&RESETS);
}

/// Guards against a new process that serves from an outdated list.
#[test]
fn drains_are_known_in_time_while_routers_start() {
    assert_rules_hold(&STARTS);
}

/// The checker has to detect a pause before calls, both after a reset and after a start.
#[cfg(feature = "mutations")]
#[test]
fn a_pause_before_calls_is_detected() {
    use router_runtime::mutation::{Mutation, activate};
    activate(Some(Mutation::PausesBeforeCalls));
    let detected = [violations(&RESETS), violations(&STARTS)];
    activate(None);
    for violations in detected {
        let is_drain = |(_, violation): &(u64, Violation)| violation.rule == Rule::Drains;
        assert!(violations.iter().any(is_drain), "{violations:?}");
    }
}
