//! Tests of the real router runtime with rare orders of events at exact microseconds, and of the
//! mutations that only these events reveal.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::invariant_checker::Rule;
use router_simulation::scenario::{Scenario, ServerBehavior};

/// A client disconnects while the connection for its request is being opened, which takes 200 ms
/// more.
fn client_disconnects_while_connecting() -> Scenario {
    let scenario = Scenario::new(1, 1);
    scenario.delay_connects(0, 230 * MILLI);
    let bytes = scenario.encode_request(0, 1, 2 * SECOND).bytes;
    scenario.start_client(vec![(SECOND, bytes)], Some(SECOND + 30 * MILLI));
    scenario.run_until(3 * SECOND);
    scenario
}

/// A client disconnects while the connection for its requests is being opened. Its pipeline is
/// full, so that the router has unread commands before the end of the stream.
fn client_disconnects_behind_full_pipeline() -> Scenario {
    let scenario = Scenario::new(1, 1);
    scenario.delay_connects(0, 230 * MILLI);
    let bytes: Vec<u8> = (0..80)
        .flat_map(|key| scenario.encode_request(0, key, 2 * SECOND).bytes)
        .collect();
    scenario.start_client(vec![(SECOND, bytes)], Some(SECOND + 30 * MILLI));
    scenario.run_until(3 * SECOND);
    scenario
}

/// An agent's watch stops sending and misses a drain. The router has to know of the drain 6 s
/// later, and requests arrive after that.
fn silent_push_watch() -> Scenario {
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
        scenario.send_request_at(8 * SECOND + key * 50 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(10 * SECOND);
    assert_eq!(
        scenario.total_received_requests(),
        20,
        "not each request was sent once"
    );
    scenario
}

/// An agent's watch is reset, and a server drains immediately afterwards. The agent knows of the
/// drain, whether or not the watch is open.
fn reset_push_watch() -> Scenario {
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
        scenario.send_request_at(drained_at + key * 10 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(4 * SECOND);
    assert_eq!(
        scenario.total_received_requests(),
        100,
        "not each request was sent once"
    );
    scenario
}

/// A client with a request in progress sends another one long after SIGTERM, with a timeout beyond
/// the end of the process.
fn request_during_shutdown() -> Scenario {
    let scenario = Scenario::new(1, 1);
    scenario.set_behavior(0, ServerBehavior::NeverReply);
    let first = scenario.encode_request(3, 1, 2 * SECOND).bytes;
    let second = scenario.encode_request(3, 2, 2 * SECOND).bytes;
    scenario.start_client(
        vec![(SECOND + 400 * MILLI, first), (3 * SECOND, second)],
        None,
    );
    scenario.run_until(SECOND + 500 * MILLI);
    scenario.terminate();
    // SIGKILL follows the longest deadline, 2 s, and 0.7 s after SIGTERM.
    while scenario.executor.now() < SECOND + 500 * MILLI + 2_700 * MILLI && !scenario.has_ended() {
        scenario.run_until(scenario.executor.now() + MILLI);
    }
    assert!(
        scenario.has_ended(),
        "the router did not end before SIGKILL"
    );
    scenario.run_until(5 * SECOND);
    scenario
}

/// Announces a new process of a server while a reply of the previous one is in transit. Returns how
/// many connections the server has accepted once the next request is served.
fn connections_after_restart() -> usize {
    let scenario = Scenario::new(1, 1);
    scenario.set_behavior(0, ServerBehavior::Serve(200 * MILLI));
    scenario.send_request_at(SECOND, 0, 1, 2 * SECOND);
    scenario.announce_at(SECOND + 100 * MILLI, 0, "up", scenario.unix_now_ms());
    scenario.run_until(SECOND + 400 * MILLI);
    scenario.send_request_at(SECOND + 500 * MILLI, 0, 1, 2 * SECOND);
    scenario.run_until(3 * SECOND);
    assert_eq!(scenario.received_requests(0).len(), 2);
    scenario.accepted_connections(0)
}

/// A scenario, and the rule that its mutation violates.
type RareScenario = (fn() -> Scenario, Rule);
const SCENARIOS: [RareScenario; 5] = [
    (client_disconnects_while_connecting, Rule::ClientDisconnect),
    (
        client_disconnects_behind_full_pipeline,
        Rule::ClientDisconnect,
    ),
    (silent_push_watch, Rule::Drains),
    (request_during_shutdown, Rule::Answered),
    (reset_push_watch, Rule::Drains),
];

#[test]
fn rare_event_orders_break_no_rule() {
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
fn requests_of_a_disconnected_client_are_not_sent_and_the_connection_is_kept() {
    let scenario = client_disconnects_while_connecting();
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
fn a_connection_to_the_previous_server_process_is_not_reused() {
    assert_eq!(connections_after_restart(), 2);
}

/// A server sends its reply again 1 to 6 ms later, which are delays that have occurred. The next
/// request is sent up to 12 ms after the first reply, in steps of 200 us.
#[test]
fn a_late_duplicate_reply_is_not_taken_for_the_next_one() {
    for delay_ms in [1, 3, 5, 6, 8, 10, 20, 50] {
        for step in 0..60 {
            let scenario = Scenario::new(1, step);
            scenario.set_behavior(0, ServerBehavior::ServeTwice(5 * MILLI, delay_ms * MILLI));
            scenario.send_request_at(SECOND, 0, 1, SECOND);
            let answered: Time = SECOND + 5 * MILLI;
            scenario.send_request_at(answered + step * 200, 0, 2, SECOND);
            scenario.run_until(3 * SECOND);
            assert!(
                scenario.violations().is_empty(),
                "{delay_ms} ms late, step {step}: {:?}",
                scenario.violations()
            );
        }
    }
}

/// Each mutation that only these scenarios reveal is caught.
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
    assert_eq!(
        accepted_connections, 1,
        "the mutation did not reuse the connection to the previous process"
    );
}
