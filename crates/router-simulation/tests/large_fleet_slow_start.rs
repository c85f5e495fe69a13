//! All cache servers of a fleet restart at once, under many routers with few requests each.

use router_simulation::fault_plan::RunPlan;
use router_simulation::invariant_checker::{Rule, Violation};
use router_simulation::run::{Recording, simulate_large_fleet};

const ROUTER_COUNTS: [usize; 2] = [100, 300];
const SEEDS: std::ops::Range<u64> = 0..4;

/// Guards against routers that each stay within their share and together overload servers in slow
/// start.
#[test]
fn many_routers_do_not_overload_restarted_servers() {
    let mut found: Vec<(usize, u64, Violation)> = Vec::new();
    for router_count in ROUTER_COUNTS {
        for seed in SEEDS {
            let plan = RunPlan::draw_large_fleet(seed, router_count);
            let report = simulate_large_fleet(&plan, Recording::Violations);
            assert!(
                report.counts.served > 500,
                "{} served",
                report.counts.served
            );
            let violations = report.violations.into_iter();
            let slow_start = violations.filter(|violation| violation.rule == Rule::SlowStart);
            found.extend(slow_start.map(|violation| (router_count, seed, violation)));
        }
    }
    assert!(found.is_empty(), "{}: {:?}", found.len(), found.first());
}
