//! Single events at an exact microsecond, with the real runtime in between.

use router_simulation::executor::Time;
use router_simulation::fault_plan::{MILLI, SECOND};
use router_simulation::scenario::{
    DEADLINE, DEDUPLICATION_WINDOW, LATENCY, ReceivedChunks, Scenario, ServerBehavior,
};

/// A key that a scenario's router sends to its first server: the ring is the same at every start.
fn key_owned_by(server: usize) -> u64 {
    let scenario = Scenario::new(2, 1);
    (1..100)
        .find(|&key| {
            let before = scenario.received_requests(server).len();
            scenario.request_at(scenario.executor.now() + MILLI, 0, key, 200 * MILLI);
            scenario.run_until(scenario.executor.now() + 100 * MILLI);
            scenario.received_requests(server).len() > before
        })
        .expect("each server owns a part of the ring")
}

fn received_text(received: &ReceivedChunks) -> String {
    received
        .borrow()
        .iter()
        .map(|chunk| String::from_utf8_lossy(&chunk.bytes).into_owned())
        .collect()
}

#[test]
fn a_reply_after_the_deadline_is_discarded() {
    let scenario = Scenario::new(1, 1);
    scenario.set_behavior(0, ServerBehavior::Serve(300 * MILLI));
    let received = scenario.request_at(SECOND, 0, 1, 200 * MILLI);
    scenario.run_until(4 * SECOND);
    assert_eq!(scenario.received_requests(0).len(), 1);
    let output = received_text(&received);
    assert!(
        output.starts_with('-') && output.matches("\r\n").count() == 1,
        "one answer, no value: {output}"
    );
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:?}",
        scenario.violations()
    );
    assert_eq!(scenario.runtime.resource_usage().open_requests, 0);
}

/// The answer and the deadline in one microsecond; which is first is drawn. Both have to happen over some seeds, and
/// either way there is one answer.
#[test]
fn a_reply_and_the_deadline_at_the_same_time_occur_in_both_orders() {
    let (mut served, mut rejected) = (0, 0);
    for seed in 0..40 {
        let scenario = Scenario::new(1, seed);
        // The first request opens the connection.
        scenario.set_behavior(0, ServerBehavior::Serve(MILLI));
        scenario.request_at(SECOND, 0, 1, 200 * MILLI);
        scenario.run_until(SECOND + 100 * MILLI);
        let round_trip = 2 * LATENCY;
        scenario.set_behavior(0, ServerBehavior::Serve(200 * MILLI - round_trip));
        let received = scenario.request_at(2 * SECOND, 0, 1, 200 * MILLI);
        scenario.run_until(4 * SECOND);
        let output = received_text(&received);
        assert_eq!(received.borrow().len(), 1, "one answer: {output}");
        assert_eq!(
            received.borrow()[0].at,
            2 * SECOND + 200 * MILLI + LATENCY,
            "at the very instant"
        );
        *(if output.starts_with('*') {
            &mut served
        } else {
            &mut rejected
        }) += 1;
        assert_eq!(
            scenario.violations().len(),
            0,
            "{:?}",
            scenario.violations()
        );
    }
    assert!(
        served > 0 && rejected > 0,
        "served {served}, refused {rejected}"
    );
}

/// News of a server at one time, a request for one of its keys around the mark 250 ms later.
fn request_250_ms_after_change(health: &str, offset: i64) -> (usize, usize) {
    let key = key_owned_by(0);
    let scenario = Scenario::new(2, 1);
    let before = scenario.received_requests(0).len();
    scenario.announce_at(
        SECOND,
        0,
        health,
        if health == "up" { 1_700_000_001_000 } else { 0 },
    );
    let at = (SECOND + 250 * MILLI)
        .checked_add_signed(offset)
        .expect("a time");
    let received = scenario.request_at(at, 0, key, SECOND);
    scenario.run_until(4 * SECOND);
    assert!(
        received_text(&received).starts_with('*'),
        "served by one or the other: {}",
        received_text(&received)
    );
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:?}",
        scenario.violations()
    );
    (
        scenario.received_requests(0).len() - before,
        scenario.received_requests(1).len(),
    )
}

#[test]
fn no_request_reaches_a_server_250_ms_after_its_drain_or_removal() {
    for health in ["draining", "removed"] {
        for offset in [-1, 0, 1] {
            assert_eq!(
                request_250_ms_after_change(health, offset),
                (0, 1),
                "{health} {offset}"
            );
        }
    }
}

#[test]
fn a_request_250_ms_after_a_restart_is_served_once() {
    for offset in [-1, 0, 1] {
        let (on_server, elsewhere) = request_250_ms_after_change("up", offset);
        assert_eq!(on_server + elsewhere, 1, "{offset}");
    }
}

/// The drain is told in the same microsecond in which the request comes, in a drawn order.
#[test]
fn a_drain_and_a_request_at_the_same_time_break_no_rule_in_either_order() {
    let key = key_owned_by(0);
    let mut on_server = 0;
    for seed in 0..30 {
        let scenario = Scenario::new(2, seed);
        scenario.announce_at(SECOND, 0, "draining", 0);
        let received = scenario.request_at(SECOND, 0, key, SECOND);
        scenario.run_until(4 * SECOND);
        assert!(
            received_text(&received).starts_with('*'),
            "{}",
            received_text(&received)
        );
        on_server += scenario.received_requests(0).len();
        assert_eq!(
            scenario.violations().len(),
            0,
            "{:?}",
            scenario.violations()
        );
    }
    assert!(on_server < 30, "{on_server}");
}

/// The bytes of a request as a scenario's router writes it to a server.
fn encoded_length(class: usize, timeout: Time) -> usize {
    let scenario = Scenario::new(1, 1);
    let bytes = scenario.encode_request(class, 1, timeout).bytes;
    bytes.len()
}

/// A connection that breaks so many bytes before or after the request's last one; how often servers had it whole, and
/// what the client was told.
fn break_connection(class: usize, missing_bytes: usize) -> (usize, String) {
    let timeout = 900 * MILLI;
    let key = key_owned_by(0);
    let scenario = Scenario::new(2, 1);
    // On the wire to the server the wait is a little shorter, and as many digits long.
    let request_length = encoded_length(class, timeout);
    scenario.set_behavior(0, ServerBehavior::NeverRead(50 * MILLI));
    scenario.set_receive_window(0, request_length - missing_bytes);
    let received = scenario.request_at(SECOND, class, key, timeout);
    scenario.run_until(4 * SECOND);
    assert_eq!(
        scenario.violations().len(),
        0,
        "class {class}, {missing_bytes} short: {:?}",
        scenario.violations()
    );
    (
        scenario.received_requests(1).len(),
        received_text(&received),
    )
}

#[test]
fn a_request_cut_one_byte_short_is_retried_on_another_server() {
    for class in [0, 1, 2, 3] {
        let (elsewhere, output) = break_connection(class, 1);
        assert!(
            elsewhere == 1 && output.starts_with('*'),
            "class {class} is served elsewhere: {output}"
        );
    }
}

#[test]
fn a_request_cut_after_its_last_byte_is_retried_according_to_its_effect() {
    let (elsewhere, output) = break_connection(0, 0);
    assert!(
        elsewhere == 1 && output.starts_with('*'),
        "a safe one is repeated: {output}"
    );
    let (elsewhere, output) = break_connection(1, 0);
    assert!(
        elsewhere == 1 && output.starts_with('*'),
        "a keyed one is repeated within its group: {output}"
    );
    let (elsewhere, output) = break_connection(2, 0);
    assert!(
        elsewhere == 0 && output.starts_with("-ERR"),
        "its group has no other server: {output}"
    );
    let (elsewhere, output) = break_connection(3, 0);
    assert!(
        elsewhere == 0 && output.starts_with("-ERR"),
        "an unsafe one fails: {output}"
    );
}

/// A keyed request fails so long after it was sent; the repeat would go out at once.
fn retries_after(failure_delay: Time) -> usize {
    let key = key_owned_by(0);
    let scenario = Scenario::new(2, 1);
    // Both connections are there already, so that nothing waits.
    for key in 1..20 {
        scenario.request_at(500 * MILLI + key * 10 * MILLI, 0, key, SECOND);
    }
    scenario.run_until(900 * MILLI);
    let before = scenario.received_requests(1).len();
    scenario.set_behavior(0, ServerBehavior::Reset(failure_delay - 2 * LATENCY));
    scenario.request_at(SECOND, 1, key, DEADLINE);
    scenario.run_until(4 * SECOND);
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:?}",
        scenario.violations()
    );
    scenario.received_requests(1).len() - before
}

#[test]
fn a_keyed_retry_is_sent_until_the_last_microsecond_of_the_deduplication_window() {
    assert_eq!(retries_after(DEDUPLICATION_WINDOW - 1), 1);
    assert_eq!(retries_after(DEDUPLICATION_WINDOW + 1), 0);
}

/// Found on drawn runs (seeds 3003, 3891, 7350, 7608): the repeat was allowed just in time and then waited for its
/// connection until the memory had ended.
#[test]
fn a_keyed_retry_that_waits_for_a_connection_is_not_sent_after_the_deduplication_window() {
    let key = key_owned_by(0);
    let scenario = Scenario::new(2, 1);
    scenario.set_behavior(0, ServerBehavior::Reset(DEDUPLICATION_WINDOW - 5 * LATENCY));
    scenario.request_at(SECOND, 1, key, DEADLINE);
    scenario.run_until(SECOND + DEDUPLICATION_WINDOW - MILLI);
    assert_eq!(scenario.accepted_connections(1), 0, "it has to be opened");
    scenario.run_until(4 * SECOND);
    assert_eq!(scenario.accepted_connections(1), 1, "it was opened");
    assert_eq!(
        scenario.received_requests(1).len(),
        0,
        "and nothing was sent on it"
    );
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:?}",
        scenario.violations()
    );
}

#[test]
fn a_partially_read_request_at_sigterm_is_served_and_the_router_ends_in_time() {
    let scenario = Scenario::new(2, 1);
    let bytes = scenario.encode_request(0, 1, SECOND).bytes;
    let (head, tail) = bytes.split_at(bytes.len() / 2);
    let received = scenario.start_client(
        vec![
            (SECOND, head.to_vec()),
            (SECOND + 50 * MILLI, tail.to_vec()),
        ],
        None,
    );
    scenario.run_until(SECOND + 20 * MILLI);
    scenario.terminate();
    scenario.run_until(SECOND + 20 * MILLI + DEADLINE + 700 * MILLI);
    assert!(scenario.has_ended());
    scenario.run_until(6 * SECOND);
    assert!(
        received_text(&received).starts_with('*'),
        "{}",
        received_text(&received)
    );
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:?}",
        scenario.violations()
    );
}

#[test]
fn pipelined_requests_at_sigterm_are_all_answered_in_order() {
    let scenario = Scenario::new(2, 1);
    scenario.set_all_behaviors(&ServerBehavior::Serve(300 * MILLI));
    let mut bytes = Vec::new();
    let mut ids = Vec::new();
    for key in 0..5 {
        let request = scenario.encode_request(0, key, 1_500 * MILLI);
        bytes.extend(request.bytes);
        ids.push(format!("{:016x}@", request.id));
    }
    let received = scenario.start_client(vec![(SECOND, bytes)], None);
    scenario.run_until(SECOND + 10 * MILLI);
    scenario.terminate();
    scenario.run_until(5 * SECOND);
    assert!(scenario.has_ended());
    let output = received_text(&received);
    let indices: Vec<usize> = ids
        .iter()
        .map(|id| output.find(id.as_str()).expect("answered"))
        .collect();
    assert!(indices.is_sorted(), "{output}");
    assert_eq!(
        scenario.violations().len(),
        0,
        "{:?}",
        scenario.violations()
    );
}
