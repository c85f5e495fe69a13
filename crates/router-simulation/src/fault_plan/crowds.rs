//! Draws crowds for runs whose routers coalesce identical reads.

use super::fault::FaultKind;
use super::{Crowd, MILLI, PlannedRequest, REQUESTS_BEGIN, RunPlan};
use crate::executor::Time;
use crate::rng::SeededRng;

/// The number of reads of a crowd.
pub const CROWD_READ_COUNT: usize = 500;
/// The number of connections of a crowd. Each carries an equal part of the reads.
pub const CROWD_CONNECTION_COUNT: usize = 50;
/// The number of writes of its key during the crowd that arrives while the faults hold.
const WRITE_COUNT: usize = 3;

/// The properties that the requests of a crowd share.
struct CrowdOutline {
    at: Time,
    /// By how much the requests are later than `at` at most, in microseconds.
    spread: Time,
    write_count: usize,
    router: usize,
    key: u64,
    value_size: usize,
}

impl RunPlan {
    /// Draws the plan of a seed with coalescing and three crowds: one before the faults, one during
    /// the faults with writes of its key, and one after the faults.
    pub fn draw_coalescing(seed: u64, allowed_faults: &[FaultKind]) -> RunPlan {
        let mut plan = RunPlan::draw(seed, allowed_faults);
        let rng = &mut SeededRng::new(seed, 7);
        plan.coalescing = true;
        let in_faults = plan.latest_fault_start() + rng.range(0, 300 * MILLI);
        let objective = plan.latency_objective;
        plan.draw_crowd(rng, REQUESTS_BEGIN + 200 * MILLI, 0, 0);
        plan.draw_crowd(rng, in_faults, objective, WRITE_COUNT);
        plan.draw_crowd(rng, plan.recovered_by + 100 * MILLI, 0, 0);
        plan
    }

    fn draw_crowd(&mut self, rng: &mut SeededRng, at: Time, spread: Time, write_count: usize) {
        let outline = CrowdOutline {
            at,
            spread,
            write_count,
            router: rng.index(self.routers.len()),
            key: rng.next_u64(),
            value_size: if rng.chance(0.1) {
                60_000
            } else {
                rng.range(40, 900) as usize
            },
        };
        let crowd = self.draw_crowd_requests(rng, &outline);
        self.crowds.push(crowd);
    }

    fn draw_crowd_requests(&self, rng: &mut SeededRng, outline: &CrowdOutline) -> Crowd {
        let crowds = self.crowds.iter();
        let earlier: usize = crowds
            .map(|crowd| crowd.requests.len() + crowd.writes.len())
            .sum();
        let mut number = (self.requests.len() + earlier) as u32;
        let mut crowd = Crowd {
            requests: Vec::new(),
            writes: Vec::new(),
        };
        for _ in 0..CROWD_CONNECTION_COUNT {
            let delay = if outline.spread > 0 {
                rng.range(0, outline.spread)
            } else {
                0
            };
            for _ in 0..CROWD_READ_COUNT / CROWD_CONNECTION_COUNT {
                number += 1;
                let request = self.draw_crowd_request(rng, outline, number, 0);
                crowd.requests.push(PlannedRequest {
                    at: outline.at + delay,
                    ..request
                });
            }
        }
        for _ in 0..outline.write_count {
            let delay = rng.range(0, outline.spread.max(1));
            number += 1;
            let request = self.draw_crowd_request(rng, outline, number, 1);
            crowd.writes.push(PlannedRequest {
                at: outline.at + delay,
                ..request
            });
        }
        crowd
    }

    fn draw_crowd_request(
        &self,
        rng: &mut SeededRng,
        outline: &CrowdOutline,
        number: u32,
        class: usize,
    ) -> PlannedRequest {
        let deadline = self.deadline(class) as f64;
        PlannedRequest {
            number,
            at: outline.at,
            router: outline.router,
            class,
            key: outline.key,
            timeout: (deadline * rng.between(0.2, 0.95)) as Time,
            work: self.mean_work,
            value_size: outline.value_size,
            fault_selector: rng.unit(),
        }
    }
}
