//! System calls of the router that fail temporarily at an exact microsecond, with the errors that
//! Linux documents for them.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{FaultKind, MILLI, RunPlan, SECOND};
use router_simulation::network::SystemCall;
use router_simulation::run::{Recording, simulate};
use router_simulation::scenario::{LATENCY, ReceivedChunks, Scenario};

const DEADLINE: Time = 500 * MILLI;
/// How long a process accepts clients after SIGTERM.
const ACCEPTS_AFTER_STOP: Time = 550 * MILLI;

fn is_served(received: &ReceivedChunks) -> bool {
    let chunks = received.borrow();
    chunks.iter().any(|chunk| chunk.bytes.starts_with(b"*"))
}

/// Guards against a failed accept at the end of a process that resets the connections behind it in
/// the queue.
#[test]
fn a_failed_accept_after_sigterm_loses_no_connection_behind_it() {
    let errors = [
        libc::ECONNABORTED,
        libc::EINTR,
        libc::ENETUNREACH,
        libc::EHOSTUNREACH,
        libc::ETIMEDOUT,
        libc::ENFILE,
        libc::EMFILE,
        libc::ENOBUFS,
    ];
    for error in errors {
        let scenario = Scenario::new(1, 1);
        scenario.run_until(SECOND);
        scenario.terminate();
        let end = SECOND + ACCEPTS_AFTER_STOP;
        scenario.fail_system_calls(SystemCall::Accept, &[error, error, error]);
        // A client connects when it is created.
        let clients = [12, 8, 3].map(|before| {
            scenario.run_until(end - LATENCY - before * MILLI);
            scenario.send_request_at(end - before * MILLI + LATENCY, 0, before, DEADLINE)
        });
        scenario.run_until(end + SECOND);
        let served = clients.iter().filter(|client| is_served(client)).count();
        assert_eq!(served, clients.len(), "error {error}");
        assert!(scenario.violations().is_empty(), "error {error}");
    }
}

/// Guards against a failed accept that delays all clients although it concerns only one connection.
#[test]
fn an_aborted_connection_delays_no_other_client() {
    let scenario = Scenario::new(1, 1);
    scenario.run_until(SECOND);
    scenario.fail_system_calls(SystemCall::Accept, &[libc::ECONNABORTED; 20]);
    let received = scenario.send_request_at(SECOND + 2 * LATENCY, 0, 1, DEADLINE);
    scenario.run_until(SECOND + 60 * MILLI);
    assert!(is_served(&received));
}

/// Guards against errors of the router's machine that count against a cache server and use up the
/// attempts of a request.
#[test]
fn a_connect_that_fails_locally_is_retried_at_the_same_server() {
    let errors = [
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENOBUFS,
        libc::ENFILE,
        libc::EINTR,
    ];
    let scenario = Scenario::new(2, 1);
    scenario.run_until(SECOND);
    scenario.fail_system_calls(SystemCall::Connect, &errors);
    let received = scenario.send_request_at(SECOND + MILLI, 0, 1, DEADLINE);
    scenario.run_until(2 * SECOND);
    assert!(is_served(&received));
    let again = scenario.send_request_at(2 * SECOND + MILLI, 0, 1, DEADLINE);
    scenario.run_until(3 * SECOND);
    assert!(is_served(&again));
    let counts = [0, 1].map(|server| scenario.received_requests(server).len());
    assert!(
        counts.contains(&2),
        "both requests go to the owner of the key: {counts:?}"
    );
    assert!(scenario.violations().is_empty());
}

/// Guards against a request that is retried forever, or that gets no final answer, if no connect
/// succeeds.
#[test]
fn a_request_gets_its_final_answer_in_time_if_each_connect_fails() {
    let scenario = Scenario::new(2, 1);
    scenario.run_until(SECOND);
    scenario.fail_system_calls(SystemCall::Connect, &[libc::ENETUNREACH; 1_000]);
    let received = scenario.send_request_at(SECOND + MILLI, 0, 1, DEADLINE);
    scenario.run_until(SECOND + MILLI + DEADLINE + LATENCY);
    let chunks = received.borrow();
    assert!(chunks.iter().any(|chunk| chunk.bytes.starts_with(b"-")));
    assert!(scenario.violations().is_empty());
}

/// Guards against rules that hold only while system calls succeed: one in twenty fails, beside all
/// other faults.
#[test]
fn drawn_runs_with_failing_system_calls_have_no_violation() {
    for seed in 0..150 {
        let mut plan = RunPlan::draw(seed, &FaultKind::PAIRED);
        plan.failing_calls_ratio = 0.05;
        let report = simulate(&plan, Recording::Violations);
        assert!(
            report.violations.is_empty(),
            "seed {seed}: {:?}",
            report.violations.first()
        );
    }
}

/// Guards against a discovery call that fails on the router's machine and is delayed as if
/// discovery had failed.
#[test]
fn a_discovery_call_that_fails_locally_is_retried_at_once() {
    let scenario = Scenario::with_push_discovery(2, 1);
    scenario.run_until(SECOND);
    scenario.fail_system_calls(SystemCall::Connect, &[libc::EADDRNOTAVAIL; 12]);
    scenario.reset_watches_at(SECOND);
    scenario.run_until(SECOND + 2 * MILLI);
    let drained_at = SECOND + 2 * MILLI;
    scenario.announce_at(drained_at, 0, "draining", 0);
    let mut checker = scenario.checker();
    checker.endpoint_announced(drained_at, 0, false, 0);
    drop(checker);
    // Requests arrive after the drain grace, since earlier ones would use up the failing calls.
    for key in 26..100 {
        scenario.send_request_at(drained_at + key * 10 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(4 * SECOND);
    assert!(
        scenario.violations().is_empty(),
        "{:?}",
        scenario.violations().first()
    );
}
