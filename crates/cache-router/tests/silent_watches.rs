//! A watch on the list falls silent while a cache server begins to drain: what it misses counts as told 6 s later, whatever
//! becomes of the calls that replace it. The real binary against stand-ins on loopback sockets.

use std::thread;
use std::time::{Duration, Instant};
use test_support::*;

/// What a silent watch misses counts as told this long after the silence began.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(6);
/// `drain_grace` of the configuration, and the slack of time limits on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// How long after that the server is watched.
const OBSERVATION_TIME: Duration = Duration::from_millis(700);

/// When late data comes on a silent watch: after it is known to be silent.
const LATE_LINE_DELAY: Duration = Duration::from_millis(3_400);

/// What becomes of the first calls in the silence.
#[derive(Clone, Copy, Debug)]
struct CallFaults {
    /// They connect, and are never answered.
    hanging: usize,
    /// The next ones are answered 503.
    failing: usize,
    /// The next ones are cut in the middle of the list.
    truncated: usize,
    /// The silent watch brings one empty line after all.
    has_late_line: bool,
    /// A new configuration names another discovery.
    switches_discovery: bool,
}

const NO_FAULTS: CallFaults = CallFaults {
    hanging: 0,
    failing: 0,
    truncated: 0,
    has_late_line: false,
    switches_discovery: false,
};

/// Draws out a silence, and gives the commands that the draining server got after its time.
fn late_commands(mode: &str, faults: CallFaults) -> usize {
    let (draining, other) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let known = [draining.entry("up"), other.entry("up")];
    let discovery = Discovery::start(endpoint_list(8, true, &known));
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["discovery"] = mode.into();
    // As long as the operators' settings have it: the back-off grows with it.
    config["settings"]["invariants"]["ask_within"] = 10.0.into();
    let router = RouterProcess::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
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
    assert!(count_before > 0, "{mode}, {faults:?}: it is used before");
    send_until(silent_at + MAX_PROPAGATION_DELAY + DRAIN_GRACE + OBSERVATION_TIME);
    draining.commands().len() - count_before
}

/// Plays cases side by side.
fn assert_none_late(mode: &'static str, cases: impl IntoIterator<Item = CallFaults>) {
    let runs: Vec<_> = cases
        .into_iter()
        .map(|faults| (faults, thread::spawn(move || late_commands(mode, faults))))
        .collect();
    let late = runs
        .into_iter()
        .map(|(faults, run)| (faults, run.join().expect("the case ran")));
    let violations: Vec<_> = late.filter(|(_, count)| *count > 0).collect();
    assert!(violations.is_empty(), "{mode}: {violations:?}");
}

/// One and two calls that hang, that fail, that are truncated, and a mix.
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

/// A call that is answered, and a new configuration in the silence.
fn calls_without_faults() -> [CallFaults; 2] {
    let switched = CallFaults {
        switches_discovery: true,
        ..NO_FAULTS
    };
    [NO_FAULTS, switched]
}

/// Guards against calls that come too late after a silence.
#[test]
fn a_drain_during_a_silent_watch_is_applied_in_time_when_subscribed() {
    assert_none_late("subscribe", calls_without_faults());
}

/// Guards against calls that wait behind one that hangs.
#[test]
fn a_drain_during_a_silent_watch_is_applied_in_time_when_subscribed_and_calls_fail() {
    assert_none_late("subscribe", faulty_calls());
}

/// The same where an agent pushes lists.
#[test]
fn a_drain_during_a_silent_watch_is_applied_in_time_when_lists_are_pushed() {
    assert_none_late("automatic", faulty_calls().chain(calls_without_faults()));
}

/// So many calls hang, while the silent watch brings late data.
fn late_line_cases(hanging: [usize; 2]) -> [CallFaults; 2] {
    hanging.map(|hanging| CallFaults {
        hanging,
        has_late_line: true,
        ..NO_FAULTS
    })
}

/// Guards against a silent watch that counts as in service again when late data comes, and drops the calls to replace it.
#[test]
fn late_data_on_a_silent_watch_does_not_cancel_its_replacement_when_subscribed() {
    assert_none_late("subscribe", late_line_cases([1, 2]));
}

/// The same where an agent pushes lists.
#[test]
fn late_data_on_a_silent_watch_does_not_cancel_its_replacement_when_lists_are_pushed() {
    assert_none_late("automatic", late_line_cases([8, 14]));
}
