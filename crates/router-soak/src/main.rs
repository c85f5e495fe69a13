//! Runs the soak test for a range of seeds. Prints one line per seed, the plan, the violations and
//! the router log of each run with violations, and a summary.

use router_soak::{SoakReport, soak};
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of concurrent runs.
const JOBS: usize = 4;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let Some((first, last)) = arguments.first().and_then(|range| parse_seeds(range)) else {
        eprintln!("usage: router-soak FIRST..LAST, an inclusive range of seeds");
        return ExitCode::from(2);
    };
    let next = AtomicU64::new(first);
    let reports = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..JOBS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed > last {
                        return;
                    }
                    let report = soak(seed);
                    print_report(&report);
                    reports.lock().expect("reports").push(report);
                }
            });
        }
    });
    let reports = reports.into_inner().expect("reports");
    print_summary(&reports);
    match reports.iter().all(|report| report.violations.is_empty()) {
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
    if report.violations.is_empty() {
        return;
    }
    println!("  {}", report.plan);
    for violation in &report.violations {
        let at_ms = violation.time / 1_000;
        println!("  {at_ms} ms: {}: {}", violation.rule, violation.text);
    }
    for line in &report.log {
        println!("  log: {line}");
    }
}

fn print_summary(reports: &[SoakReport]) {
    let sum = |count: fn(&SoakReport) -> u64| reports.iter().map(count).sum::<u64>();
    let mut breaches: BTreeMap<String, usize> = BTreeMap::new();
    for violation in reports.iter().flat_map(|report| &report.violations) {
        *breaches.entry(violation.rule.to_string()).or_default() += 1;
    }
    let memory = reports
        .iter()
        .map(|report| report.peak_memory_kb as f64 / 1024.0 / report.plan.memory_mb as f64);
    let descriptors = reports
        .iter()
        .map(|report| report.peak_descriptors as f64 / report.plan.descriptors as f64);
    println!(
        "{} runs: {} requests, {} final answers, {} served; peak use: {:.2} of the memory limit, {:.2} of the descriptor limit",
        reports.len(),
        sum(|report| report.requests),
        sum(|report| report.answers),
        sum(|report| report.served),
        memory.fold(0.0, f64::max),
        descriptors.fold(0.0, f64::max),
    );
    println!("breaches by rule: {breaches:?}");
    for report in reports
        .iter()
        .filter(|report| !report.violations.is_empty())
    {
        let seed = report.plan.seed;
        println!("again: tests/soak.sh {seed}..{seed}");
    }
}
