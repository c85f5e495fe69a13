//! Many days: over several threads, with a summary that does not depend on how many there are.

use crate::fault_plan::{CROWD, Kind, PAIRS, Plan};
use crate::invariant_checker::{Counts, Rule};
use crate::run::{Keep, Report, play};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// What many days came to.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    /// Days played.
    pub days: u64,
    /// Steps on the wire.
    pub steps: u64,
    /// What passed, all days together.
    pub counts: Counts,
    /// The fewest requests of a day.
    pub fewest: u64,
    /// How often each fault was drawn.
    pub faults: BTreeMap<Kind, u64>,
    /// Pairs of faults that met on a day.
    pub pairs: BTreeSet<(Kind, Kind)>,
    /// Of each crowd of a day: how many of them had so many attempts.
    pub crowds: Vec<BTreeMap<u64, u64>>,
    /// All days in one number: equal for equal runs.
    pub digest: u64,
    /// The days with a breach, in the order of their seeds.
    pub broken: Vec<Report>,
    /// Days on which under half of the requests were served once all was calm, and that share.
    pub jammed: Vec<(u64, f64)>,
}

/// A day on which fewer of the calm's requests were served is shown in the summary.
const JAMMED: f64 = 0.5;

impl Summary {
    fn add(&mut self, plan: &Plan, report: Report) {
        self.days += 1;
        self.steps += report.steps;
        let (all, day) = (&mut self.counts, report.counts);
        all.taken += day.taken;
        all.served += day.served;
        all.joined += day.joined;
        all.refused += day.refused;
        all.failed += day.failed;
        all.attempts += day.attempts;
        all.connections += day.connections;
        all.left_waiting += day.left_waiting;
        all.sent_for_nobody += day.sent_for_nobody;
        self.fewest = if self.days == 1 {
            day.taken
        } else {
            self.fewest.min(day.taken)
        };
        for (place, fault) in plan.faults.iter().enumerate() {
            *self.faults.entry(fault.kind).or_default() += 1;
            for other in &plan.faults[place + 1..] {
                let (a, b) = (fault.kind.min(other.kind), fault.kind.max(other.kind));
                if a != b && !Kind::RARE.contains(&b) {
                    self.pairs.insert((a, b));
                }
            }
        }
        self.digest = self
            .digest
            .rotate_left(7)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
            ^ report.digest;
        self.crowds
            .resize_with(self.crowds.len().max(report.crowds.len()), BTreeMap::new);
        for (of, &attempts) in self.crowds.iter_mut().zip(&report.crowds) {
            *of.entry(attempts).or_default() += 1;
        }
        let (taken, served) = report.calm;
        if (served as f64) < JAMMED * taken as f64 {
            self.jammed
                .push((report.seed, served as f64 / taken as f64));
        }
        if !report.breaches.is_empty() {
            self.broken.push(report);
        }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts {
            taken,
            served,
            joined,
            refused,
            failed,
            attempts,
            connections,
            ..
        } = self.counts;
        let Counts {
            left_waiting,
            sent_for_nobody,
            ..
        } = self.counts;
        writeln!(
            f,
            "days      {}, at least {} requests each, {} steps on the wire",
            self.days, self.fewest, self.steps
        )?;
        writeln!(
            f,
            "requests  {taken}: {served} served ({joined} with another's answer), {refused} refused, {failed} failed; {attempts} attempts on {connections} connections"
        )?;
        writeln!(
            f,
            "left      {left_waiting} requests before anything of them was sent, {sent_for_nobody} of them sent over 0.3 s later"
        )?;
        let faults: Vec<String> = self
            .faults
            .iter()
            .map(|(kind, count)| format!("{} {count}", kind.name()))
            .collect();
        writeln!(f, "faults    {}", faults.join(", "))?;
        writeln!(f, "pairs     {} of {PAIRS} met on a day", self.pairs.len())?;
        for (crowds, when) in
            self.crowds
                .iter()
                .zip(["while all is well", "in the faults", "in the calm"])
        {
            let of = |attempts| crowds.get(&attempts).copied().unwrap_or(0);
            let most = crowds.keys().next_back().copied().unwrap_or(0);
            writeln!(
                f,
                "crowds    of {CROWD} reads {when}: {} had one attempt, {} two, {} none; at most {most}",
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
        let breaches: usize = self.broken.iter().map(|report| report.breaches.len()).sum();
        write!(f, "breaches  {breaches} on {} days", self.broken.len())
    }
}

/// Days that are played but not yet counted, until those before them are.
#[derive(Default)]
struct Waiting {
    first: u64,
    days: BTreeMap<u64, (Plan, Report)>,
    summary: Summary,
}

/// How a day is drawn from its seed and the faults that may be in it.
pub type Draw = fn(u64, &[Kind]) -> Plan;

/// Plays the days of these seeds on so many threads. `played` is called after each.
pub fn run(
    draw: Draw,
    seeds: Range<u64>,
    only: &[Kind],
    jobs: usize,
    played: impl Fn() + Sync,
) -> Summary {
    let next = AtomicU64::new(seeds.start);
    let waiting = Mutex::new(Waiting {
        first: seeds.start,
        ..Waiting::default()
    });
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= seeds.end {
                        return;
                    }
                    let plan = draw(seed, only);
                    let report = play(&plan, Keep::CandidateVerdict);
                    let mut guard = waiting.lock().unwrap_or_else(PoisonError::into_inner);
                    let Waiting {
                        first,
                        days,
                        summary,
                    } = &mut *guard;
                    days.insert(seed, (plan, report));
                    while let Some((plan, report)) = days.remove(first) {
                        summary.add(&plan, report);
                        *first += 1;
                    }
                    drop(guard);
                    played();
                }
            });
        }
    });
    waiting
        .into_inner()
        .unwrap_or_else(PoisonError::into_inner)
        .summary
}

/// Reduces a day to the fewest faults and requests that still break this rule, by taking ever smaller parts out.
/// None if the day does not break it.
pub fn shrink(plan: &Plan, rule: Rule) -> Option<Plan> {
    let breaks = |plan: &Plan| {
        play(plan, Keep::CandidateVerdict)
            .breaches
            .iter()
            .any(|breach| breach.rule == rule)
    };
    if !breaks(plan) {
        return None;
    }
    let mut best = plan.clone();
    let mut place = 0;
    while place < best.faults.len() {
        let mut less = best.clone();
        less.faults.remove(place);
        if breaks(&less) {
            best = less;
        } else {
            place += 1;
        }
    }
    let mut place = 0;
    while place < best.bursts.len() {
        let mut less = best.clone();
        less.bursts.remove(place);
        if breaks(&less) {
            best = less;
        } else {
            place += 1;
        }
    }
    let mut size = best.asks.len().div_ceil(2);
    while size > 0 {
        let mut start = 0;
        while start < best.asks.len() {
            let mut less = best.clone();
            less.asks.drain(start..(start + size).min(best.asks.len()));
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
pub struct Caught {
    /// Its name.
    pub bug: String,
    /// The first seed that shows it, and the rule that it breaks; none if no seed did.
    pub by: Option<(u64, Rule, String)>,
}

/// Plants each bug and plays days until one breaks a rule, on so many threads; `None` where this build leaves the bugs
/// out. `played` is called after each bug.
#[cfg(feature = "mutations")]
pub fn mutants(seeds: Range<u64>, jobs: usize, played: impl Fn() + Sync) -> Option<Vec<Caught>> {
    use router_runtime::mutation::{Mutation, activate};
    let next = AtomicU64::new(0);
    let found: Mutex<BTreeMap<u64, Caught>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            scope.spawn(|| {
                loop {
                    let place = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&bug) = Mutation::ALL.get(place as usize) else {
                        return;
                    };
                    activate(Some(bug));
                    let draw: Draw = if bug.is_of_joining() {
                        Plan::draw_joining
                    } else {
                        Plan::draw
                    };
                    let by = seeds.clone().find_map(|seed| {
                        let report = play(&draw(seed, &[]), Keep::CandidateVerdict);
                        report
                            .breaches
                            .into_iter()
                            .next()
                            .map(|breach| (seed, breach.rule, breach.text))
                    });
                    activate(None);
                    let caught = Caught {
                        bug: format!("{bug:?}"),
                        by,
                    };
                    found
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .insert(place, caught);
                    played();
                }
            });
        }
    });
    let found = found.into_inner().unwrap_or_else(PoisonError::into_inner);
    Some(found.into_values().collect())
}

/// See above: this build leaves the bugs out.
#[cfg(not(feature = "mutations"))]
pub fn mutants(_seeds: Range<u64>, _jobs: usize, _played: impl Fn() + Sync) -> Option<Vec<Caught>> {
    None
}

/// Whether two plays of a seed and its plays on other threads agree; for tests.
pub fn is_repeatable(seed: u64, only: &[Kind]) -> bool {
    let plan = Plan::draw(seed, only);
    let first = play(&plan, Keep::CandidateVerdict).digest;
    let agrees = AtomicBool::new(true);
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                if play(&plan, Keep::Trace).digest != first {
                    agrees.store(false, Ordering::Relaxed);
                }
            });
        }
    });
    agrees.into_inner()
}
