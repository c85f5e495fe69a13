//! router-simulation: plays days of overlapping faults on the virtual clock and judges them.
//!
//! Exit codes: 0 no breach, 1 a breach (or a mutation that was not caught), 2 a word on the command line that
//! cannot be used.

use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use router_simulation::campaign::{self, Draw};
use router_simulation::fault_plan::{Kind, MILLI, Plan};
use router_simulation::invariant_checker::Breach;
use router_simulation::run::{Keep, play};
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
    /// Play the days of a range of seeds; a summary, and what broke.
    Run {
        /// The seeds, FIRST..END without END.
        #[arg(long, default_value = "0..1000", value_parser = range)]
        seeds: Range<u64>,
        /// Join identical reads, and let crowds ask for one key.
        #[arg(long)]
        joining: bool,
        /// Threads; all cores if left out.
        #[arg(long)]
        jobs: Option<usize>,
        /// Draw from these faults alone, their names set apart by commas; `list` shows the names.
        #[arg(long, value_delimiter = ',', value_parser = fault)]
        faults: Vec<Kind>,
    },
    /// Play one day again and show what broke, with the last steps that touched the request.
    Replay {
        /// The seed.
        seed: u64,
        /// Join identical reads, and let crowds ask for one key.
        #[arg(long)]
        joining: bool,
        /// Show the steps up to this one.
        #[arg(long)]
        until: Option<usize>,
        /// Show every step on the wire.
        #[arg(long)]
        trace: bool,
        /// As it was given to `run`.
        #[arg(long, value_delimiter = ',', value_parser = fault)]
        faults: Vec<Kind>,
        /// Keep only these faults of the day, by their places from 0, as `shrink` names them.
        #[arg(long, value_parser = numbers)]
        keep_faults: Option<Numbers>,
        /// Keep only these requests of the day, by their numbers; crowds aside.
        #[arg(long, value_parser = numbers)]
        keep_asks: Option<Numbers>,
        /// Keep only these crowds of the day, by their places from 0.
        #[arg(long, value_parser = numbers)]
        keep_crowds: Option<Numbers>,
    },
    /// Reduce a failing day to the fewest faults and requests that still fail.
    Shrink {
        /// The seed.
        seed: u64,
        /// Join identical reads, and let crowds ask for one key.
        #[arg(long)]
        joining: bool,
        /// As it was given to `run`.
        #[arg(long, value_delimiter = ',', value_parser = fault)]
        faults: Vec<Kind>,
    },
    /// Activate each mutation in turn and see it caught; wants a build with `--features mutations`.
    Mutants {
        /// The seeds that may be played for each.
        #[arg(long, default_value = "0..500", value_parser = range)]
        seeds: Range<u64>,
        /// Threads; all cores if left out.
        #[arg(long)]
        jobs: Option<usize>,
    },
}

/// The longest range: weeks of play.
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

fn fault(name: &str) -> Result<Kind, String> {
    let names = || Kind::ALL.map(Kind::name).join(", ");
    Kind::named(name).ok_or_else(|| format!("no fault of this name; there are {}", names()))
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
            joining,
            jobs,
            faults,
        } => run(draw(joining), seeds, jobs, &faults),
        Command::Replay {
            seed,
            joining,
            until,
            trace,
            faults,
            keep_faults,
            keep_asks,
            keep_crowds,
        } => {
            let mut plan = draw(joining)(seed, &faults);
            keep_at(&mut plan.faults, keep_faults);
            keep_at(&mut plan.bursts, keep_crowds);
            if let Some(numbers) = keep_asks {
                plan.asks
                    .retain(|ask| numbers.0.contains(&(ask.number as usize)));
            }
            replay(&plan, until, trace)
        }
        Command::Shrink {
            seed,
            joining,
            faults,
        } => shrink(&draw(joining)(seed, &faults)),
        Command::Mutants { seeds, jobs } => mutants(seeds, jobs),
    }
}

fn threads(jobs: Option<usize>) -> usize {
    jobs.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, usize::from))
}

fn bar(length: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {per_sec} {eta}");
    ProgressBar::new(length).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

fn show(breach: &Breach, seed: u64) {
    let request = breach
        .request
        .map_or(String::new(), |id| format!(", request {id:016x}"));
    println!(
        "seed {seed}, {} us, step {}{request}: {}: {}",
        breach.time, breach.step, breach.rule, breach.text
    );
    breach.steps.iter().for_each(|step| println!("    {step}"));
}

fn draw(joining: bool) -> Draw {
    if joining {
        Plan::draw_joining
    } else {
        Plan::draw
    }
}

fn run(draw: Draw, seeds: Range<u64>, jobs: Option<usize>, faults: &[Kind]) -> ExitCode {
    let (start, bar) = (Instant::now(), bar(seeds.end - seeds.start));
    let summary = campaign::run(draw, seeds, faults, threads(jobs), || bar.inc(1));
    bar.finish_and_clear();
    println!("{summary}");
    println!(
        "time      {:.1} s on {} threads",
        start.elapsed().as_secs_f64(),
        threads(jobs)
    );
    for report in summary.broken.iter().take(20) {
        report
            .breaches
            .iter()
            .take(1)
            .for_each(|breach| show(breach, report.seed));
    }
    if summary.broken.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Keeps what is at these places, or all.
fn keep_at<T>(all: &mut Vec<T>, places: Option<Numbers>) {
    let Some(Numbers(places)) = places else {
        return;
    };
    let mut place = 0;
    all.retain(|_| {
        place += 1;
        places.contains(&(place - 1))
    });
}

fn replay(plan: &Plan, until: Option<usize>, trace: bool) -> ExitCode {
    let report = play(plan, Keep::Trace);
    println!(
        "seed {}: {} routers, {} servers, {} requests asked, {} steps, digest {:016x}",
        plan.seed,
        plan.routers.len(),
        plan.servers.len(),
        plan.asks.len(),
        report.steps,
        report.digest
    );
    plan.faults
        .iter()
        .enumerate()
        .for_each(|(place, fault)| println!("fault {place}: {fault}"));
    if trace || until.is_some() {
        report
            .trace
            .iter()
            .take(until.unwrap_or(usize::MAX))
            .for_each(|step| println!("{step}"));
    }
    report
        .breaches
        .iter()
        .for_each(|breach| show(breach, plan.seed));
    if report.breaches.is_empty() {
        println!("no breach");
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn shrink(plan: &Plan) -> ExitCode {
    let Some(first) = play(plan, Keep::CandidateVerdict)
        .breaches
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
        plan.asks.len(),
        least.faults.len(),
        least.asks.len()
    );
    let places: Vec<String> = plan
        .faults
        .iter()
        .enumerate()
        .filter(|(_, fault)| least.faults.contains(fault))
        .map(|(place, fault)| {
            println!("  fault {place}: {fault}");
            place.to_string()
        })
        .collect();
    for ask in least.asks.iter().take(20) {
        println!(
            "  request {}: class {} at {} ms, router {}",
            ask.number,
            ask.class,
            ask.at / MILLI,
            ask.router
        );
    }
    let kept = |burst| least.bursts.contains(burst);
    let crowds: Vec<String> = (0..plan.bursts.len())
        .filter(|&place| kept(&plan.bursts[place]))
        .map(|place| place.to_string())
        .collect();
    let joining = if plan.joining {
        format!(" --joining --keep-crowds={}", crowds.join(","))
    } else {
        String::new()
    };
    let asks: Vec<String> = least
        .asks
        .iter()
        .map(|ask| ask.number.to_string())
        .collect();
    println!(
        "router-simulation replay {}{joining} --keep-faults={} --keep-asks={}",
        plan.seed,
        places.join(","),
        asks.join(",")
    );
    ExitCode::FAILURE
}

fn mutants(seeds: Range<u64>, jobs: Option<usize>) -> ExitCode {
    let start = Instant::now();
    let Some(all) = campaign::mutants(seeds, threads(jobs), || ()) else {
        eprintln!(
            "router-simulation: this build leaves the mutations out; build it with --features mutations"
        );
        return ExitCode::from(2);
    };
    let mut missed = 0;
    for caught in &all {
        match &caught.by {
            Some((seed, rule, text)) => {
                println!("{:<20} seed {seed:<4} {rule}: {text}", caught.bug)
            }
            None => {
                missed += 1;
                println!("{:<20} NOT CAUGHT", caught.bug);
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
