//! Reduces a plan that violates a rule to a smaller one that is easier to analyze.

use crate::fault_plan::RunPlan;
use crate::invariant_checker::Rule;
use crate::run::{Recording, simulate};

/// Reduces a plan to fewer faults, crowds and requests that still violate the rule, by removing
/// ever smaller parts. Returns `None` if the plan does not violate the rule.
pub fn shrink(plan: &RunPlan, rule: Rule) -> Option<RunPlan> {
    if !violates(plan, rule) {
        return None;
    }
    let mut best = plan.clone();
    remove_singly(&mut best, rule, |plan| &mut plan.faults);
    remove_singly(&mut best, rule, |plan| &mut plan.crowds);
    remove_requests(&mut best, rule);
    Some(best)
}

fn violates(plan: &RunPlan, rule: Rule) -> bool {
    let report = simulate(plan, Recording::Violations);
    let mut violations = report.violations.iter();
    violations.any(|violation| violation.rule == rule)
}

/// Removes each element of a list without which the rule is still violated.
fn remove_singly<T>(best: &mut RunPlan, rule: Rule, list: fn(&mut RunPlan) -> &mut Vec<T>) {
    let mut index = 0;
    while index < list(best).len() {
        let mut reduced = best.clone();
        list(&mut reduced).remove(index);
        if violates(&reduced, rule) {
            *best = reduced;
        } else {
            index += 1;
        }
    }
}

/// Removes halves of the requests, then quarters, down to single requests.
fn remove_requests(best: &mut RunPlan, rule: Rule) {
    let mut size = best.requests.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < best.requests.len() {
            let end = (start + size).min(best.requests.len());
            let mut reduced = best.clone();
            reduced.requests.drain(start..end);
            if violates(&reduced, rule) {
                *best = reduced;
            } else {
                start += size;
            }
        }
        size /= 2;
    }
}
