//! Activates each mutation of the router and looks for a run that detects it.

use crate::invariant_checker::Rule;
use std::ops::Range;

/// The result for one mutation.
#[derive(Clone, Debug)]
pub struct MutationResult {
    /// The name of the mutation.
    pub mutation: String,
    /// The first violation that the mutation caused, if any run had one.
    pub detected: Option<DetectedViolation>,
}

/// A violation that a mutation caused.
#[derive(Clone, Debug)]
pub struct DetectedViolation {
    /// The seed of the first run with a violation.
    pub seed: u64,
    /// The violated rule.
    pub rule: Rule,
    /// What was observed.
    pub text: String,
}

/// Activates each mutation and simulates the runs of these seeds until one has a violation, on
/// `thread_count` threads. Returns `None` if this build does not include the mutations.
#[cfg(feature = "mutations")]
pub fn run_mutations(seeds: Range<u64>, thread_count: usize) -> Option<Vec<MutationResult>> {
    use super::for_each_parallel;
    use router_runtime::mutation::Mutation;
    use std::collections::BTreeMap;
    use std::sync::{Mutex, PoisonError};

    let results: Mutex<BTreeMap<u64, MutationResult>> = Mutex::default();
    for_each_parallel(
        0..Mutation::CAUGHT_BY_DRAWN_RUNS.len() as u64,
        thread_count,
        |index| {
            let mutation = Mutation::CAUGHT_BY_DRAWN_RUNS[index as usize];
            let result = MutationResult {
                mutation: format!("{mutation:?}"),
                detected: detect(mutation, seeds.clone()),
            };
            let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
            results.insert(index, result);
        },
    );
    let results = results.into_inner();
    let results = results.unwrap_or_else(PoisonError::into_inner);
    Some(results.into_values().collect())
}

/// Returns the first violation in the runs of these seeds with a mutation, which is active only on
/// this thread.
#[cfg(feature = "mutations")]
fn detect(
    mutation: router_runtime::mutation::Mutation,
    seeds: Range<u64>,
) -> Option<DetectedViolation> {
    use crate::fault_plan::RunPlan;
    use crate::run::{Recording, simulate};
    use router_runtime::mutation::activate;

    let draw = if mutation.requires_coalescing() {
        RunPlan::draw_coalescing
    } else {
        RunPlan::draw
    };
    activate(Some(mutation));
    let detected = seeds.into_iter().find_map(|seed| {
        let report = simulate(&draw(seed, &[]), Recording::Violations);
        let first = report.violations.into_iter().next()?;
        Some(DetectedViolation {
            seed,
            rule: first.rule,
            text: first.text,
        })
    });
    activate(None);
    detected
}

/// Returns `None`, because this build does not include the mutations.
#[cfg(not(feature = "mutations"))]
pub fn run_mutations(_seeds: Range<u64>, _thread_count: usize) -> Option<Vec<MutationResult>> {
    None
}
