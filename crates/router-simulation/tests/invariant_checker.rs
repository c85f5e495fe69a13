//! Tests of the invariant checker: traces that violate each rule by the smallest margin, and traces
//! that just keep it.

use router_simulation::executor::{Node, Time};
use router_simulation::fault_plan::{CLASSES, MILLI, SECOND};
use router_simulation::invariant_checker::{
    CoalescingParameters, InvariantChecker, ProcessStart, Role, Rule, RuleParameters,
};
use router_simulation::network::{CloseKind, Observer, Side};
use router_simulation::scenario::{DEDUPLICATION_WINDOW, rule_parameters, server_identities};
use router_simulation::wire::{command, value_for};

const ROUTER: Node = Node(0);
const CLIENT: Node = Node(1);
/// The machine of the first of four servers, which alternate between two zones.
const SERVERS: u32 = 2;
const DISCOVERY: Node = Node(6);

/// Feeds a trace of the network to the invariant checker.
struct Trace {
    checker: InvariantChecker,
    last_connection: u32,
}

impl Trace {
    fn new() -> Trace {
        Trace::with(rule_parameters())
    }

    /// Creates a trace where reads of the first class may share answers.
    fn coalescing() -> Trace {
        let coalescing_parameters = CoalescingParameters {
            class: CLASSES[0].to_string(),
            max_flights_per_key: 2,
        };
        Trace::with(RuleParameters {
            coalescing: Some(coalescing_parameters),
            ..rule_parameters()
        })
    }

    fn with(rule_parameters: RuleParameters) -> Trace {
        let mut checker = InvariantChecker::new(rule_parameters, &server_identities(4), true);
        for role in [Role::Router(0), Role::Client]
            .into_iter()
            .chain((0..4).map(Role::Server))
        {
            checker.add_machine(role);
        }
        checker.add_machine(Role::Discovery);
        Trace {
            checker,
            last_connection: 0,
        }
    }

    fn open(&mut self, at: Time, dialer: Node, listener: Node) -> u32 {
        self.last_connection += 1;
        self.checker
            .opened(at, self.last_connection, dialer, listener);
        self.last_connection
    }

    fn client(&mut self, at: Time) -> u32 {
        self.open(at, CLIENT, ROUTER)
    }

    fn server(&mut self, at: Time, server: u32) -> u32 {
        self.open(at, ROUTER, Node(SERVERS + server))
    }

    /// Writes bytes that arrive at the other end at once.
    fn transfer(&mut self, at: Time, conn: u32, side: Side, bytes: &[u8]) {
        self.checker.written(at, conn, side, bytes);
        self.checker.delivered(at, conn, side, bytes.len());
    }

    fn client_requests(&mut self, at: Time, conn: u32, id: u64, class: usize, timeout: Time) {
        self.transfer(
            at,
            conn,
            Side::Initiator,
            &request_bytes(id, class, timeout),
        );
    }

    fn router_sends(&mut self, at: Time, conn: u32, id: u64, class: usize) {
        self.transfer(
            at,
            conn,
            Side::Initiator,
            &request_bytes(id, class, 100 * MILLI),
        );
    }

    fn replies(&mut self, at: Time, conn: u32, bytes: &[u8]) {
        self.transfer(at, conn, Side::Acceptor, bytes);
    }

    fn announce(&mut self, at: Time, conn: u32, health: &str, born: u64) {
        let line = format!(
            "{{\"seq\":2,\"whole\":false,\"hosts\":[{{\"host\":\"s-00\",\"health\":\"{health}\",\"born_ms\":{born}}}]}}\n"
        );
        self.transfer(at, conn, Side::Acceptor, line.as_bytes());
    }

    fn violated_rules(&mut self, end: Time) -> Vec<Rule> {
        // A later step lets the checker find overdue requests.
        self.client(end);
        self.checker
            .violations
            .iter()
            .map(|violation| violation.rule)
            .collect()
    }
}

fn request_bytes(id: u64, class: usize, timeout: Time) -> Vec<u8> {
    let id = format!("{id:016x}");
    let fields = format!("c={},d={},k=1", CLASSES[class], timeout / MILLI);
    match class {
        0 => command(&[b"C.GET", b"key", id.as_bytes(), fields.as_bytes()]),
        _ => command(&[b"C.SET", b"key", id.as_bytes(), fields.as_bytes(), b"v"]),
    }
}

fn served(id: u64) -> Vec<u8> {
    let value = value_for(id, "s-00", 20);
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(&value);
    out.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    out
}

/// Returns the violations when a read is answered at this time. Its client waits 100 ms and the
/// grace is 20 ms.
fn answered_at(at: Time) -> Vec<Rule> {
    let mut trace = Trace::new();
    let (client, server) = (trace.client(0), trace.server(0, 0));
    trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    trace.router_sends(SECOND, server, 1, 0);
    trace.replies(at, server, &served(1));
    trace.replies(at, client, &served(1));
    trace.violated_rules(9 * SECOND)
}

#[test]
fn an_answer_at_the_end_of_the_grace_keeps_rule_1_and_a_microsecond_later_violates_it() {
    assert_eq!(answered_at(SECOND + 120 * MILLI), []);
    let late = answered_at(SECOND + 120 * MILLI + 1);
    assert!(late.contains(&Rule::Answered), "{late:?}");
}

#[test]
fn a_missing_answer_violates_rule_1_unless_the_router_or_the_client_is_gone() {
    for (event, is_violated) in [
        ("no event", true),
        ("router crash", false),
        ("client disconnect", false),
    ] {
        let mut trace = Trace::new();
        let client = trace.client(0);
        trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
        match event {
            "router crash" => trace.checker.router_died(SECOND + 1, 0),
            "client disconnect" => {
                trace
                    .checker
                    .closed(SECOND + 1, client, Side::Initiator, CloseKind::Fin)
            }
            _ => {}
        }
        assert_eq!(
            trace.violated_rules(9 * SECOND) == [Rule::Answered],
            is_violated,
            "{event}"
        );
    }
}

#[test]
fn only_a_request_that_arrived_before_the_router_closed_counts_as_lost() {
    for (arrives, lost) in [(false, false), (true, true)] {
        let mut trace = Trace::new();
        let client = trace.client(0);
        let bytes = request_bytes(1, 0, 100 * MILLI);
        trace
            .checker
            .written(SECOND, client, Side::Initiator, &bytes);
        // All bytes arrive, or all but the last one.
        let count = bytes.len() - usize::from(!arrives);
        trace
            .checker
            .delivered(SECOND, client, Side::Initiator, count);
        trace
            .checker
            .closed(SECOND + 1, client, Side::Acceptor, CloseKind::Fin);
        assert_eq!(
            trace.violated_rules(9 * SECOND) == [Rule::Answered],
            lost,
            "{arrives}"
        );
    }
}

#[test]
fn a_second_answer_violates_rule_1() {
    let mut trace = Trace::new();
    let client = trace.client(0);
    trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    trace.replies(SECOND + 1, client, b"-BUSY 5\r\n");
    assert_eq!(trace.violated_rules(SECOND + 2), []);
    trace.replies(SECOND + 2, client, b"-BUSY 5\r\n");
    assert_eq!(trace.violated_rules(9 * SECOND), [Rule::Answered]);
}

#[test]
fn a_pipelined_answer_may_wait_only_for_earlier_answers() {
    for (after, is_violated) in [(20 * MILLI, false), (20 * MILLI + 1, true)] {
        let mut trace = Trace::new();
        let client = trace.client(0);
        trace.client_requests(SECOND, client, 1, 0, 500 * MILLI);
        trace.client_requests(SECOND, client, 2, 0, 100 * MILLI);
        trace.replies(SECOND + 500 * MILLI, client, b"-BUSY\r\n");
        trace.replies(SECOND + 500 * MILLI + after, client, b"-BUSY\r\n");
        assert_eq!(
            trace.violated_rules(9 * SECOND).contains(&Rule::Answered),
            is_violated,
            "{after}"
        );
    }
}

#[test]
fn a_value_of_another_request_violates_rule_1() {
    let mut trace = Trace::new();
    let (client, server) = (trace.client(0), trace.server(0, 0));
    trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    trace.router_sends(SECOND, server, 1, 0);
    trace.replies(SECOND + 1, client, &served(2));
    assert_eq!(trace.violated_rules(9 * SECOND), [Rule::Answered]);
}

#[test]
fn an_attempt_after_the_final_answer_violates_rule_1() {
    let mut trace = Trace::new();
    let (client, server) = (trace.client(0), trace.server(0, 0));
    trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    trace.replies(SECOND + 1, client, b"-BUSY\r\n");
    trace.router_sends(SECOND + 1, server, 1, 0);
    assert_eq!(trace.violated_rules(9 * SECOND), [Rule::Answered]);
}

/// Returns the violations when a first attempt of a class at server 0 ends in this way and a second
/// attempt goes to `server` this long after the first.
fn repeat_attempt(class: usize, end: &str, server: u32, after: Time) -> Vec<Rule> {
    let mut trace = Trace::new();
    let (client, first, second) = (trace.client(0), trace.server(0, 0), trace.server(0, server));
    trace.client_requests(SECOND, client, 1, class, 2 * SECOND);
    let bytes = request_bytes(1, class, 100 * MILLI);
    match end {
        "all but the last byte" => {
            trace.transfer(SECOND, first, Side::Initiator, &bytes[..bytes.len() - 1]);
            trace
                .checker
                .close_delivered(SECOND + 1, first, Side::Acceptor);
        }
        "reset" => {
            trace.transfer(SECOND, first, Side::Initiator, &bytes);
            trace
                .checker
                .close_delivered(SECOND + 1, first, Side::Acceptor);
        }
        "busy" => {
            trace.transfer(SECOND, first, Side::Initiator, &bytes);
            trace.replies(SECOND + 1, first, b"-BUSY\r\n");
        }
        _ => {
            trace.transfer(SECOND, first, Side::Initiator, &bytes);
            trace.replies(SECOND + 1, first, b"-ERR failed\r\n");
        }
    }
    trace.router_sends(SECOND + after, second, 1, class);
    trace.replies(SECOND + after, second, &served(1));
    trace.replies(SECOND + after, client, &served(1));
    trace.violated_rules(9 * SECOND)
}

#[test]
fn a_request_that_is_not_idempotent_is_sent_again_only_if_it_never_ran() {
    assert_eq!(repeat_attempt(3, "busy", 1, 10 * MILLI), []);
    assert_eq!(
        repeat_attempt(3, "all but the last byte", 1, 10 * MILLI),
        []
    );
    assert_eq!(repeat_attempt(3, "reset", 1, 10 * MILLI), [Rule::Effects]);
    assert_eq!(repeat_attempt(3, "failed", 1, 10 * MILLI), [Rule::Effects]);
    assert_eq!(
        repeat_attempt(0, "reset", 1, 10 * MILLI),
        [],
        "an idempotent request may always be sent again"
    );
}

#[test]
fn a_keyed_request_may_be_repeated_until_the_end_of_the_deduplication_window() {
    assert_eq!(repeat_attempt(1, "reset", 1, DEDUPLICATION_WINDOW), []);
    assert_eq!(
        repeat_attempt(1, "reset", 1, DEDUPLICATION_WINDOW + 1),
        [Rule::Effects]
    );
    assert_eq!(
        repeat_attempt(1, "busy", 1, DEDUPLICATION_WINDOW + 1),
        [],
        "the first attempt never ran"
    );
}

#[test]
fn a_request_keyed_by_zone_stays_in_its_zone_once_it_may_have_run() {
    assert_eq!(repeat_attempt(2, "reset", 2, 10 * MILLI), []);
    assert_eq!(repeat_attempt(2, "reset", 1, 10 * MILLI), [Rule::Effects]);
    assert_eq!(repeat_attempt(2, "busy", 1, 10 * MILLI), []);
}

#[test]
fn rejecting_a_request_that_may_have_run_violates_rule_2_and_failing_it_does_not() {
    for (answer, is_violated) in [(&b"-BUSY\r\n"[..], true), (b"-ERR failed\r\n", false)] {
        let mut trace = Trace::new();
        let (client, server) = (trace.client(0), trace.server(0, 0));
        trace.client_requests(SECOND, client, 1, 3, 100 * MILLI);
        trace.router_sends(SECOND, server, 1, 3);
        trace
            .checker
            .close_delivered(SECOND + 1, server, Side::Acceptor);
        trace.replies(SECOND + 2, client, answer);
        assert_eq!(
            trace.violated_rules(9 * SECOND) == [Rule::Effects],
            is_violated
        );
    }
}

#[test]
fn two_attempts_in_flight_violate_rule_2_only_without_hedging() {
    for hedging in [true, false] {
        let mut trace = Trace::with(RuleParameters {
            hedging,
            ..rule_parameters()
        });
        let (client, first, second) = (trace.client(0), trace.server(0, 0), trace.server(0, 1));
        trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
        trace.router_sends(SECOND, first, 1, 0);
        trace.router_sends(SECOND + 1, second, 1, 0);
        trace.replies(SECOND + 2, client, &served(1));
        assert_eq!(
            trace.violated_rules(9 * SECOND) == [Rule::Effects],
            !hedging
        );
    }
}

/// Returns the violations when a router writes the first byte of a request to server 0 this long
/// after it learned of the server's health.
fn sent_after_drain(after: Time, health: &str) -> Vec<Rule> {
    let mut trace = Trace::new();
    let (client, server, watch) = (
        trace.client(0),
        trace.server(0, 0),
        trace.open(0, ROUTER, DISCOVERY),
    );
    trace.announce(SECOND, watch, health, 0);
    trace.client_requests(SECOND + after, client, 1, 0, 100 * MILLI);
    trace.router_sends(SECOND + after, server, 1, 0);
    trace.replies(SECOND + after + 1, client, &served(1));
    trace.violated_rules(9 * SECOND)
}

#[test]
fn a_send_250_ms_after_a_drain_keeps_rule_3_and_a_microsecond_later_violates_it() {
    for health in ["draining", "removed"] {
        assert_eq!(sent_after_drain(250 * MILLI - 1, health), []);
        assert_eq!(sent_after_drain(250 * MILLI, health), []);
        assert_eq!(sent_after_drain(250 * MILLI + 1, health), [Rule::Drains]);
    }
    assert_eq!(sent_after_drain(SECOND, "up"), []);
}

#[test]
fn a_drain_holds_from_the_complete_line_until_the_server_is_up_again() {
    let mut trace = Trace::new();
    let (client, server, watch) = (
        trace.client(0),
        trace.server(0, 0),
        trace.open(0, ROUTER, DISCOVERY),
    );
    trace.announce(SECOND, watch, "draining", 0);
    trace.announce(SECOND + 100 * MILLI, watch, "up", 5);
    trace.client_requests(2 * SECOND, client, 1, 0, 100 * MILLI);
    trace.router_sends(2 * SECOND, server, 1, 0);
    trace.replies(2 * SECOND, client, &served(1));
    assert_eq!(trace.violated_rules(3 * SECOND), []);
    // A line is ignored until its last byte has arrived.
    let line = b"{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"s-00\",\"health\":\"draining\",\"born_ms\":5}]}\n";
    trace
        .checker
        .written(3 * SECOND, watch, Side::Acceptor, line);
    trace
        .checker
        .delivered(3 * SECOND, watch, Side::Acceptor, line.len() - 1);
    trace.client_requests(4 * SECOND, client, 2, 0, 100 * MILLI);
    trace.router_sends(4 * SECOND, server, 2, 0);
    trace.replies(4 * SECOND, client, &served(2));
    assert_eq!(trace.violated_rules(9 * SECOND), []);
}

#[test]
fn an_announcement_counts_as_known_after_six_seconds() {
    for (after, is_violated) in [
        (6 * SECOND + 250 * MILLI, false),
        (6 * SECOND + 250 * MILLI + 1, true),
    ] {
        let mut trace = Trace::new();
        let known = r#"{"seq":1,"whole":true,"hosts":[{"host":"s-00","health":"up","born_ms":0}]}"#;
        trace.checker.router_started(0, 0, known);
        let (client, server) = (trace.client(0), trace.server(0, 0));
        trace.checker.endpoint_announced(SECOND, 0, false, 0);
        trace.client_requests(SECOND + after, client, 1, 0, 100 * MILLI);
        trace.router_sends(SECOND + after, server, 1, 0);
        trace.replies(SECOND + after, client, &served(1));
        assert_eq!(
            trace.violated_rules(20 * SECOND) == [Rule::Drains],
            is_violated,
            "{after}"
        );
    }
}

/// A server starts at 1 s with half of its capacity. It fails when the work of one second exceeds
/// twice its capacity. Its slow start is so long that the capacity stays the same. Returns whether
/// the server fails under this work, and the violations.
fn fails_under(work: f64, knows_start: bool) -> (bool, Vec<Rule>) {
    let mut trace = Trace::new();
    let watch = trace.open(0, ROUTER, DISCOVERY);
    let start = ProcessStart {
        born_ms: 77,
        starting_capacity_ratio: 0.5,
        slow_start_duration: 1_000_000 * SECOND,
    };
    trace.checker.server_started(SECOND, 0, start);
    if knows_start {
        trace.announce(SECOND, watch, "up", 77);
    }
    let mut fails = false;
    for part in 0..10 {
        fails |= trace
            .checker
            .work_arrived(SECOND + part * 100 * MILLI, 0, 0, work / 10.0);
    }
    (fails, trace.violated_rules(9 * SECOND))
}

#[test]
fn a_server_in_slow_start_withstands_twice_its_capacity_and_not_more() {
    // Twice half of the capacity for one second, in microseconds of work.
    let limit = 1e6;
    assert_eq!(fails_under(limit * 0.999, true), (false, vec![]));
    assert_eq!(
        fails_under(limit * 1.001, true),
        (true, vec![Rule::SlowStart])
    );
    assert_eq!(
        fails_under(limit * 1.001, false),
        (true, vec![]),
        "no router knew of the start"
    );
}

#[test]
fn a_violation_includes_its_step_and_the_last_steps_of_its_request() {
    let mut trace = Trace::new();
    let (client, server) = (trace.client(0), trace.server(0, 0));
    trace.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    trace.router_sends(SECOND, server, 1, 0);
    trace.replies(SECOND + 121 * MILLI, client, &served(1));
    let violation = &trace.checker.violations[0];
    assert_eq!(
        (violation.rule, violation.request),
        (Rule::Answered, Some(1))
    );
    assert!(violation.step > 0 && violation.step <= trace.checker.steps());
    assert!(
        violation
            .steps
            .iter()
            .any(|step| step.contains("router 0 sends to server 0")),
        "{:?}",
        violation.steps
    );
}

/// Returns the violations when two reads of one key, the second at `joins_at`, are both answered
/// with the value for the first. The attempt of a write goes out at `wrote`; its answer follows 10
/// ms later.
fn coalesced_reads(
    mut trace: Trace,
    joins_at: Time,
    wrote: Option<Time>,
    class: usize,
) -> Vec<Rule> {
    let (first, second, writer) = (trace.client(0), trace.client(0), trace.client(0));
    let (server, other) = (trace.server(0, 0), trace.server(0, 1));
    let start = SECOND;
    trace.client_requests(start, first, 1, 0, SECOND);
    trace.router_sends(start, server, 1, 0);
    let mut steps: Vec<(Time, u8)> = vec![(joins_at, 0), (start + 100 * MILLI, 3)];
    steps.extend(
        wrote
            .into_iter()
            .flat_map(|at| [(at, 1), (at + 10 * MILLI, 2)]),
    );
    steps.sort_unstable();
    for (at, step) in steps {
        match step {
            0 => trace.client_requests(at, second, 2, class, SECOND),
            1 => {
                trace.client_requests(at, writer, 3, 1, SECOND);
                trace.router_sends(at, other, 3, 1);
            }
            2 => {
                trace.replies(at, other, &served(3));
                trace.replies(at, writer, &served(3));
            }
            _ => trace.replies(at, server, &served(1)),
        }
    }
    trace.replies(start + 200 * MILLI, first, &served(1));
    trace.replies(start + 200 * MILLI, second, &served(1));
    trace.violated_rules(9 * SECOND)
}

#[test]
fn a_shared_answer_is_a_violation_unless_reads_are_coalesced() {
    let at = SECOND + 50 * MILLI;
    assert_eq!(coalesced_reads(Trace::coalescing(), at, None, 0), []);
    assert_eq!(coalesced_reads(Trace::new(), at, None, 0), [Rule::Answered]);
    assert!(
        coalesced_reads(Trace::coalescing(), at, None, 1).contains(&Rule::Coalescing),
        "a write"
    );
}

#[test]
fn a_read_that_arrives_after_the_value_may_not_share_it() {
    assert_eq!(
        coalesced_reads(Trace::coalescing(), SECOND + 100 * MILLI, None, 0),
        []
    );
    assert_eq!(
        coalesced_reads(Trace::coalescing(), SECOND + 100 * MILLI + 1, None, 0),
        [Rule::Coalescing]
    );
}

#[test]
fn a_read_that_arrives_after_the_start_of_a_write_may_not_share_an_older_value() {
    let wrote = SECOND + 50 * MILLI;
    assert_eq!(
        coalesced_reads(Trace::coalescing(), wrote, Some(wrote), 0),
        [],
        "the read and the write at the same time, in either order"
    );
    assert_eq!(
        coalesced_reads(Trace::coalescing(), wrote + 1, Some(wrote), 0),
        [Rule::Coalescing]
    );
    assert_eq!(
        coalesced_reads(Trace::coalescing(), wrote + 20 * MILLI, Some(wrote), 0),
        [Rule::Coalescing],
        "after the answer to the write"
    );
}

#[test]
fn two_attempts_for_a_key_may_be_in_flight_and_a_third_is_a_violation() {
    for (count, is_violated) in [(2, false), (3, true)] {
        let mut trace = Trace::coalescing();
        for id in 1..=count {
            let (client, server) = (trace.client(0), trace.server(0, 0));
            trace.client_requests(SECOND, client, id, 0, 100 * MILLI);
            trace.router_sends(SECOND, server, id, 0);
        }
        let found = trace
            .checker
            .violations
            .iter()
            .any(|violation| violation.rule == Rule::Coalescing);
        assert_eq!(found, is_violated, "{count}");
    }
}

#[test]
fn an_attempt_without_a_waiter_is_a_violation_and_one_for_coalesced_reads_is_not() {
    for others in [false, true] {
        let mut trace = Trace::coalescing();
        let (first, second, server) = (trace.client(0), trace.client(0), trace.server(0, 0));
        trace.client_requests(SECOND, first, 1, 0, 100 * MILLI);
        if others {
            trace.client_requests(SECOND, second, 2, 0, SECOND);
        }
        trace.replies(SECOND + 100 * MILLI, first, b"-BUSY\r\n");
        trace.router_sends(SECOND + 101 * MILLI, server, 1, 0);
        let found = trace
            .checker
            .violations
            .iter()
            .any(|violation| violation.rule == Rule::Coalescing);
        assert_eq!(found, !others);
    }
}
