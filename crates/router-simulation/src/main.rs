//! router-simulation: plays runs of overlapping faults on the virtual clock and judges them.
//!
//! Exit codes: 0 no violation, 1 a violation (or a mutation that was not caught), 2 a word on the command line that
//! cannot be used.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use router_simulation::campaign::{self, DrawPlan};
use router_simulation::fault_plan::{FaultKind, MILLI, RunPlan};
use router_simulation::invariant_checker::Violation;
use router_simulation::run::{Recording, simulate};
use std::ops::Range;
use std::process::ExitCode;
use std::time::Instant;

#[derive(Parser)]
#[command(
    name = "router-simulation",
    version,
    about = "Plays the router on a virtual clock against seeded faults and judges it"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play the runs of a range of seeds; a summary, and what broke.
    Run {
        /// The seeds, FIRST..END without END.
        #[arg(long, default_value = "0..1000", value_parser = range)]
        seeds: Range<u64>,
        /// Join identical reads, and let crowds ask for one key.
        #[arg(long = "joining")]
        coalescing: bool,
        /// Threads; all cores if left out.
        #[arg(long = "jobs")]
        thread_count: Option<usize>,
        /// Draw from these faults alone, their names set apart by commas; `list` shows the names.
        #[arg(long, value_delimiter = ',', value_parser = fault)]
        faults: Vec<FaultKind>,
    },
    /// Play one run again and show what broke, with the last steps that touched the request.
    Replay {
        /// The seed.
        seed: u64,
        /// Join identical reads, and let crowds ask for one key.
        #[arg(long = "joining")]
        coalescing: bool,
        /// Show the steps up to this one.
        #[arg(long)]
        until: Option<usize>,
        /// Show every step on the wire.
        #[arg(long)]
        trace: bool,
        /// As it was given to `run`.
        #[arg(long, value_delimiter = ',', value_parser = fault)]
        faults: Vec<FaultKind>,
        /// Keep only these faults of the run, by their places from 0, as `shrink` names them.
        #[arg(long, value_parser = numbers)]
        keep_faults: Option<Numbers>,
        /// Keep only these requests of the run, by their numbers; crowds aside.
        #[arg(long = "keep-asks", value_parser = numbers)]
        keep_requests: Option<Numbers>,
        /// Keep only these crowds of the run, by their places from 0.
        #[arg(long, value_parser = numbers)]
        keep_crowds: Option<Numbers>,
    },
    /// Reduce a failing run to the fewest faults and requests that still fail.
    Shrink {
        /// The seed.
        seed: u64,
        /// Join identical reads, and let crowds ask for one key.
        #[arg(long = "joining")]
        coalescing: bool,
        /// As it was given to `run`.
        #[arg(long, value_delimiter = ',', value_parser = fault)]
        faults: Vec<FaultKind>,
    },
    /// Activate each mutation in turn and see it caught; wants a build with `--features mutations`.
    Mutants {
        /// The seeds that may be played for each.
        #[arg(long, default_value = "0..500", value_parser = range)]
        seeds: Range<u64>,
        /// Threads; all cores if left out.
        #[arg(long = "jobs")]
        thread_count: Option<usize>,
    },
}

/// The longest range: weeks of simulation.
const MOST_SEEDS: u64 = 100_000_000;

fn range(text: &str) -> Result<Range<u64>, String> {
    let ends = text
        .split_once("..")
        .and_then(|(first, end)| Some((first.parse().ok()?, end.parse().ok()?)));
    match ends {
        Some((first, end)) if first < end && end - first <= MOST_SEEDS => Ok(first..end),
        _ => Err(format!(
            "seeds are FIRST..END with FIRST below END, at most {MOST_SEEDS} of them"
        )),
    }
}

/// Numbers set apart by commas; may be none.
#[derive(Clone)]
struct Numbers(Vec<usize>);

fn numbers(text: &str) -> Result<Numbers, String> {
    let numbers: Result<Vec<usize>, _> = text
        .split(',')
        .filter(|part| !part.is_empty())
        .map(str::parse)
        .collect();
    numbers.map(Numbers).map_err(|problem| problem.to_string())
}

fn fault(name: &str) -> Result<FaultKind, String> {
    let names = || FaultKind::ALL.map(FaultKind::name).join(", ");
    FaultKind::named(name).ok_or_else(|| format!("no fault of this name; there are {}", names()))
}

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if error.use_stderr() => {
            // The first line says what is wrong.
            let text = error.to_string();
            let text = text
                .lines()
                .map(str::trim)
                .take_while(|line| !line.is_empty())
                .collect::<Vec<_>>()
                .join(" ");
            eprintln!("router-simulation: {}", text.trim_start_matches("error: "));
            return ExitCode::from(2);
        }
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match cli.command {
        Command::Run {
            seeds,
            coalescing,
            thread_count,
            faults,
        } => run(draw(coalescing), seeds, thread_count, &faults),
        Command::Replay {
            seed,
            coalescing,
            until,
            trace,
            faults,
            keep_faults,
            keep_requests,
            keep_crowds,
        } => {
            let mut plan = draw(coalescing)(seed, &faults);
            retain_indices(&mut plan.faults, keep_faults);
            retain_indices(&mut plan.crowds, keep_crowds);
            if let Some(numbers) = keep_requests {
                plan.requests
                    .retain(|request| numbers.0.contains(&(request.number as usize)));
            }
            replay(&plan, until, trace)
        }
        Command::Shrink {
            seed,
            coalescing,
            faults,
        } => shrink(&draw(coalescing)(seed, &faults)),
        Command::Mutants {
            seeds,
            thread_count,
        } => mutants(seeds, thread_count),
    }
}

fn threads(thread_count: Option<usize>) -> usize {
    thread_count.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
}

fn bar(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {per_sec} {eta}");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn show(violation: &Violation, seed: u64) {
    let request = violation
        .request
        .map_or(String::new(), |id| format!(", request {id:016x}"));
    println!(
        "seed {seed}, {} us, step {}{request}: {}: {}",
        violation.time, violation.step, violation.rule, violation.text
    );
    violation
        .steps
        .iter()
        .for_each(|step| println!("    {step}"));
}

fn draw(coalescing: bool) -> DrawPlan {
    if coalescing {
        RunPlan::draw_coalescing
    } else {
        RunPlan::draw
    }
}

fn run(
    draw: DrawPlan,
    seeds: Range<u64>,
    thread_count: Option<usize>,
    faults: &[FaultKind],
) -> ExitCode {
    let (start, bar) = (Instant::now(), bar(seeds.end - seeds.start));
    let summary = campaign::run(draw, seeds, faults, threads(thread_count), || bar.inc(1));
    bar.finish_and_clear();
    println!("{summary}");
    println!(
        "time      {:.1} s on {} threads",
        start.elapsed().as_secs_f64(),
        threads(thread_count)
    );
    for report in summary.runs_with_violations.iter().take(20) {
        report
            .violations
            .iter()
            .take(1)
            .for_each(|violation| show(violation, report.seed));
    }
    if summary.runs_with_violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Keeps what is at these places, or all.
fn retain_indices<T>(all: &mut Vec<T>, indices: Option<Numbers>) {
    let Some(Numbers(indices)) = indices else {
        return;
    };
    let mut index = 0;
    all.retain(|_| {
        index += 1;
        indices.contains(&(index - 1))
    });
}

fn replay(plan: &RunPlan, until: Option<usize>, trace: bool) -> ExitCode {
    let report = simulate(plan, Recording::Trace);
    println!(
        "seed {}: {} routers, {} servers, {} requests asked, {} steps, digest {:016x}",
        plan.seed,
        plan.routers.len(),
        plan.servers.len(),
        plan.requests.len(),
        report.steps,
        report.digest
    );
    plan.faults
        .iter()
        .enumerate()
        .for_each(|(index, fault)| println!("fault {index}: {fault}"));
    if trace || until.is_some() {
        report
            .trace
            .iter()
            .take(until.unwrap_or(usize::MAX))
            .for_each(|step| println!("{step}"));
    }
    report
        .violations
        .iter()
        .for_each(|violation| show(violation, plan.seed));
    if report.violations.is_empty() {
        println!("no breach");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn shrink(plan: &RunPlan) -> ExitCode {
    let Some(first) = simulate(plan, Recording::Violations)
        .violations
        .into_iter()
        .next()
    else {
        println!("seed {}: no breach", plan.seed);
        return ExitCode::SUCCESS;
    };
    let Some(least) = campaign::shrink(plan, first.rule) else {
        return ExitCode::SUCCESS;
    };
    println!("seed {}: {}", plan.seed, first.rule);
    println!(
        "from {} faults and {} requests to {} and {}:",
        plan.faults.len(),
        plan.requests.len(),
        least.faults.len(),
        least.requests.len()
    );
    let indices: Vec<String> = plan
        .faults
        .iter()
        .enumerate()
        .filter(|(_, fault)| least.faults.contains(fault))
        .map(|(index, fault)| {
            println!("  fault {index}: {fault}");
            index.to_string()
        })
        .collect();
    for request in least.requests.iter().take(20) {
        println!(
            "  request {}: class {} at {} ms, router {}",
            request.number,
            request.class,
            request.at / MILLI,
            request.router
        );
    }
    let is_kept = |crowd| least.crowds.contains(crowd);
    let crowds: Vec<String> = (0..plan.crowds.len())
        .filter(|&index| is_kept(&plan.crowds[index]))
        .map(|index| index.to_string())
        .collect();
    let coalescing = if plan.coalescing {
        format!(" --joining --keep-crowds={}", crowds.join(","))
    } else {
        String::new()
    };
    let requests: Vec<String> = least
        .requests
        .iter()
        .map(|request| request.number.to_string())
        .collect();
    println!(
        "router-simulation replay {}{coalescing} --keep-faults={} --keep-asks={}",
        plan.seed,
        indices.join(","),
        requests.join(",")
    );
    ExitCode::FAILURE
}

fn mutants(seeds: Range<u64>, thread_count: Option<usize>) -> ExitCode {
    let start = Instant::now();
    let Some(all) = campaign::mutants(seeds, threads(thread_count), || ()) else {
        eprintln!(
            "router-simulation: this build leaves the mutations out; build it with --features mutations"
        );
        return ExitCode::from(2);
    };
    let mut missed = 0;
    for caught in &all {
        match &caught.violation {
            Some((seed, rule, text)) => {
                println!("{:<20} seed {seed:<4} {rule}: {text}", caught.mutation)
            }
            None => {
                missed += 1;
                println!("{:<20} NOT CAUGHT", caught.mutation);
            }
        }
    }
    println!(
        "{} mutations, {missed} not caught, {:.1} s",
        all.len(),
        start.elapsed().as_secs_f64()
    );
    if missed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
