//! All cache servers of a fleet start again at once, under many routers that each send them little.

use router_simulation::fault_plan::RunPlan;
use router_simulation::invariant_checker::{Rule, Violation};
use router_simulation::run::{Recording, simulate_large_fleet};

const ROUTER_COUNTS: [usize; 2] = [100, 300];
const SEEDS: std::ops::Range<u64> = 0..4;

/// Guards against routers that each stay below their part and together overload servers in slow start.
#[test]
fn many_routers_do_not_overload_servers_that_start_again() {
    let mut broken: Vec<(usize, u64, Violation)> = Vec::new();
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
            broken.extend(slow_start.map(|violation| (router_count, seed, violation)));
        }
    }
    assert!(broken.is_empty(), "{}: {:?}", broken.len(), broken.first());
}
