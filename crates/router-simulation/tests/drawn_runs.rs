//! Drawn runs are reproducible to the step, keep the rules, and detect mutations.

use router_simulation::campaign;
use router_simulation::fault_plan::{FAULT_PAIR_COUNT, FaultKind, RunPlan};
use router_simulation::invariant_checker::Rule;
use router_simulation::run::{Recording, simulate};
use std::process::{Command, Output};

fn command(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_router-simulation"))
        .args(arguments)
        .output()
        .expect("the command runs")
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn line_of(output: &Output, name: &str) -> String {
    text(output)
        .lines()
        .find(|line| line.starts_with(name))
        .unwrap_or_default()
        .to_string()
}

#[test]
fn a_seed_gives_equal_runs_on_every_thread() {
    for seed in [0, 7, 101] {
        let plan = RunPlan::draw(seed, &[]);
        let first = simulate(&plan, Recording::Violations).digest;
        std::thread::scope(|scope| {
            for _ in 0..2 {
                scope.spawn(|| {
                    let digest = simulate(&plan, Recording::Trace).digest;
                    assert_eq!(digest, first, "seed {seed}");
                });
            }
        });
    }
}

#[test]
fn seeds_give_equal_runs_in_every_process_and_for_any_number_of_threads() {
    let runs: Vec<String> = ["1", "2", "3"]
        .iter()
        .map(|thread_count| {
            line_of(
                &command(&["run", "--seeds", "40..60", "--jobs", thread_count]),
                "digest",
            )
        })
        .collect();
    assert!(runs[0].len() > 16, "{}", runs[0]);
    assert!(runs.iter().all(|run| *run == runs[0]), "{runs:?}");
    assert_ne!(
        runs[0],
        line_of(&command(&["run", "--seeds", "41..61"]), "digest")
    );
}

#[test]
fn each_plan_has_enough_processes_and_overlapping_faults() {
    for seed in 0..200 {
        let plan = RunPlan::draw(seed, &[]);
        assert!(
            plan.routers.len() >= 3 && plan.servers.len() >= 8,
            "seed {seed}"
        );
        assert!(plan.faults.len() >= 3, "seed {seed}");
        let last_start = plan
            .faults
            .iter()
            .map(|fault| fault.at)
            .max()
            .expect("a fault");
        assert!(
            plan.faults
                .iter()
                .all(|fault| fault.at + fault.duration > last_start),
            "seed {seed}: not all faults overlap"
        );
    }
}

#[test]
fn each_pair_of_faults_occurs_in_as_many_seeds_as_there_are_pairs() {
    let mut met = std::collections::BTreeSet::new();
    for seed in 0..FAULT_PAIR_COUNT {
        let plan = RunPlan::draw(seed, &[]);
        let paired: Vec<FaultKind> = plan
            .faults
            .iter()
            .map(|fault| fault.kind)
            .filter(|kind| FaultKind::PAIRED.contains(kind))
            .collect();
        for a in &paired {
            met.extend(paired.iter().filter(|b| a < b).map(|b| (*a, *b)));
        }
    }
    assert_eq!(met.len() as u64, FAULT_PAIR_COUNT);
}

#[test]
fn only_allowed_faults_are_drawn() {
    let plan = RunPlan::draw(5, &[FaultKind::Unresponsive, FaultKind::ConnectsIgnored]);
    assert!(plan.faults.iter().all(|fault| matches!(
        fault.kind,
        FaultKind::Unresponsive | FaultKind::ConnectsIgnored
    )));
}

/// Seeds of runs that violated a rule: keyed requests were repeated after the deduplication window
/// because they waited for a connection (2231, 4567, 4587), and few routers with long requests
/// overloaded servers in slow start (99, 3197, 9509, 9927). The seeds give other runs if the
/// drawing changes; tests/scenarios.rs reproduces the former at an exact microsecond.
const REGRESSIONS: [u64; 7] = [99, 2231, 3197, 4567, 4587, 9509, 9927];

#[test]
fn runs_with_former_violations_have_none() {
    for seed in REGRESSIONS {
        let report = simulate(&RunPlan::draw(seed, &[]), Recording::Violations);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
    }
}

#[test]
fn crowds_share_answers_and_their_runs_are_reproducible() {
    for seed in [3, 107] {
        let plan = RunPlan::draw_coalescing(seed, &[]);
        assert!(plan.crowds.iter().all(|crowd| crowd.requests.len() == 500));
        let (first, again) = (
            simulate(&plan, Recording::Violations),
            simulate(&plan, Recording::Violations),
        );
        assert_eq!(first.digest, again.digest, "seed {seed}");
        assert!(
            first.violations.is_empty(),
            "seed {seed}: {:?}",
            first.violations
        );
        assert!(
            first.counts.coalesced > 500,
            "seed {seed}: {}",
            first.counts.coalesced
        );
    }
}

/// Seeds of runs with violations that the checker reported wrongly: the connection of a flight was
/// established late (566), an answer came without its load report (1080), a receive window was full
/// between two answers (2049).
#[test]
fn runs_with_crowds_and_former_violations_have_none() {
    for seed in [566, 1080, 2049] {
        let report = simulate(&RunPlan::draw_coalescing(seed, &[]), Recording::Violations);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations
        );
    }
}

#[test]
fn invalid_arguments_get_one_line_and_exit_code_2() {
    for arguments in [
        &["run", "--seeds", "9..3"][..],
        &["run", "--seeds", "much"],
        &["run", "--faults", "gremlins"],
        &["run", "--jobs", "-1"],
        &["replay", "first"],
        &["dance"],
        &[],
    ] {
        let output = command(arguments);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {message}");
        assert_eq!(message.lines().count(), 1, "{arguments:?}: {message}");
        assert!(message.starts_with("router-simulation: "), "{message}");
    }
}

#[test]
fn a_replay_shows_the_faults_the_steps_and_the_result() {
    let output = command(&["replay", "3", "--until", "5"]);
    assert_eq!(output.status.code(), Some(0));
    let output = text(&output);
    assert!(
        output.contains("fault 0: ") && output.contains("no breach"),
        "{output}"
    );
    assert_eq!(
        output
            .lines()
            .filter(|line| line.contains(" us conn "))
            .count(),
        5,
        "{output}"
    );
}

#[cfg(not(feature = "mutations"))]
#[test]
fn mutations_need_the_feature() {
    assert_eq!(command(&["mutants"]).status.code(), Some(2));
}

/// A run with a violation shrinks to a smaller one that still has it, and its replay has the same
/// digest.
#[cfg(feature = "mutations")]
#[test]
fn a_run_with_a_violation_shrinks_and_its_replay_is_equal() {
    use router_runtime::mutation::{Mutation, activate};
    activate(Some(Mutation::RetriesNotIdempotent));
    let failing = (0..200)
        .map(|seed| RunPlan::draw(seed, &[]))
        .find(|plan| {
            simulate(plan, Recording::Violations)
                .violations
                .iter()
                .any(|violation| violation.rule == Rule::Effects)
        })
        .expect("a run with the violation");
    let least = campaign::shrink(&failing, Rule::Effects).expect("the plan has the violation");
    let (first, again) = (
        simulate(&least, Recording::Violations),
        simulate(&least, Recording::Trace),
    );
    activate(None);
    assert!(
        least.requests.len() < failing.requests.len() / 10,
        "{} of {}",
        least.requests.len(),
        failing.requests.len()
    );
    assert!(least.faults.len() <= failing.faults.len());
    assert_eq!(first.digest, again.digest);
    assert!(
        again
            .violations
            .iter()
            .any(|violation| violation.rule == Rule::Effects && !violation.steps.is_empty())
    );
    assert!(
        simulate(&least, Recording::Violations)
            .violations
            .is_empty(),
        "no violation without the mutation"
    );
}

#[cfg(not(feature = "mutations"))]
#[test]
fn a_run_without_violations_does_not_shrink() {
    assert_eq!(
        campaign::shrink(&RunPlan::draw(3, &[]), Rule::Effects),
        None
    );
}

/// Guards against a memory leak: the timers of a run refer to its state, and have to be released at
/// its end.
#[test]
fn runs_release_their_memory() {
    let kilobytes = || -> usize {
        let status = std::fs::read_to_string("/proc/self/statm").expect("the process's memory");
        let pages: usize = status
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse().ok())
            .expect("resident pages");
        pages * 4
    };
    let simulate_runs = || {
        (0..40).for_each(|seed| drop(simulate(&RunPlan::draw(seed, &[]), Recording::Violations)))
    };
    simulate_runs();
    let before = kilobytes();
    simulate_runs();
    let grown = kilobytes().saturating_sub(before);
    // The state of one run takes at least 2 MB.
    assert!(grown < 40 * 1024, "{grown} KB more after 40 runs");
}
