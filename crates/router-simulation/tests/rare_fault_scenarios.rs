//! Rare orders of events at an exact microsecond, with the real engine in between; and the bugs that only they show.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::invariant_checker::Rule;
use router_simulation::scenario::{Does, Scene};

/// A client that leaves while the connection for its request hangs, which comes up 200 ms later.
fn departure() -> Scene {
    let scene = Scene::new(1, 1);
    scene.delay_connects(0, 230 * MILLI);
    let (bytes, _) = scene.words(0, 1, 2 * SECOND);
    scene.client(vec![(SECOND, bytes)], Some(SECOND + 30 * MILLI));
    scene.run_until(3 * SECOND);
    scene
}

/// The same with a pipeline that is full, behind which the client's end stands.
fn departure_behind_commands() -> Scene {
    let scene = Scene::new(1, 1);
    scene.delay_connects(0, 230 * MILLI);
    let bytes: Vec<u8> = (0..80)
        .flat_map(|key| scene.words(0, key, 2 * SECOND).0)
        .collect();
    scene.client(vec![(SECOND, bytes)], Some(SECOND + 30 * MILLI));
    scene.run_until(3 * SECOND);
    scene
}

/// An agent's watch falls silent; the drain that it misses counts as told 6 s later, and a request comes after that.
fn silent_push() -> Scene {
    let scene = Scene::pushed(2, 1);
    scene.run_until(SECOND);
    scene.falls_silent(SECOND + 1);
    scene.run_until(SECOND + 10 * MILLI);
    scene.told_at(SECOND + 20 * MILLI, 0, "draining", 0);
    scene.judge().listed(SECOND + 20 * MILLI, 0, false, 0);
    scene.run_until(8 * SECOND - 100 * MILLI);
    for key in 0..20 {
        scene.ask_at(8 * SECOND + key * 50 * MILLI, 0, key, SECOND);
    }
    scene.run_until(10 * SECOND);
    assert_eq!(scene.all_seen(), 20, "each was sent");
    scene
}

/// A client that is never at rest asks once more long after SIGTERM, for longer than the process has.
fn owed_at_the_end() -> Scene {
    let scene = Scene::new(1, 1);
    scene.does(0, Does::Nothing);
    let (first, second) = (
        scene.words(3, 1, 2 * SECOND).0,
        scene.words(3, 2, 2 * SECOND).0,
    );
    scene.client(
        vec![(SECOND + 400 * MILLI, first), (3 * SECOND, second)],
        None,
    );
    scene.run_until(SECOND + 500 * MILLI);
    scene.terminate();
    // Longest deadline and 0.7 s.
    while scene.exec.now() < SECOND + 500 * MILLI + 2_700 * MILLI && !scene.has_ended() {
        scene.run_until(scene.exec.now() + MILLI);
    }
    assert!(scene.has_ended(), "before SIGKILL");
    scene.run_until(5 * SECOND);
    scene
}

/// The list names a new process of the server while an answer of the old one is under way; how many connections there were once the
/// next request was served.
fn old_connection() -> usize {
    let scene = Scene::new(1, 1);
    scene.does(0, Does::Serves(200 * MILLI));
    scene.ask_at(SECOND, 0, 1, 2 * SECOND);
    scene.told_at(SECOND + 100 * MILLI, 0, "up", scene.born_now());
    scene.run_until(SECOND + 400 * MILLI);
    scene.ask_at(SECOND + 500 * MILLI, 0, 1, 2 * SECOND);
    scene.run_until(3 * SECOND);
    assert_eq!(scene.seen(0).len(), 2);
    scene.streams(0)
}

/// Each kind of scene, and the rule that breaks with its bug.
type Kind = (fn() -> Scene, Rule);
const KINDS: [Kind; 4] = [
    (departure, Rule::Departed),
    (departure_behind_commands, Rule::Departed),
    (silent_push, Rule::Drains),
    (owed_at_the_end, Rule::Answered),
];

#[test]
fn rare_orders_break_no_rule() {
    for (play, _) in KINDS {
        let scene = play();
        assert!(scene.breaches().is_empty(), "{:?}", scene.breaches());
    }
}

#[test]
fn nothing_of_a_client_that_left_reaches_a_server_and_its_connection_is_kept() {
    let scene = departure();
    assert_eq!((scene.all_seen(), scene.streams(0)), (0, 1));
    assert_eq!(scene.engine.resource_usage().idle_upstream_connections, 1);
}

#[test]
fn a_connection_of_the_old_process_is_not_kept() {
    assert_eq!(old_connection(), 2);
}

/// Second answers as late as they were seen to come, at every moment at which the next request can be sent.
#[test]
fn a_late_second_answer_passes_for_no_other() {
    for later in [1, 3, 5, 6] {
        for step in 0..60 {
            let scene = Scene::new(1, step);
            scene.does(0, Does::ServesTwice(5 * MILLI, later * MILLI));
            scene.ask_at(SECOND, 0, 1, SECOND);
            let answered: Time = SECOND + 5 * MILLI;
            scene.ask_at(answered + step * 200, 0, 2, SECOND);
            scene.run_until(3 * SECOND);
            assert!(
                scene.breaches().is_empty(),
                "{later} ms late, step {step}: {:?}",
                scene.breaches()
            );
        }
    }
}

/// With the bugs built in each is caught.
#[cfg(feature = "mutations")]
#[test]
fn each_rare_bug_is_caught() {
    use router_runtime::mutation::{Mutation, activate};
    let bugs = [
        Mutation::SendsAfterDeparture,
        Mutation::OverlooksDepartures,
        Mutation::KeepsSilentPush,
        Mutation::DropsOwedAtTheEnd,
    ];
    for ((play, rule), bug) in KINDS.into_iter().zip(bugs) {
        activate(Some(bug));
        let scene = play();
        activate(None);
        let is_caught = scene.breaches().iter().any(|breach| breach.rule == rule);
        assert!(is_caught, "{bug:?}: {:?}", scene.breaches());
    }
    activate(Some(Mutation::KeepsOldConnections));
    let streams = old_connection();
    activate(None);
    assert_eq!(streams, 1, "the old one was used again");
}
