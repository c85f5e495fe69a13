//! Many runs: over several threads, with a summary that does not depend on how many there are.

use crate::fault_plan::{CROWD_READ_COUNT, FaultKind, PAIRS, RunPlan};
use crate::invariant_checker::{CalmService, Counts, Rule};
use crate::run::{Recording, Report, simulate};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// What many runs came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Days played.
    pub runs: u64,
    /// Steps on the wire.
    pub steps: u64,
    /// What passed, all runs together.
    pub counts: Counts,
    /// The fewest requests of a run.
    pub fewest_requests: u64,
    /// How often each fault was drawn.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Pairs of faults that met on a run.
    pub pairs: BTreeSet<(FaultKind, FaultKind)>,
    /// Of each crowd of a run: how many of them had so many attempts.
    pub crowd_attempts: Vec<BTreeMap<u64, u64>>,
    /// All runs in one number: equal for equal runs.
    pub digest: u64,
    /// The runs with a violation, in the order of their seeds.
    pub runs_with_violations: Vec<Report>,
    /// Days on which under half of the requests were served once all was calm, and that share.
    pub jammed: Vec<(u64, f64)>,
}

/// A run on which fewer of the calm's requests were served is shown in the summary.
const JAMMED_SERVED_RATIO: f64 = 0.5;

impl Summary {
    fn add(&mut self, plan: &RunPlan, report: Report) {
        self.runs += 1;
        self.steps += report.steps;
        let (all, counts) = (&mut self.counts, report.counts);
        all.taken += counts.taken;
        all.served += counts.served;
        all.coalesced += counts.coalesced;
        all.rejected += counts.rejected;
        all.failed += counts.failed;
        all.attempts += counts.attempts;
        all.connections += counts.connections;
        all.departed_unsent += counts.departed_unsent;
        all.sent_after_departure += counts.sent_after_departure;
        self.fewest_requests = if self.runs == 1 {
            counts.taken
        } else {
            self.fewest_requests.min(counts.taken)
        };
        for (index, fault) in plan.faults.iter().enumerate() {
            *self.faults.entry(fault.kind).or_default() += 1;
            for other in &plan.faults[index + 1..] {
                let (a, b) = (fault.kind.min(other.kind), fault.kind.max(other.kind));
                if a != b && !FaultKind::RARE.contains(&b) {
                    self.pairs.insert((a, b));
                }
            }
        }
        self.digest = self
            .digest
            .rotate_left(7)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ report.digest;
        self.crowd_attempts.resize_with(
            self.crowd_attempts.len().max(report.crowd_attempts.len()),
            BTreeMap::new,
        );
        for (of, &attempts) in self.crowd_attempts.iter_mut().zip(&report.crowd_attempts) {
            *of.entry(attempts).or_default() += 1;
        }
        let CalmService { taken, served, .. } = report.calm;
        if (served as f64) < JAMMED_SERVED_RATIO * taken as f64 {
            self.jammed
                .push((report.seed, served as f64 / taken as f64));
        }
        if !report.violations.is_empty() {
            self.runs_with_violations.push(report);
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts {
            taken,
            served,
            coalesced,
            rejected,
            failed,
            attempts,
            connections,
            ..
        } = self.counts;
        let Counts {
            departed_unsent,
            sent_after_departure,
            ..
        } = self.counts;
        writeln!(
            f,
            "days      {}, at least {} requests each, {} steps on the wire",
            self.runs, self.fewest_requests, self.steps
        )?;
        writeln!(
            f,
            "requests  {taken}: {served} served ({coalesced} with another's answer), {rejected} refused, {failed} failed; {attempts} attempts on {connections} connections"
        )?;
        writeln!(
            f,
            "left      {departed_unsent} requests before anything of them was sent, {sent_after_departure} of them sent over 0.3 s later"
        )?;
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(kind, count)| format!("{} {count}", kind.name()))
            .collect();
        writeln!(f, "faults    {}", faults.join(", "))?;
        writeln!(f, "pairs     {} of {PAIRS} met on a day", self.pairs.len())?;
        for (crowd_attempts, when) in
            self.crowd_attempts
                .iter()
                .zip(["while all is well", "in the faults", "in the calm"])
        {
            let of = |attempts| crowd_attempts.get(&attempts).copied().unwrap_or(0);
            let most = crowd_attempts.keys().next_back().copied().unwrap_or(0);
            writeln!(
                f,
                "crowds    of {CROWD_READ_COUNT} reads {when}: {} had one attempt, {} two, {} none; at most {most}",
                of(1),
                of(2),
                of(0)
            )?;
        }
        if !self.jammed.is_empty() {
            let shown: Vec<String> = self
                .jammed
                .iter()
                .take(12)
                .map(|(seed, share)| format!("{seed} ({:.0} %)", share * 100.0))
                .collect();
            writeln!(
                f,
                "jammed    {} days served under half of their requests in the calm: {}",
                self.jammed.len(),
                shown.join(", ")
            )?;
        }
        writeln!(f, "digest    {:016x}", self.digest)?;
        let violations: usize = self
            .runs_with_violations
            .iter()
            .map(|report| report.violations.len())
            .sum();
        write!(
            f,
            "breaches  {violations} on {} days",
            self.runs_with_violations.len()
        )
    }
}

/// Days that are played but not yet counted, until those before them are.
#[derive(Default)]
struct PendingReports {
    first: u64,
    runs: BTreeMap<u64, (RunPlan, Report)>,
    summary: Summary,
}

/// How a run is drawn from its seed and the faults that may be in it.
pub type DrawPlan = fn(u64, &[FaultKind]) -> RunPlan;

/// Plays the runs of these seeds on so many threads. `played` is called after each.
pub fn run(
    draw: DrawPlan,
    seeds: Range<u64>,
    allowed_faults: &[FaultKind],
    thread_count: usize,
    played: impl Fn() + Sync,
) -> Summary {
    let next = AtomicU64::new(seeds.start);
    let pending = Mutex::new(PendingReports {
        first: seeds.start,
        ..PendingReports::default()
    });
    std::thread::scope(|scope| {
        for _ in 0..thread_count.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let plan = draw(seed, allowed_faults);
                    let report = simulate(&plan, Recording::Violations);
                    let mut guard = pending.lock().unwrap_or_else(PoisonError::into_inner);
                    let PendingReports {
                        first,
                        runs,
                        summary,
                    } = &mut *guard;
                    runs.insert(seed, (plan, report));
                    while let Some((plan, report)) = runs.remove(first) {
                        summary.add(&plan, report);
                        *first += 1;
                    }
                    drop(guard);
                    played();
                }
            });
        }
    });
    pending
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner)
        .summary
}

/// Reduces a run to the fewest faults and requests that still break this rule, by taking ever smaller parts out.
/// None if the run does not break it.
pub fn shrink(plan: &RunPlan, rule: Rule) -> Option<RunPlan> {
    let breaks = |plan: &RunPlan| {
        simulate(plan, Recording::Violations)
            .violations
            .iter()
            .any(|violation| violation.rule == rule)
    };
    if !breaks(plan) {
        return None;
    }
    let mut best = plan.clone();
    let mut index = 0;
    while index < best.faults.len() {
        let mut less = best.clone();
        less.faults.remove(index);
        if breaks(&less) {
            best = less;
        } else {
            index += 1;
        }
    }
    let mut index = 0;
    while index < best.crowds.len() {
        let mut less = best.clone();
        less.crowds.remove(index);
        if breaks(&less) {
            best = less;
        } else {
            index += 1;
        }
    }
    let mut size = best.requests.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < best.requests.len() {
            let mut less = best.clone();
            less.requests
                .drain(start..(start + size).min(best.requests.len()));
            if breaks(&less) {
                best = less;
            } else {
                start += size;
            }
        }
        size /= 2;
    }
    Some(best)
}

/// What became of one mutation.
#[derive(Clone, Debug)]
pub struct MutationResult {
    /// Its name.
    pub mutation: String,
    /// The first seed that shows it, and the rule that it breaks; none if no seed did.
    pub violation: Option<(u64, Rule, String)>,
}

/// Plants each mutation and plays runs until one breaks a rule, on so many threads; `None` where this build leaves the mutations
/// out. `played` is called after each mutation.
#[cfg(feature = "mutations")]
pub fn mutants(
    seeds: Range<u64>,
    thread_count: usize,
    played: impl Fn() + Sync,
) -> Option<Vec<MutationResult>> {
    use router_runtime::mutation::{Mutation, activate};
    let next = AtomicU64::new(0);
    let found: Mutex<BTreeMap<u64, MutationResult>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..thread_count.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&mutation) = Mutation::ALL.get(index as usize) else {
                        return;
                    };
                    activate(Some(mutation));
                    let draw: DrawPlan = if mutation.is_of_joining() {
                        RunPlan::draw_coalescing
                    } else {
                        RunPlan::draw
                    };
                    let violation = seeds.clone().find_map(|seed| {
                        let report = simulate(&draw(seed, &[]), Recording::Violations);
                        report
                            .violations
                            .into_iter()
                            .next()
                            .map(|violation| (seed, violation.rule, violation.text))
                    });
                    activate(None);
                    let caught = MutationResult {
                        mutation: format!("{mutation:?}"),
                        violation,
                    };
                    found
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .insert(index, caught);
                    played();
                }
            });
        }
    });
    let found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    Some(found.into_values().collect())
}

/// See above: this build leaves the mutations out.
#[cfg(not(feature = "mutations"))]
pub fn mutants(
    _seeds: Range<u64>,
    _jobs: usize,
    _played: impl Fn() + Sync,
) -> Option<Vec<MutationResult>> {
    None
}

/// Whether two plays of a seed and its plays on other threads agree; for tests.
pub fn is_repeatable(seed: u64, allowed_faults: &[FaultKind]) -> bool {
    let plan = RunPlan::draw(seed, allowed_faults);
    let first = simulate(&plan, Recording::Violations).digest;
    let agrees = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                if simulate(&plan, Recording::Trace).digest != first {
                    agrees.store(false, Ordering::Relaxed);
                }
            });
        }
    });
    agrees.into_inner()
}
