//! Runs the soak test for a range of seeds. Prints one line per seed, the plan, the violations and
//! the router log of each run with violations, and a summary.

use router_soak::{SoakReport, soak};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of concurrent runs.
const CONCURRENT_RUNS: usize = 4;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((first, last)) = arguments.first().and_then(|range| parse_seeds(range)) else {
        eprintln!("usage: router-soak FIRST..LAST, an inclusive range of seeds");
        return ExitCode::from(2);
    };
    let next = AtomicU64::new(first);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..CONCURRENT_RUNS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > last {
                        return;
                    }
                    let report = soak(seed);
                    print_report(&report);
                    reports
                        .lock()
                        .expect("the report lock is not poisoned")
                        .push(report);
                }
            });
        }
    });
    let reports = reports
        .into_inner()
        .expect("the report lock is not poisoned");
    print_summary(&reports);
    match reports.iter().all(SoakReport::has_held) {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

/// Parses `FIRST..LAST`, an inclusive range of seeds.
fn parse_seeds(range: &str) -> Option<(u64, u64)> {
    let (first, last) = range.split_once("..")?;
    let seeds = (first.parse().ok()?, last.parse().ok()?);
    (seeds.0 <= seeds.1).then_some(seeds)
}

fn print_report(report: &SoakReport) {
    println!("{report}");
    if report.has_held() {
        return;
    }
    println!("  {}", report.plan);
    for failure in &report.rig_failures {
        println!("  not played as planned: {failure}");
    }
    for violation in &report.violations {
        let at_ms = violation.time / 1_000;
        println!("  {at_ms} ms: {}: {}", violation.rule, violation.text);
    }
    for line in &report.log {
        println!("  log: {line}");
    }
}

fn print_summary(reports: &[SoakReport]) {
    let total = |count: fn(&SoakReport) -> u64| reports.iter().map(count).sum::<u64>();
    let mut violations_by_rule: BTreeMap<String, usize> = BTreeMap::new();
    for violation in reports.iter().flat_map(|report| &report.violations) {
        *violations_by_rule
            .entry(violation.rule.to_string())
            .or_default() += 1;
    }
    let memory_ratios = reports
        .iter()
        .map(|report| report.peak_memory_kb as f64 / 1024.0 / report.plan.memory_mb as f64);
    let descriptor_ratios = reports
        .iter()
        .map(|report| report.peak_descriptors as f64 / report.plan.descriptors as f64);
    println!(
        "{} runs: {} requests, {} final answers, {} served; peak use: {:.2} of the memory limit, {:.2} of the descriptor limit",
        reports.len(),
        total(|report| report.requests),
        total(|report| report.answers),
        total(|report| report.served),
        memory_ratios.fold(0.0, f64::max),
        descriptor_ratios.fold(0.0, f64::max),
    );
    println!("breaches by rule: {violations_by_rule:?}");
    let not_played = reports
        .iter()
        .filter(|report| !report.rig_failures.is_empty());
    println!("runs not played as planned: {}", not_played.count());
    for report in reports.iter().filter(|report| !report.has_held()) {
        let seed = report.plan.seed;
        println!("again: tests/soak.sh {seed}..{seed}");
    }
}
