//! A watch on the list falls silent while a cache server begins to drain: what it misses counts as told 6 s later, whatever
//! becomes of the calls that replace it. The real binary against stand-ins on loopback sockets.

use std::thread;
use std::time::{Duration, Instant};
use test_support::*;

/// What a silent watch misses counts as told this long after the silence began.
const TOLD_AFTER: Duration = Duration::from_secs(6);
/// `drain_grace` of the configuration, and the slack of time limits on sockets.
const DRAIN_GRACE: Duration = Duration::from_millis(250 + 50);
/// How long after that the server is watched.
const WATCHED_FOR: Duration = Duration::from_millis(700);

/// When late data comes on a silent watch: after it is known to be silent.
const LATE_LINE_AFTER: Duration = Duration::from_millis(3_400);

/// What becomes of the first calls in the silence.
#[derive(Clone, Copy, Debug)]
struct CallFaults {
    /// They connect, and are never answered.
    hanging: usize,
    /// The next ones are answered 503.
    failing: usize,
    /// The next ones are cut in the middle of the list.
    cut: usize,
    /// The silent watch brings one empty line after all.
    has_late_line: bool,
    /// A new configuration names another discovery.
    moves: bool,
}

const NO_FAULTS: CallFaults = CallFaults {
    hanging: 0,
    failing: 0,
    cut: 0,
    has_late_line: false,
    moves: false,
};

/// Draws out a silence, and gives the commands that the draining server got after its time.
fn late_commands(mode: &str, faults: CallFaults) -> usize {
    let (draining, other) = (CacheServer::start("s-a"), CacheServer::start("s-b"));
    let known = [draining.entry("up"), other.entry("up")];
    let discovery = Discovery::start(list(8, true, &known));
    let mut config = configuration(discovery.addr, &known);
    config["settings"]["discovery"] = mode.into();
    // As long as the operators' settings have it: the back-off grows with it.
    config["settings"]["invariants"]["ask_within"] = 10.0.into();
    let router = RouterProcess::start(&config);
    wait_until("the router watches", || !discovery.calls().is_empty());
    discovery.write_to_watch(&format!("{}\n", list(9, true, &known)));
    thread::sleep(Duration::from_millis(100));
    let silent_at = Instant::now();
    discovery.set_silent(true);
    discovery.hang_next_calls(faults.hanging);
    discovery.fail_next_calls(faults.failing);
    discovery.cut_next_calls(faults.cut);
    let drained = list(10, true, &[draining.entry("draining"), other.entry("up")]);
    discovery.set_initial_list(drained.clone());
    let next_discovery = Discovery::start(drained);
    if faults.has_late_line {
        let discovery = discovery.clone();
        thread::spawn(move || {
            thread::sleep(LATE_LINE_AFTER);
            discovery.write_to_watch("\n");
        });
    }
    if faults.moves {
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
    send_until(silent_at + TOLD_AFTER + DRAIN_GRACE);
    let allowed = draining.commands().len();
    assert!(allowed > 0, "{mode}, {faults:?}: it is used before");
    send_until(silent_at + TOLD_AFTER + DRAIN_GRACE + WATCHED_FOR);
    draining.commands().len() - allowed
}

/// Plays cases side by side.
fn assert_none_late(mode: &'static str, cases: impl IntoIterator<Item = CallFaults>) {
    let plays: Vec<_> = cases
        .into_iter()
        .map(|faults| (faults, thread::spawn(move || late_commands(mode, faults))))
        .collect();
    let late = plays
        .into_iter()
        .map(|(faults, play)| (faults, play.join().expect("played")));
    let broken: Vec<_> = late.filter(|(_, count)| *count > 0).collect();
    assert!(broken.is_empty(), "{mode}: {broken:?}");
}

/// One and two calls that hang, that fail, that are cut, and a mix.
fn faulty_calls() -> impl Iterator<Item = CallFaults> {
    let hanging = [1, 2].map(|hanging| CallFaults {
        hanging,
        ..NO_FAULTS
    });
    let failing = [1, 2].map(|failing| CallFaults {
        failing,
        ..NO_FAULTS
    });
    let cut = [1, 2].map(|cut| CallFaults { cut, ..NO_FAULTS });
    let mixed = CallFaults {
        hanging: 1,
        failing: 1,
        cut: 1,
        ..NO_FAULTS
    };
    [hanging, failing, cut].concat().into_iter().chain([mixed])
}

/// A call that is answered, and a new configuration in the silence.
fn calls_without_faults() -> [CallFaults; 2] {
    let moved = CallFaults {
        moves: true,
        ..NO_FAULTS
    };
    [NO_FAULTS, moved]
}

/// Guards against calls that come too late after a silence.
#[test]
fn a_drain_in_a_silence_is_known_in_time_where_discovery_is_asked() {
    assert_none_late("subscribe", calls_without_faults());
}

/// Guards against calls that wait behind one that hangs.
#[test]
fn a_drain_in_a_silence_is_known_in_time_where_discovery_is_asked_and_calls_fail() {
    assert_none_late("subscribe", faulty_calls());
}

/// The same where an agent pushes lists.
#[test]
fn a_drain_in_a_silence_is_known_in_time_where_lists_are_pushed() {
    assert_none_late("automatic", faulty_calls().chain(calls_without_faults()));
}

/// So many calls hang, while the silent watch brings late data.
fn late_data(hanging: [usize; 2]) -> [CallFaults; 2] {
    hanging.map(|hanging| CallFaults {
        hanging,
        has_late_line: true,
        ..NO_FAULTS
    })
}

/// Guards against a silent watch that counts as in service again when late data comes, and drops the calls to replace it.
#[test]
fn late_data_on_a_silent_watch_does_not_end_its_replacement_where_discovery_is_asked() {
    assert_none_late("subscribe", late_data([1, 2]));
}

/// The same where an agent pushes lists.
#[test]
fn late_data_on_a_silent_watch_does_not_end_its_replacement_where_lists_are_pushed() {
    assert_none_late("automatic", late_data([8, 14]));
}
