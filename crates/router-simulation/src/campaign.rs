//! Simulates many runs on several threads. The summary does not depend on the number of threads.

mod mutations;
mod shrink;
mod summary;

pub use mutations::{DetectedViolation, MutationResult, run_mutations};
pub use shrink::shrink;
pub use summary::Summary;

use crate::fault_plan::{FaultKind, RunPlan};
use crate::run::{Recording, Report, simulate};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// A function that draws a plan from a seed and the faults that it may contain.
pub type DrawPlan = fn(u64, &[FaultKind]) -> RunPlan;

/// Finished runs that wait for earlier seeds, since the summary adds runs in the order of their
/// seeds.
#[derive(Default)]
struct PendingReports {
    /// The next seed to add to the summary.
    next_seed: u64,
    reports: BTreeMap<u64, (RunPlan, Report)>,
    summary: Summary,
}

impl PendingReports {
    fn add(&mut self, plan: RunPlan, report: Report) {
        self.reports.insert(plan.seed, (plan, report));
        while let Some((plan, report)) = self.reports.remove(&self.next_seed) {
            self.summary.add(&plan, report);
            self.next_seed += 1;
        }
    }
}

/// Simulates the runs of these seeds on `thread_count` threads. `on_run` is called after each run.
pub fn run(
    draw: DrawPlan,
    seeds: Range<u64>,
    allowed_faults: &[FaultKind],
    thread_count: usize,
    on_run: impl Fn() + Sync,
) -> Summary {
    let pending = Mutex::new(PendingReports {
        next_seed: seeds.start,
        ..PendingReports::default()
    });
    for_each_parallel(seeds, thread_count, |seed| {
        let plan = draw(seed, allowed_faults);
        let report = simulate(&plan, Recording::Violations);
        let mut pending = pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.add(plan, report);
        drop(pending);
        on_run();
    });
    let pending = pending.into_inner();
    pending.unwrap_or_else(PoisonError::into_inner).summary
}

/// Executes a job for each number of a range on `thread_count` threads.
fn for_each_parallel(range: Range<u64>, thread_count: usize, job: impl Fn(u64) + Sync) {
    let next = AtomicU64::new(range.start);
    std::thread::scope(|scope| {
        for _ in 0..thread_count.max(1) {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= range.end {
                        return;
                    }
                    job(number);
                }
            });
        }
    });
}
