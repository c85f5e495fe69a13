//! Plans of a large fleet: many routers that each receive few requests, and few cache servers that
//! all restart at once, so that none can take over another's keys.

use super::draw::ZONE_COUNT;
use super::{Fault, FaultKind, MILLI, RunPlan, SECOND};
use crate::rng::SeededRng;

/// The rate of all routers together, in requests per second.
const REQUEST_RATE: f64 = 600.0;
/// The load, as a ratio of the capacity of all servers.
const LOAD_RATIO: f64 = 0.6;
/// The number of cache servers.
const SERVER_COUNT: usize = 4;
/// The speed of each server.
const SERVER_SPEED: f64 = 4.0;
/// When the servers crash, in microseconds.
const CRASH_AT: u64 = 3 * SECOND;
/// How long the servers are down, in microseconds.
const CRASH_DURATION: u64 = 600 * MILLI;

impl RunPlan {
    /// Draws the plan of a seed with this number of routers. The origin is fast, so that only the
    /// restarted servers limit the load.
    pub fn draw_large_fleet(seed: u64, router_count: usize) -> RunPlan {
        let mut plan = RunPlan::draw(seed, &[FaultKind::ServerCrash]);
        let rng = &mut SeededRng::new(seed, 20);
        plan.routers = (0..router_count)
            .map(|number| number % ZONE_COUNT)
            .collect();
        plan.servers.truncate(SERVER_COUNT);
        for server in &mut plan.servers {
            server.speed = SERVER_SPEED;
            server.slots = 64;
            server.queue = 64;
        }
        let capacity = SERVER_SPEED * SERVER_COUNT as f64;
        plan.mean_work = LOAD_RATIO * capacity / REQUEST_RATE * SECOND as f64;
        plan.latency_objective = rng.range(300 * MILLI, 600 * MILLI);
        plan.initial_capacity_ratio = rng.between(0.12, 0.2);
        plan.starting_capacity_ratio = plan.initial_capacity_ratio;
        plan.slow_start_duration = rng.range(4 * SECOND, 6 * SECOND);
        plan.overload_multiple = rng.between(1.5, 2.0);
        plan.overload_duration = 2 * SECOND;
        plan.origin_slots = 1_000;
        plan.origin_time = 5 * MILLI;
        plan.requests.clear();
        plan.draw_requests(&mut SeededRng::new(seed, 21), REQUEST_RATE);
        plan.operator_actions.clear();
        plan.faults = vec![Fault {
            kind: FaultKind::ServerCrash,
            at: CRASH_AT,
            duration: CRASH_DURATION,
            targets: (0..SERVER_COUNT).collect(),
            severity: 1.0,
        }];
        plan
    }
}
