//! The summary of many runs.

use crate::fault_plan::{CROWD_READ_COUNT, FAULT_PAIR_COUNT, FaultKind, RunPlan};
use crate::invariant_checker::Counts;
use crate::run::Report;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A run that serves less than this ratio of its requests after the faults is listed as not
/// recovered.
const RECOVERED_SERVED_RATIO: f64 = 0.5;
/// The number of runs without recovery that are listed.
const SHOWN_UNRECOVERED_COUNT: usize = 12;
/// When each crowd of a run arrives.
const CROWD_PHASES: [&str; 3] = ["before the faults", "during the faults", "after the faults"];

/// The summary of many runs.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// The number of runs.
    pub runs: u64,
    /// The number of steps on the wire.
    pub steps: u64,
    /// Totals of all runs.
    pub counts: Counts,
    /// The lowest number of requests of a run.
    pub fewest_requests: u64,
    /// How often each kind of fault was drawn.
    pub faults: BTreeMap<FaultKind, u64>,
    /// Pairs of faults that occurred in one run.
    pub pairs: BTreeSet<(FaultKind, FaultKind)>,
    /// For each crowd of a run, the number of runs by the number of its attempts.
    pub crowd_attempts: Vec<BTreeMap<u64, u64>>,
    /// A digest of all runs, equal for equal runs in equal order.
    pub digest: u64,
    /// The runs with a violation, in the order of their seeds.
    pub runs_with_violations: Vec<Report>,
    /// The runs that served under half of their requests after the faults.
    pub unrecovered: Vec<UnrecoveredRun>,
}

/// A run in which service did not recover after the faults.
#[derive(Clone, Copy, Debug)]
pub struct UnrecoveredRun {
    /// The seed of the run.
    pub seed: u64,
    /// The ratio of requests that were served after the faults.
    pub served_ratio: f64,
}

impl Summary {
    /// Adds a run. The digest depends on the order.
    pub(super) fn add(&mut self, plan: &RunPlan, report: Report) {
        self.runs += 1;
        self.steps += report.steps;
        self.add_counts(&report.counts);
        self.add_faults(plan);
        self.add_crowds(&report.crowd_attempts);
        self.digest = self
            .digest
            .rotate_left(7)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ report.digest;
        let accepted = report.after_faults.accepted as f64;
        let served = report.after_faults.served as f64;
        if served < RECOVERED_SERVED_RATIO * accepted {
            self.unrecovered.push(UnrecoveredRun {
                seed: report.seed,
                served_ratio: served / accepted,
            });
        }
        if !report.violations.is_empty() {
            self.runs_with_violations.push(report);
        }
    }

    fn add_counts(&mut self, counts: &Counts) {
        self.counts += *counts;
        self.fewest_requests = if self.runs == 1 {
            counts.accepted
        } else {
            self.fewest_requests.min(counts.accepted)
        };
    }

    fn add_faults(&mut self, plan: &RunPlan) {
        for (index, fault) in plan.faults.iter().enumerate() {
            *self.faults.entry(fault.kind).or_default() += 1;
            for other in &plan.faults[index + 1..] {
                let first = fault.kind.min(other.kind);
                let second = fault.kind.max(other.kind);
                if first != second && !FaultKind::RARE.contains(&second) {
                    self.pairs.insert((first, second));
                }
            }
        }
    }

    fn add_crowds(&mut self, crowd_attempts: &[u64]) {
        let crowd_count = self.crowd_attempts.len().max(crowd_attempts.len());
        self.crowd_attempts.resize_with(crowd_count, BTreeMap::new);
        for (runs, &attempts) in self.crowd_attempts.iter_mut().zip(crowd_attempts) {
            *runs.entry(attempts).or_default() += 1;
        }
    }

    fn write_counts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts {
            accepted,
            served,
            coalesced,
            rejected,
            failed,
            attempts,
            connections,
            disconnected_unsent,
            sent_after_disconnect,
        } = self.counts;
        writeln!(
            f,
            "requests  {accepted}: {served} served ({coalesced} with a shared answer), \
             {rejected} rejected, {failed} failed; {attempts} attempts on {connections} connections"
        )?;
        writeln!(
            f,
            "left      {disconnected_unsent} requests before their first attempt, \
             {sent_after_disconnect} of them sent over 0.3 s later"
        )
    }

    fn write_faults(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.faults.iter();
        let faults: Vec<String> = counts
            .map(|(kind, count)| format!("{} {count}", kind.name()))
            .collect();
        writeln!(f, "faults    {}", faults.join(", "))?;
        writeln!(
            f,
            "pairs     {} of {FAULT_PAIR_COUNT} met in a run",
            self.pairs.len()
        )
    }

    fn write_crowds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (runs, phase) in self.crowd_attempts.iter().zip(CROWD_PHASES) {
            let runs_with = |attempts| runs.get(&attempts).copied().unwrap_or(0);
            let most = runs.keys().next_back().copied().unwrap_or(0);
            writeln!(
                f,
                "crowds    of {CROWD_READ_COUNT} reads {phase}: {} had one attempt, {} two, \
                 {} none; at most {most}",
                runs_with(1),
                runs_with(2),
                runs_with(0)
            )?;
        }
        Ok(())
    }

    fn write_unrecovered(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unrecovered.is_empty() {
            return Ok(());
        }
        let shown = self.unrecovered.iter().take(SHOWN_UNRECOVERED_COUNT);
        let shown: Vec<String> = shown
            .map(|run| format!("{} ({:.0} %)", run.seed, run.served_ratio * 100.0))
            .collect();
        writeln!(
            f,
            "jammed    {} runs served under half of their requests after the faults: {}",
            self.unrecovered.len(),
            shown.join(", ")
        )
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "days      {}, at least {} requests each, {} steps on the wire",
            self.runs, self.fewest_requests, self.steps
        )?;
        self.write_counts(f)?;
        self.write_faults(f)?;
        self.write_crowds(f)?;
        self.write_unrecovered(f)?;
        writeln!(f, "digest    {:016x}", self.digest)?;
        let reports = self.runs_with_violations.iter();
        let violations: usize = reports.map(|report| report.violations.len()).sum();
        let runs = self.runs_with_violations.len();
        write!(f, "breaches  {violations} in {runs} runs")
    }
}
