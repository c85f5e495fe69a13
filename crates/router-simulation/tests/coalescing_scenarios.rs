//! Tests of coalescing in the real router runtime with events at exact microseconds. The invariant
//! checker observes each of them.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::scenario::{DEADLINE, LATENCY, ReceivedChunks, Scenario, ServerBehavior};

fn received_text(received: &ReceivedChunks) -> String {
    received
        .borrow()
        .iter()
        .map(|chunk| String::from_utf8_lossy(&chunk.bytes).into_owned())
        .collect()
}

fn served_count(received: &ReceivedChunks) -> usize {
    received_text(received).matches("@scene;").count()
}

fn rejected_count(received: &ReceivedChunks) -> usize {
    received_text(received).matches("-BUSY").count()
}

/// Sends 500 reads for one key over 50 connections, all of which arrive at the router's machine at
/// this time.
fn start_crowd(scenario: &Scenario, at: Time, key: u64, timeout: Time) -> Vec<ReceivedChunks> {
    let request = |_| {
        let bytes: Vec<u8> = (0..10)
            .flat_map(|_| scenario.encode_request(0, key, timeout).bytes)
            .collect();
        scenario.start_client(vec![(at - LATENCY, bytes)], None)
    };
    (0..50).map(request).collect()
}

fn total(received: &[ReceivedChunks], count: fn(&ReceivedChunks) -> usize) -> usize {
    received.iter().map(count).sum()
}

/// Asserts that no rule was violated and that the router holds no request, waiter or flight.
fn assert_clean_end(scenario: &Scenario) {
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:#?}",
        scenario.violations()
    );
    let usage = scenario.runtime.resource_usage();
    assert_eq!(
        (
            usage.unanswered_requests,
            usage.open_requests,
            usage.tracked_requests,
            usage.coalesced_waiters,
            usage.coalesced_flights
        ),
        (0, 0, 0, 0, 0),
        "{usage:?}"
    );
}

/// The owner of a key in a scenario with this many servers.
fn owner_of_key(servers: usize, key: u64) -> usize {
    let scenario = Scenario::new(servers, 1);
    scenario.send_request_at(SECOND, 0, key, SECOND);
    scenario.run_until(2 * SECOND);
    (0..servers)
        .find(|&server| !scenario.received_requests(server).is_empty())
        .expect("no server received the request")
}

#[test]
fn five_hundred_simultaneous_identical_reads_cause_one_upstream_request() {
    for seed in 0..5 {
        let scenario = Scenario::coalescing(3, seed);
        scenario.set_all_behaviors(&ServerBehavior::Serve(100 * MILLI));
        let received = start_crowd(&scenario, SECOND, 7, SECOND);
        scenario.run_until(3 * SECOND);
        assert_eq!(scenario.total_received_requests(), 1);
        assert_eq!(total(&received, served_count), 500);
        assert_clean_end(&scenario);
    }
}

#[test]
fn without_coalescing_identical_reads_cause_many_upstream_requests() {
    let scenario = Scenario::new(3, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(100 * MILLI));
    start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.run_until(3 * SECOND);
    assert!(
        scenario.total_received_requests() > 10,
        "{}",
        scenario.total_received_requests()
    );
}

#[test]
fn a_failed_flight_is_retried_once_for_all_waiters() {
    for behavior in [
        ServerBehavior::Reset(50 * MILLI),
        ServerBehavior::Reply(50 * MILLI, b"-BUSY\r\n"),
    ] {
        let scenario = Scenario::coalescing(3, 1);
        let owner = owner_of_key(3, 7);
        scenario.set_all_behaviors(&ServerBehavior::Serve(50 * MILLI));
        scenario.set_behavior(owner, behavior.clone());
        let received = start_crowd(&scenario, SECOND, 7, SECOND);
        scenario.run_until(3 * SECOND);
        assert_eq!(
            (
                scenario.received_requests(owner).len(),
                scenario.total_received_requests()
            ),
            (1, 2),
            "{behavior:?}"
        );
        assert_eq!(total(&received, served_count), 500, "{behavior:?}");
        assert_clean_end(&scenario);
    }
}

#[test]
fn waiters_rejected_by_all_servers_are_answered_at_once_with_different_retry_after() {
    let scenario = Scenario::coalescing(3, 1);
    scenario.set_all_behaviors(&ServerBehavior::Reply(10 * MILLI, b"-BUSY\r\n"));
    let received = start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.run_until(SECOND + 200 * MILLI);
    assert!(
        scenario.total_received_requests() <= 5,
        "{} attempts",
        scenario.total_received_requests()
    );
    assert_eq!(
        total(&received, rejected_count),
        500,
        "not all waiters were rejected well before their deadlines"
    );
    let output: String = received.iter().map(received_text).collect();
    let times: std::collections::BTreeSet<&str> = output.lines().collect();
    assert!(times.len() > 5, "{times:?}");
    assert_clean_end(&scenario);
}

#[test]
fn waiters_without_time_for_a_retry_are_rejected_when_the_first_attempt_fails() {
    let scenario = Scenario::coalescing(2, 1);
    let owner = owner_of_key(2, 7);
    scenario.set_all_behaviors(&ServerBehavior::Serve(300 * MILLI));
    scenario.set_behavior(owner, ServerBehavior::Reset(100 * MILLI));
    let long = scenario.send_request_at(SECOND, 0, 7, SECOND);
    // A retry needs a fifth of the latency objective, which is 100 ms.
    let short = scenario.send_request_at(SECOND + MILLI, 0, 7, 150 * MILLI);
    scenario.run_until(SECOND + 110 * MILLI);
    assert_eq!((rejected_count(&short), served_count(&long)), (1, 0));
    scenario.run_until(3 * SECOND);
    assert_eq!(served_count(&long), 1);
    assert_clean_end(&scenario);
}

#[test]
fn waiters_are_rejected_at_their_own_deadlines_and_the_latest_extends_the_flight() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(700 * MILLI));
    let first = scenario.send_request_at(SECOND, 0, 7, 300 * MILLI);
    let long = scenario.send_request_at(SECOND + 50 * MILLI, 0, 7, 1_500 * MILLI);
    let short = scenario.send_request_at(SECOND + 60 * MILLI, 0, 7, 100 * MILLI);
    scenario.run_until(4 * SECOND);
    assert_eq!(
        (
            rejected_count(&first),
            rejected_count(&short),
            served_count(&long)
        ),
        (1, 1, 1)
    );
    assert_eq!(
        first.borrow()[0].at,
        SECOND + 300 * MILLI + LATENCY,
        "the rejection was not sent at the deadline"
    );
    assert_eq!(short.borrow()[0].at, SECOND + 160 * MILLI + LATENCY);
    assert_eq!(
        scenario.total_received_requests(),
        1,
        "the flight was not served by its first attempt"
    );
    assert_clean_end(&scenario);
}

#[test]
fn a_flight_continues_without_its_first_client_and_is_cancelled_without_waiters() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(500 * MILLI));
    let bytes = scenario.encode_request(0, 7, SECOND).bytes;
    scenario.start_client(vec![(SECOND, bytes)], Some(SECOND + 100 * MILLI));
    let other = scenario.send_request_at(SECOND + 50 * MILLI, 0, 7, SECOND);
    scenario.run_until(3 * SECOND);
    assert_eq!(
        (served_count(&other), scenario.total_received_requests()),
        (1, 1)
    );
    let bytes = scenario.encode_request(0, 8, SECOND).bytes;
    let more = scenario.encode_request(0, 8, SECOND).bytes;
    scenario.start_client(vec![(4 * SECOND, bytes)], Some(4 * SECOND + 100 * MILLI));
    scenario.start_client(vec![(4 * SECOND, more)], Some(4 * SECOND + 200 * MILLI));
    scenario.run_until(4 * SECOND + 199 * MILLI);
    assert_eq!(scenario.runtime.resource_usage().coalesced_flights, 1);
    scenario.run_until(4 * SECOND + 210 * MILLI);
    assert_clean_end(&scenario);
    assert_eq!(
        scenario.runtime.resource_usage().idle_upstream_connections,
        0,
        "the connection of the cancelled flight was kept"
    );
}

#[test]
fn new_reads_during_a_hanging_flight_start_one_replacement_flight() {
    let scenario = Scenario::coalescing(2, 1);
    let owner = owner_of_key(2, 7);
    // The router learns the usual latency of 5 ms from other keys.
    for key in 100..180 {
        scenario.send_request_at(SECOND + key * 10 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(3 * SECOND);
    let before = scenario.total_received_requests();
    scenario.set_behavior(owner, ServerBehavior::NeverReply);
    let first = start_crowd(&scenario, 4 * SECOND, 7, DEADLINE);
    scenario.run_until(4 * SECOND + 40 * MILLI);
    assert_eq!(scenario.total_received_requests() - before, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(30 * MILLI));
    let second = start_crowd(&scenario, 4 * SECOND + 50 * MILLI, 7, DEADLINE);
    let third = start_crowd(&scenario, 4 * SECOND + 60 * MILLI, 7, DEADLINE);
    scenario.run_until(5 * SECOND);
    assert_eq!(
        scenario.total_received_requests() - before,
        2,
        "expected the hanging flight and one replacement flight"
    );
    assert_eq!(
        [&first, &second, &third].map(|received| total(received, served_count)),
        [500; 3],
        "not all waiters were served, including those of the hanging flight"
    );
    scenario.run_until(9 * SECOND);
    assert_clean_end(&scenario);
}

/// Sends a read, a write while the read is in flight, and two further reads: one during the write,
/// and one after the write's answer or timeout.
fn reads_around_a_write(write: ServerBehavior) -> Scenario {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(400 * MILLI));
    let before = scenario.send_request_at(SECOND, 0, 7, DEADLINE);
    scenario.run_until(SECOND + 10 * MILLI);
    scenario.set_all_behaviors(&write);
    scenario.send_request_at(SECOND + 50 * MILLI, 1, 7, 300 * MILLI);
    scenario.run_until(SECOND + 60 * MILLI);
    scenario.set_all_behaviors(&ServerBehavior::Serve(500 * MILLI));
    let during = scenario.send_request_at(SECOND + 70 * MILLI, 0, 7, DEADLINE);
    scenario.run_until(SECOND + 399 * MILLI);
    let after = scenario.send_request_at(SECOND + 400 * MILLI, 0, 7, DEADLINE);
    scenario.run_until(4 * SECOND);
    assert_eq!(
        (
            served_count(&before),
            served_count(&during),
            served_count(&after)
        ),
        (1, 1, 1)
    );
    assert_clean_end(&scenario);
    scenario
}

#[test]
fn a_read_after_a_write_does_not_join_an_earlier_flight() {
    // A write that is served, one that fails but may have been executed, and one that times out.
    for write in [
        ServerBehavior::Serve(100 * MILLI),
        ServerBehavior::Reply(100 * MILLI, b"-ERR failed\r\n"),
        ServerBehavior::NeverReply,
    ] {
        let scenario = reads_around_a_write(write.clone());
        let reads = scenario
            .received_requests(0)
            .iter()
            .filter(|received| !received.request.is_write)
            .count();
        assert_eq!(reads, 3, "{write:?}: a read joined an earlier flight");
    }
}

#[test]
fn a_write_to_another_key_does_not_close_a_flight() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(400 * MILLI));
    scenario.send_request_at(SECOND, 0, 7, DEADLINE);
    scenario.send_request_at(SECOND + 50 * MILLI, 1, 8, DEADLINE);
    scenario.send_request_at(SECOND + 70 * MILLI, 0, 7, DEADLINE);
    scenario.run_until(4 * SECOND);
    assert_eq!(scenario.total_received_requests(), 2);
    assert_clean_end(&scenario);
}

#[test]
fn writes_are_never_coalesced() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(50 * MILLI));
    for class in [1, 2, 3] {
        let before = scenario.total_received_requests();
        let at = SECOND * class as Time;
        let received: Vec<ReceivedChunks> = (0..3)
            .map(|_| scenario.send_request_at(at, class, 7, SECOND))
            .collect();
        scenario.run_until(at + 900 * MILLI);
        assert_eq!(
            (
                scenario.total_received_requests() - before,
                total(&received, served_count)
            ),
            (3, 3),
            "class {class}"
        );
    }
    assert_clean_end(&scenario);
}

#[test]
fn a_large_value_reaches_all_waiters_and_clients_that_do_not_read_block_nobody() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::ServeLarge(50 * MILLI, 65_536));
    // Each of these clients leaves ten answers of 64 KiB unread; its receive window holds one.
    for _ in 0..10 {
        let bytes: Vec<u8> = (0..10)
            .flat_map(|_| scenario.encode_request(0, 7, SECOND).bytes)
            .collect();
        scenario.start_non_reading_client(SECOND - LATENCY, bytes, 4 * SECOND);
    }
    let received = start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.run_until(SECOND + 100 * MILLI);
    assert_eq!(
        (
            scenario.total_received_requests(),
            total(&received, served_count)
        ),
        (1, 500)
    );
    scenario.run_until(6 * SECOND);
    assert_clean_end(&scenario);
}

#[test]
fn all_waiters_of_a_flight_are_answered_at_sigterm() {
    let scenario = Scenario::coalescing(2, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(500 * MILLI));
    let received = start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.run_until(SECOND + 20 * MILLI);
    scenario.terminate();
    scenario.run_until(SECOND + 20 * MILLI + DEADLINE + 700 * MILLI);
    assert!(scenario.has_ended());
    assert_eq!(
        (
            total(&received, served_count),
            scenario.total_received_requests()
        ),
        (500, 1)
    );
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:#?}",
        scenario.violations()
    );
}

#[test]
fn a_flight_continues_during_the_drain_of_its_server_and_new_reads_join_it() {
    let scenario = Scenario::coalescing(2, 1);
    let owner = owner_of_key(2, 7);
    scenario.set_all_behaviors(&ServerBehavior::Serve(500 * MILLI));
    let received = start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.announce_at(SECOND + 100 * MILLI, owner, "draining", 0);
    let late = start_crowd(&scenario, SECOND + 400 * MILLI, 7, SECOND);
    scenario.run_until(4 * SECOND);
    assert_eq!(
        (
            scenario.received_requests(owner).len(),
            scenario.total_received_requests()
        ),
        (1, 1)
    );
    assert_eq!(
        (total(&received, served_count), total(&late, served_count)),
        (500, 500)
    );
    assert_clean_end(&scenario);
}

#[test]
fn a_removed_server_that_resets_a_flight_causes_one_retry() {
    let scenario = Scenario::coalescing(2, 1);
    let owner = owner_of_key(2, 7);
    scenario.set_all_behaviors(&ServerBehavior::Serve(200 * MILLI));
    scenario.set_behavior(owner, ServerBehavior::Reset(300 * MILLI));
    let received = start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.announce_at(SECOND + 100 * MILLI, owner, "removed", 0);
    scenario.run_until(4 * SECOND);
    assert_eq!(
        (
            scenario.received_requests(owner).len(),
            scenario.total_received_requests(),
            total(&received, served_count)
        ),
        (1, 2, 500)
    );
    assert_clean_end(&scenario);
}

#[test]
fn a_list_that_moves_a_key_affects_only_later_flights() {
    let scenario = Scenario::coalescing(2, 1);
    let owner = owner_of_key(2, 7);
    // The owner is removed from the list before the first reads.
    scenario.announce_at(500 * MILLI, owner, "removed", 0);
    scenario.set_all_behaviors(&ServerBehavior::Serve(500 * MILLI));
    let received = start_crowd(&scenario, SECOND, 7, SECOND);
    scenario.announce_at(SECOND + 100 * MILLI, owner, "up", 1_000);
    scenario.run_until(SECOND + 400 * MILLI);
    assert_eq!(
        (
            scenario.received_requests(owner).len(),
            scenario.total_received_requests()
        ),
        (0, 1)
    );
    scenario.run_until(3 * SECOND);
    let next = start_crowd(&scenario, 4 * SECOND, 7, SECOND);
    scenario.run_until(6 * SECOND);
    assert_eq!(
        (
            scenario.received_requests(owner).len(),
            scenario.total_received_requests()
        ),
        (1, 2)
    );
    assert_eq!(
        (total(&received, served_count), total(&next, served_count)),
        (500, 500)
    );
    assert_clean_end(&scenario);
}

#[test]
fn a_client_can_wait_several_times_for_one_flight_on_one_or_two_connections() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(100 * MILLI));
    let first = scenario.encode_request(0, 7, SECOND).bytes;
    let second = scenario.encode_request(0, 7, SECOND).bytes;
    let received =
        scenario.start_client(vec![(SECOND, first), (SECOND + 10 * MILLI, second)], None);
    let other = scenario.send_request_at(SECOND + 20 * MILLI, 0, 7, SECOND);
    scenario.run_until(3 * SECOND);
    assert_eq!(
        (
            served_count(&received),
            served_count(&other),
            scenario.total_received_requests()
        ),
        (2, 1, 1)
    );
    assert_clean_end(&scenario);
}

#[test]
fn a_duplicate_request_id_is_rejected_while_the_first_request_waits() {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(100 * MILLI));
    let bytes = scenario.encode_request(0, 7, SECOND).bytes;
    let received = scenario.start_client(vec![(SECOND, bytes.clone())], None);
    let again = scenario.start_client(vec![(SECOND + 10 * MILLI, bytes)], None);
    scenario.run_until(3 * SECOND);
    assert_eq!(served_count(&received), 1);
    assert!(
        received_text(&again).starts_with("-ERR a request of this id is open"),
        "{}",
        received_text(&again)
    );
    assert_eq!(scenario.runtime.resource_usage().unanswered_requests, 0);
}

/// How many of 60 reads of the first tenant are sent at once after 150 reads of this tenant have
/// shared a flight.
fn requests_sent_after_crowd_of(tenant: usize) -> usize {
    let scenario = Scenario::coalescing(1, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(100 * MILLI));
    let received: Vec<ReceivedChunks> = (0..150)
        .map(|_| scenario.send_request_as_tenant(tenant, SECOND, 7, SECOND))
        .collect();
    scenario.run_until(3 * SECOND);
    assert_eq!(
        (
            scenario.total_received_requests(),
            total(&received, served_count)
        ),
        (1, 150)
    );
    scenario.set_all_behaviors(&ServerBehavior::NeverReply);
    (0..60).for_each(|key| _ = scenario.send_request_as_tenant(0, 4 * SECOND, 100 + key, SECOND));
    scenario.run_until(4 * SECOND + 50 * MILLI);
    scenario.total_received_requests() - 1
}

#[test]
fn each_waiter_counts_toward_its_own_tenant() {
    let (own, other) = (
        requests_sent_after_crowd_of(0),
        requests_sent_after_crowd_of(1),
    );
    assert!(
        0 < own && own < other,
        "{own} after a crowd of the same tenant, {other} after one of the other tenant"
    );
}
