//! router-simulation: simulates runs with overlapping faults on a virtual clock and checks them.
//!
//! Exit codes: 0 if there is no violation, 1 for a violation or a mutation that was not caught, 2
//! for an invalid argument.

mod arguments;

use arguments::{Indices, parse_fault, parse_indices, parse_seeds};
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use router_simulation::campaign::{self, DetectedViolation, DrawPlan, MutationResult};
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
    about = "Simulates the router on a virtual clock with seeded faults and checks its behavior"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate the runs of a range of seeds and print a summary and the violations.
    Run {
        /// The range of seeds, FIRST..END without END.
        #[arg(long, default_value = "0..1000", value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// The number of threads; one for each core by default.
        #[arg(long)]
        jobs: Option<usize>,
        #[command(flatten)]
        plan_options: PlanOptions,
    },
    /// Simulate one run and print its violations, each with the last steps of its request.
    Replay(ReplayOptions),
    /// Reduce a failing run to a small set of faults and requests that still fails.
    Shrink {
        /// The seed.
        seed: u64,
        #[command(flatten)]
        plan_options: PlanOptions,
    },
    /// Activate each mutation in turn and check that it is caught; needs a build with the feature
    /// `mutations`.
    Mutants {
        /// The range of seeds to simulate for each mutation, FIRST..END without END.
        #[arg(long, default_value = "0..500", value_parser = parse_seeds)]
        seeds: Range<u64>,
        /// The number of threads; one for each core by default.
        #[arg(long)]
        jobs: Option<usize>,
    },
}

/// How the plans of runs are drawn.
#[derive(Args)]
struct PlanOptions {
    /// Coalesce identical reads, and add crowds of clients that request the same key.
    #[arg(long = "joining")]
    coalescing: bool,
    /// Draw only these faults, given by name and separated by commas.
    #[arg(long, value_delimiter = ',', value_parser = parse_fault)]
    faults: Vec<FaultKind>,
}

impl PlanOptions {
    fn draw_plan(&self) -> DrawPlan {
        if self.coalescing {
            RunPlan::draw_coalescing
        } else {
            RunPlan::draw
        }
    }

    fn plan(&self, seed: u64) -> RunPlan {
        self.draw_plan()(seed, &self.faults)
    }
}

/// The arguments of `replay`.
#[derive(Args)]
struct ReplayOptions {
    /// The seed.
    seed: u64,
    /// Print the first steps of the run, up to this number.
    #[arg(long)]
    until: Option<usize>,
    /// Print every step on the wire.
    #[arg(long)]
    trace: bool,
    #[command(flatten)]
    plan_options: PlanOptions,
    /// Keep only the faults with these indices, counted from 0, as `shrink` prints them.
    #[arg(long, value_parser = parse_indices)]
    keep_faults: Option<Indices>,
    /// Keep only the requests with these numbers; the requests of crowds are not affected.
    #[arg(long = "keep-asks", value_parser = parse_indices)]
    keep_requests: Option<Indices>,
    /// Keep only the crowds with these indices, counted from 0.
    #[arg(long, value_parser = parse_indices)]
    keep_crowds: Option<Indices>,
}

impl ReplayOptions {
    /// The plan of the seed, reduced to the faults, crowds and requests to keep.
    fn plan(&self) -> RunPlan {
        let mut plan = self.plan_options.plan(self.seed);
        if let Some(selected) = &self.keep_faults {
            selected.retain(&mut plan.faults);
        }
        if let Some(selected) = &self.keep_crowds {
            selected.retain(&mut plan.crowds);
        }
        if let Some(selected) = &self.keep_requests {
            plan.requests
                .retain(|request| selected.contains(request.number as usize));
        }
        plan
    }
}

/// The most runs with violations that `run` prints.
const MAX_PRINTED_RUNS: usize = 20;
/// The most requests that `shrink` prints.
const MAX_PRINTED_REQUESTS: usize = 20;

fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) if error.use_stderr() => return report_usage_error(&error),
        Err(help) => {
            print!("{help}");
            return ExitCode::SUCCESS;
        }
    };
    match cli.command {
        Command::Run {
            seeds,
            jobs,
            plan_options,
        } => run(&plan_options, seeds, jobs),
        Command::Replay(arguments) => replay(&arguments),
        Command::Shrink { seed, plan_options } => shrink(&plan_options.plan(seed)),
        Command::Mutants { seeds, jobs } => mutants(seeds, jobs),
    }
}

/// Prints a usage error on one line.
fn report_usage_error(error: &clap::Error) -> ExitCode {
    let text = error.to_string();
    let paragraph: Vec<&str> = text
        .lines()
        .map(str::trim)
        .take_while(|line| !line.is_empty())
        .collect();
    let line = paragraph.join(" ");
    eprintln!("router-simulation: {}", line.trim_start_matches("error: "));
    ExitCode::from(2)
}

fn thread_count(jobs: Option<usize>) -> usize {
    jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
}

fn progress_bar(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {per_sec} {eta}");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn print_violation(violation: &Violation, seed: u64) {
    let request = violation
        .request
        .map_or(String::new(), |id| format!(", request {id:016x}"));
    println!(
        "seed {seed}, {} us, step {}{request}: {}: {}",
        violation.time, violation.step, violation.rule, violation.text
    );
    for step in &violation.steps {
        println!("    {step}");
    }
}

/// The exit code of a check: success if there is no violation.
fn exit_code(is_clean: bool) -> ExitCode {
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run(plan_options: &PlanOptions, seeds: Range<u64>, jobs: Option<usize>) -> ExitCode {
    let start = Instant::now();
    let bar = progress_bar(seeds.end - seeds.start);
    let threads = thread_count(jobs);
    let draw = plan_options.draw_plan();
    let summary = campaign::run(draw, seeds, &plan_options.faults, threads, || bar.inc(1));
    bar.finish_and_clear();
    println!("{summary}");
    let seconds = start.elapsed().as_secs_f64();
    println!("time      {seconds:.1} s on {threads} threads");
    for report in summary.runs_with_violations.iter().take(MAX_PRINTED_RUNS) {
        if let Some(first) = report.violations.first() {
            print_violation(first, report.seed);
        }
    }
    exit_code(summary.runs_with_violations.is_empty())
}

fn replay(arguments: &ReplayOptions) -> ExitCode {
    let plan = arguments.plan();
    let report = simulate(&plan, Recording::Trace);
    println!(
        "seed {}: {} routers, {} servers, {} planned requests, {} steps, digest {:016x}",
        plan.seed,
        plan.routers.len(),
        plan.servers.len(),
        plan.requests.len(),
        report.steps,
        report.digest
    );
    for (index, fault) in plan.faults.iter().enumerate() {
        println!("fault {index}: {fault}");
    }
    if arguments.trace || arguments.until.is_some() {
        let count = arguments.until.unwrap_or(usize::MAX);
        for step in report.trace.iter().take(count) {
            println!("{step}");
        }
    }
    for violation in &report.violations {
        print_violation(violation, plan.seed);
    }
    if report.violations.is_empty() {
        println!("no breach");
    }
    exit_code(report.violations.is_empty())
}

fn shrink(plan: &RunPlan) -> ExitCode {
    let report = simulate(plan, Recording::Violations);
    let Some(first) = report.violations.first() else {
        println!("seed {}: no breach", plan.seed);
        return ExitCode::SUCCESS;
    };
    let Some(reduced) = campaign::shrink(plan, first.rule) else {
        return ExitCode::SUCCESS;
    };
    println!("seed {}: {}", plan.seed, first.rule);
    println!(
        "from {} faults and {} requests to {} and {}:",
        plan.faults.len(),
        plan.requests.len(),
        reduced.faults.len(),
        reduced.requests.len()
    );
    print_plan(plan, &reduced);
    println!("{}", replay_command(plan, &reduced));
    ExitCode::FAILURE
}

/// Prints the faults and the first requests of a shrunk plan.
fn print_plan(plan: &RunPlan, reduced: &RunPlan) {
    for (index, fault) in plan.faults.iter().enumerate() {
        if reduced.faults.contains(fault) {
            println!("  fault {index}: {fault}");
        }
    }
    for request in reduced.requests.iter().take(MAX_PRINTED_REQUESTS) {
        println!(
            "  request {}: class {} at {} ms, router {}",
            request.number,
            request.class,
            request.at / MILLI,
            request.router
        );
    }
}

/// The command that replays a shrunk plan.
fn replay_command(plan: &RunPlan, reduced: &RunPlan) -> String {
    let coalescing = if plan.coalescing {
        let crowds = remaining_indices(&plan.crowds, &reduced.crowds);
        format!(" --joining --keep-crowds={crowds}")
    } else {
        String::new()
    };
    let faults = remaining_indices(&plan.faults, &reduced.faults);
    let requests = reduced.requests.iter();
    let requests: Vec<String> = requests.map(|request| request.number.to_string()).collect();
    format!(
        "router-simulation replay {}{coalescing} --keep-faults={faults} --keep-asks={}",
        plan.seed,
        requests.join(",")
    )
}

/// The comma-separated indices of the elements of a list that remain.
fn remaining_indices<T: PartialEq>(all: &[T], remaining: &[T]) -> String {
    let indices = (0..all.len()).filter(|&index| remaining.contains(&all[index]));
    let indices: Vec<String> = indices.map(|index| index.to_string()).collect();
    indices.join(",")
}

fn mutants(seeds: Range<u64>, jobs: Option<usize>) -> ExitCode {
    let start = Instant::now();
    let Some(results) = campaign::run_mutations(seeds, thread_count(jobs)) else {
        eprintln!(
            "router-simulation: mutations are not compiled in; build with --features mutations"
        );
        return ExitCode::from(2);
    };
    for MutationResult { mutation, detected } in &results {
        match detected {
            Some(DetectedViolation { seed, rule, text }) => {
                println!("{mutation:<20} seed {seed:<4} {rule}: {text}");
            }
            None => println!("{mutation:<20} NOT CAUGHT"),
        }
    }
    let is_missed = |result: &&MutationResult| result.detected.is_none();
    let missed = results.iter().filter(is_missed).count();
    let seconds = start.elapsed().as_secs_f64();
    println!(
        "{} mutations, {missed} not caught, {seconds:.1} s",
        results.len()
    );
    exit_code(missed == 0)
}
