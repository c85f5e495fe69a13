//! A watch on the endpoint list falls silent while a cache server begins to drain. The router has
//! to apply the drain within 6 s of the silence, even if the calls that replace the watch fail.
//! Runs the router binary against fake peers on loopback sockets.

use std::thread;
use std::time::{Duration, Instant};
use test_support::*;

/// A change that a silent watch misses has to be applied within this time after the silence began.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(6);
/// `drain_grace` of the configuration, and a tolerance for delays on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// Time for which the draining server is observed after the limit.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);

/// Time from the start of the silence to late data on the watch, when the router has already
/// detected the silence.
const LATE_LINE_DELAY: Duration = Duration::from_millis(3_400);

/// Faults of the first calls during the silence, in this order.
#[derive(Clone, Copy, Debug)]
struct CallFaults {
    /// Number of calls that connect and are never answered.
    hanging: usize,
    /// Number of next calls that are answered with 503.
    failing: usize,
    /// Number of next calls that are truncated in the middle of the list.
    truncated: usize,
    /// The silent watch sends one late empty line.
    has_late_line: bool,
    /// A reload switches to another discovery service.
    switches_discovery: bool,
}

const NO_FAULTS: CallFaults = CallFaults {
    hanging: 0,
    failing: 0,
    truncated: 0,
    has_late_line: false,
    switches_discovery: false,
};

/// Runs a case, and returns how many commands the draining server received after the limit.
fn late_commands(mode: &str, faults: CallFaults) -> usize {
    let (draining, other) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let known = [draining.entry("up"), other.entry("up")];
    let discovery = Discovery::start(endpoint_list(8, true, &known));
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["discovery"] = mode.into();
    // The value of operators' settings. The backoff grows with it.
    config["settings"]["invariants"]["ask_within"] = 10.0.into();
    let router = RouterProcess::start(&config);
    wait_until("the router has opened a watch", || {
        !discovery.calls().is_empty()
    });
    discovery.write_to_watch(&format!("{}\n", endpoint_list(9, true, &known)));
    thread::sleep(Duration::from_millis(100));
    let silent_at = Instant::now();
    discovery.set_silent(true);
    discovery.hang_next_calls(faults.hanging);
    discovery.fail_next_calls(faults.failing);
    discovery.truncate_next_calls(faults.truncated);
    let drained_list = endpoint_list(10, true, &[draining.entry("draining"), other.entry("up")]);
    discovery.set_initial_list(drained_list.clone());
    let next_discovery = Discovery::start(drained_list);
    if faults.has_late_line {
        let discovery = discovery.clone();
        thread::spawn(move || {
            thread::sleep(LATE_LINE_DELAY);
            discovery.write_to_watch("\n");
        });
    }
    if faults.switches_discovery {
        thread::sleep(Duration::from_secs(2));
        discovery.hang_next_calls(usize::MAX);
        next_discovery.hang_next_calls(1);
        config["discovery"] = next_discovery.addr.to_string().into();
        router.reload(&config.to_string());
    }
    let mut client = router.client();
    let mut key = 0;
    let mut send_until = |end: Instant| {
        while Instant::now() < end {
            key += 1;
            client.request("read", &format!("{key:016x}"));
            thread::sleep(Duration::from_millis(5));
        }
    };
    send_until(silent_at + MAX_PROPAGATION_DELAY + DRAIN_GRACE);
    let count_before = draining.commands().len();
    assert!(
        count_before > 0,
        "{mode}, {faults:?}: the draining server was never used"
    );
    send_until(silent_at + MAX_PROPAGATION_DELAY + DRAIN_GRACE + OBSERVATION_TIME);
    draining.commands().len() - count_before
}

/// Runs the cases concurrently, and asserts that none has a command to the draining server after
/// the limit.
fn assert_none_late(mode: &'static str, cases: impl IntoIterator<Item = CallFaults>) {
    let runs: Vec<_> = cases
        .into_iter()
        .map(|faults| (faults, thread::spawn(move || late_commands(mode, faults))))
        .collect();
    let late = runs
        .into_iter()
        .map(|(faults, run)| (faults, run.join().expect("the thread of a case panicked")));
    let violations: Vec<_> = late.filter(|(_, count)| *count > 0).collect();
    assert!(violations.is_empty(), "{mode}: {violations:?}");
}

/// Returns cases with one and two calls that hang, fail or are truncated, and a mixed case.
fn faulty_calls() -> impl Iterator<Item = CallFaults> {
    let hanging = [1, 2].map(|hanging| CallFaults {
        hanging,
        ..NO_FAULTS
    });
    let failing = [1, 2].map(|failing| CallFaults {
        failing,
        ..NO_FAULTS
    });
    let truncated = [1, 2].map(|truncated| CallFaults {
        truncated,
        ..NO_FAULTS
    });
    let mixed = CallFaults {
        hanging: 1,
        failing: 1,
        truncated: 1,
        ..NO_FAULTS
    };
    [hanging, failing, truncated]
        .concat()
        .into_iter()
        .chain([mixed])
}

/// Returns a case in which the first call is answered, and one with a reload during the silence.
fn calls_without_faults() -> [CallFaults; 2] {
    let switched = CallFaults {
        switches_discovery: true,
        ..NO_FAULTS
    };
    [NO_FAULTS, switched]
}

/// Guards against calls that are made too late after a silence.
#[test]
fn a_drain_during_a_silent_watch_is_applied_in_time_when_subscribed() {
    assert_none_late("subscribe", calls_without_faults());
}

/// Guards against calls that wait for a hanging call to end.
#[test]
fn a_drain_during_a_silent_watch_is_applied_in_time_when_subscribed_and_calls_fail() {
    assert_none_late("subscribe", faulty_calls());
}

/// The same as the two tests above, with lists that an agent pushes.
#[test]
fn a_drain_during_a_silent_watch_is_applied_in_time_when_lists_are_pushed() {
    assert_none_late("automatic", faulty_calls().chain(calls_without_faults()));
}

/// Returns cases with these numbers of hanging calls, while late data arrives on the silent watch.
fn late_line_cases(hanging: [usize; 2]) -> [CallFaults; 2] {
    hanging.map(|hanging| CallFaults {
        hanging,
        has_late_line: true,
        ..NO_FAULTS
    })
}

/// Guards against a silent watch that is considered healthy again on late data, so that the calls
/// that replace it are cancelled.
#[test]
fn late_data_on_a_silent_watch_does_not_cancel_its_replacement_when_subscribed() {
    assert_none_late("subscribe", late_line_cases([1, 2]));
}

/// Late data on a silent watch, as in the test above, with lists that an agent pushes.
#[test]
fn late_data_on_a_silent_watch_does_not_cancel_its_replacement_when_lists_are_pushed() {
    assert_none_late("automatic", late_line_cases([8, 14]));
}
