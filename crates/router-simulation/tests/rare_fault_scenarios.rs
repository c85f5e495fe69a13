//! Rare orders of events at an exact microsecond, with the real runtime in between; and the mutations that only they show.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::invariant_checker::Rule;
use router_simulation::scenario::{Scenario, ServerBehavior};

/// A client that leaves while the connection for its request hangs, which comes up 200 ms later.
fn departure() -> Scenario {
    let scenario = Scenario::new(1, 1);
    scenario.delay_connects(0, 230 * MILLI);
    let bytes = scenario.encode_request(0, 1, 2 * SECOND).bytes;
    scenario.client(vec![(SECOND, bytes)], Some(SECOND + 30 * MILLI));
    scenario.run_until(3 * SECOND);
    scenario
}

/// The same with a pipeline that is full, behind which the client's end stands.
fn departure_behind_commands() -> Scenario {
    let scenario = Scenario::new(1, 1);
    scenario.delay_connects(0, 230 * MILLI);
    let bytes: Vec<u8> = (0..80)
        .flat_map(|key| scenario.encode_request(0, key, 2 * SECOND).bytes)
        .collect();
    scenario.client(vec![(SECOND, bytes)], Some(SECOND + 30 * MILLI));
    scenario.run_until(3 * SECOND);
    scenario
}

/// An agent's watch falls silent; the drain that it misses counts as told 6 s later, and a request comes after that.
fn silent_push() -> Scenario {
    let scenario = Scenario::with_push_discovery(2, 1);
    scenario.run_until(SECOND);
    scenario.silence_watches_at(SECOND + 1);
    scenario.run_until(SECOND + 10 * MILLI);
    scenario.announce_at(SECOND + 20 * MILLI, 0, "draining", 0);
    scenario
        .checker()
        .endpoint_announced(SECOND + 20 * MILLI, 0, false, 0);
    scenario.run_until(8 * SECOND - 100 * MILLI);
    for key in 0..20 {
        scenario.request_at(8 * SECOND + key * 50 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(10 * SECOND);
    assert_eq!(scenario.total_received_requests(), 20, "each was sent");
    scenario
}

/// An agent's watch is reset, and a server drains at once: the agent has it, with or without a watch.
fn lost_push() -> Scenario {
    let scenario = Scenario::with_push_discovery(2, 1);
    scenario.run_until(SECOND);
    scenario.reset_watches_at(SECOND);
    scenario.run_until(SECOND + 2 * MILLI);
    let drained_at = SECOND + 2 * MILLI;
    scenario.announce_at(drained_at, 0, "draining", 0);
    scenario
        .checker()
        .endpoint_announced(drained_at, 0, false, 0);
    for key in 0..100 {
        scenario.request_at(drained_at + key * 10 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(4 * SECOND);
    assert_eq!(scenario.total_received_requests(), 100, "each was sent");
    scenario
}

/// A client that is never at rest asks once more long after SIGTERM, for longer than the process has.
fn unanswered_at_shutdown() -> Scenario {
    let scenario = Scenario::new(1, 1);
    scenario.set_behavior(0, ServerBehavior::Ignore);
    let first = scenario.encode_request(3, 1, 2 * SECOND).bytes;
    let second = scenario.encode_request(3, 2, 2 * SECOND).bytes;
    scenario.client(
        vec![(SECOND + 400 * MILLI, first), (3 * SECOND, second)],
        None,
    );
    scenario.run_until(SECOND + 500 * MILLI);
    scenario.terminate();
    // Longest deadline and 0.7 s.
    while scenario.executor.now() < SECOND + 500 * MILLI + 2_700 * MILLI && !scenario.has_ended() {
        scenario.run_until(scenario.executor.now() + MILLI);
    }
    assert!(scenario.has_ended(), "before SIGKILL");
    scenario.run_until(5 * SECOND);
    scenario
}

/// The list names a new process of the server while an answer of the old one is under way; how many connections there were once the
/// next request was served.
fn connections_after_restart() -> usize {
    let scenario = Scenario::new(1, 1);
    scenario.set_behavior(0, ServerBehavior::Serve(200 * MILLI));
    scenario.request_at(SECOND, 0, 1, 2 * SECOND);
    scenario.announce_at(SECOND + 100 * MILLI, 0, "up", scenario.born_now());
    scenario.run_until(SECOND + 400 * MILLI);
    scenario.request_at(SECOND + 500 * MILLI, 0, 1, 2 * SECOND);
    scenario.run_until(3 * SECOND);
    assert_eq!(scenario.received_requests(0).len(), 2);
    scenario.accepted_connections(0)
}

/// Each kind of scenario, and the rule that breaks with its mutation.
type RareScenario = (fn() -> Scenario, Rule);
const SCENARIOS: [RareScenario; 5] = [
    (departure, Rule::ClientDisconnect),
    (departure_behind_commands, Rule::ClientDisconnect),
    (silent_push, Rule::Drains),
    (unanswered_at_shutdown, Rule::Answered),
    (lost_push, Rule::Drains),
];

#[test]
fn rare_orders_break_no_rule() {
    for (run_scenario, _) in SCENARIOS {
        let scenario = run_scenario();
        assert!(
            scenario.violations().is_empty(),
            "{:?}",
            scenario.violations()
        );
    }
}

#[test]
fn nothing_of_a_client_that_left_reaches_a_server_and_its_connection_is_kept() {
    let scenario = departure();
    assert_eq!(
        (
            scenario.total_received_requests(),
            scenario.accepted_connections(0)
        ),
        (0, 1)
    );
    assert_eq!(
        scenario.runtime.resource_usage().idle_upstream_connections,
        1
    );
}

#[test]
fn a_connection_of_the_old_process_is_not_kept() {
    assert_eq!(connections_after_restart(), 2);
}

/// Second answers as late as they were seen to come, at every moment at which the next request can be sent.
#[test]
fn a_late_second_answer_passes_for_no_other() {
    for later in [1, 3, 5, 6] {
        for step in 0..60 {
            let scenario = Scenario::new(1, step);
            scenario.set_behavior(0, ServerBehavior::ServeTwice(5 * MILLI, later * MILLI));
            scenario.request_at(SECOND, 0, 1, SECOND);
            let answered: Time = SECOND + 5 * MILLI;
            scenario.request_at(answered + step * 200, 0, 2, SECOND);
            scenario.run_until(3 * SECOND);
            assert!(
                scenario.violations().is_empty(),
                "{later} ms late, step {step}: {:?}",
                scenario.violations()
            );
        }
    }
}

/// With the mutations built in each is caught.
#[cfg(feature = "mutations")]
#[test]
fn each_rare_mutation_is_caught() {
    use router_runtime::mutation::{Mutation, activate};
    let mutations = [
        Mutation::SendsAfterDisconnect,
        Mutation::OverlooksDisconnects,
        Mutation::KeepsSilentPush,
        Mutation::DropsPendingAtShutdown,
        Mutation::PausesBeforeCalls,
    ];
    for ((run_scenario, rule), mutation) in SCENARIOS.into_iter().zip(mutations) {
        activate(Some(mutation));
        let scenario = run_scenario();
        activate(None);
        let is_caught = scenario
            .violations()
            .iter()
            .any(|violation| violation.rule == rule);
        assert!(is_caught, "{mutation:?}: {:?}", scenario.violations());
    }
    activate(Some(Mutation::KeepsOldConnections));
    let accepted_connections = connections_after_restart();
    activate(None);
    assert_eq!(accepted_connections, 1, "the old one was used again");
}
