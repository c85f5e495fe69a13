//! The results of a run.

use crate::plan::SoakPlan;
use router_simulation::invariant_checker::Violation;
use std::fmt;

/// Results of a run.
pub struct SoakReport {
    /// Plan of the run.
    pub plan: SoakPlan,
    /// Number of requests that clients sent.
    pub requests: u64,
    /// Number of final answers that clients received.
    pub answers: u64,
    /// Number of those answers that are neither errors nor rejections.
    pub served: u64,
    /// Violations of the invariant checker's rules.
    pub violations: Vec<Violation>,
    /// Peak resident memory of one router process, in KiB.
    pub peak_memory_kb: usize,
    /// Peak number of descriptors of one router process.
    pub peak_descriptors: usize,
    /// Log lines of the router processes.
    pub log: Vec<String>,
    /// Why the run was not played as planned; empty if it was.
    pub rig_failures: Vec<String>,
}

impl SoakReport {
    /// Whether the run was played as planned and broke no rule.
    pub fn has_held(&self) -> bool {
        self.violations.is_empty() && self.rig_failures.is_empty()
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SoakReport { plan, .. } = self;
        write!(
            f,
            "seed {}: {} requests, {} answers, {} served, {:.0} of {} MB, {} of {} descriptors, {} breaches",
            plan.seed,
            self.requests,
            self.answers,
            self.served,
            self.peak_memory_kb as f64 / 1024.0,
            plan.memory_mb,
            self.peak_descriptors,
            plan.descriptors,
            self.violations.len()
        )
    }
}
