//! The invariant checker itself: wire traces that break each rule by the smallest margin, and ones that just keep it.

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
/// The machine of the first of four servers, by turns in one of two zones.
const SERVERS: u32 = 2;
const DISCOVERY: Node = Node(6);

/// A wire that nobody but the invariant checker sees.
struct Wire {
    checker: InvariantChecker,
    last: u32,
}

impl Wire {
    fn new() -> Wire {
        Wire::with(rule_parameters())
    }

    /// Reads of the first class may share answers.
    fn coalescing() -> Wire {
        let coalescing_parameters = CoalescingParameters {
            class: CLASSES[0].to_string(),
            max_flights_per_key: 2,
        };
        Wire::with(RuleParameters {
            coalescing: Some(coalescing_parameters),
            ..rule_parameters()
        })
    }

    fn with(rule_parameters: RuleParameters) -> Wire {
        let mut checker = InvariantChecker::new(rule_parameters, &server_identities(4), true);
        for role in [Role::Router(0), Role::Client]
            .into_iter()
            .chain((0..4).map(Role::Server))
        {
            checker.add_machine(role);
        }
        checker.add_machine(Role::Discovery);
        Wire { checker, last: 0 }
    }

    fn open(&mut self, at: Time, dialer: Node, listener: Node) -> u32 {
        self.last += 1;
        self.checker.opened(at, self.last, dialer, listener);
        self.last
    }

    fn client(&mut self, at: Time) -> u32 {
        self.open(at, CLIENT, ROUTER)
    }

    fn server(&mut self, at: Time, server: u32) -> u32 {
        self.open(at, ROUTER, Node(SERVERS + server))
    }

    /// Bytes that are at the other end at once.
    fn say(&mut self, at: Time, conn: u32, side: Side, bytes: &[u8]) {
        self.checker.written(at, conn, side, bytes);
        self.checker.delivered(at, conn, side, bytes.len());
    }

    fn client_requests(&mut self, at: Time, conn: u32, id: u64, class: usize, timeout: Time) {
        self.say(
            at,
            conn,
            Side::Initiator,
            &request_bytes(id, class, timeout),
        );
    }

    fn router_sends(&mut self, at: Time, conn: u32, id: u64, class: usize) {
        self.say(
            at,
            conn,
            Side::Initiator,
            &request_bytes(id, class, 100 * MILLI),
        );
    }

    fn replies(&mut self, at: Time, conn: u32, bytes: &[u8]) {
        self.say(at, conn, Side::Acceptor, bytes);
    }

    fn announce(&mut self, at: Time, conn: u32, health: &str, born: u64) {
        let line = format!(
            "{{\"seq\":2,\"whole\":false,\"hosts\":[{{\"host\":\"s-00\",\"health\":\"{health}\",\"born_ms\":{born}}}]}}\n"
        );
        self.say(at, conn, Side::Acceptor, line.as_bytes());
    }

    fn rules(&mut self, end: Time) -> Vec<Rule> {
        // Something passes later on, so that what is overdue shows.
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

/// A read that is answered at this time; its client waits 100 ms and the grace is 20 ms.
fn answered_at(at: Time) -> Vec<Rule> {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    wire.router_sends(SECOND, server, 1, 0);
    wire.replies(at, server, &served(1));
    wire.replies(at, client, &served(1));
    wire.rules(9 * SECOND)
}

#[test]
fn an_answer_at_the_end_of_the_grace_keeps_rule_1_and_a_microsecond_later_breaks_it() {
    assert_eq!(answered_at(SECOND + 120 * MILLI), []);
    let late = answered_at(SECOND + 120 * MILLI + 1);
    assert!(late.contains(&Rule::Answered), "{late:?}");
}

#[test]
fn no_answer_breaks_rule_1_unless_the_router_died_or_the_client_left() {
    for (what, is_violated) in [
        ("nothing", true),
        ("router dies", false),
        ("client leaves", false),
    ] {
        let mut wire = Wire::new();
        let client = wire.client(0);
        wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
        match what {
            "router dies" => wire.checker.router_died(SECOND + 1, 0),
            "client leaves" => {
                wire.checker
                    .closed(SECOND + 1, client, Side::Initiator, CloseKind::Fin)
            }
            _ => {}
        }
        assert_eq!(
            wire.rules(9 * SECOND) == [Rule::Answered],
            is_violated,
            "{what}"
        );
    }
}

#[test]
fn a_request_that_had_not_arrived_when_the_router_closed_is_not_lost_and_one_that_had_is() {
    for (arrives, lost) in [(false, false), (true, true)] {
        let mut wire = Wire::new();
        let client = wire.client(0);
        let bytes = request_bytes(1, 0, 100 * MILLI);
        wire.checker
            .written(SECOND, client, Side::Initiator, &bytes);
        // All of it, or all but its last byte.
        let count = bytes.len() - usize::from(!arrives);
        wire.checker
            .delivered(SECOND, client, Side::Initiator, count);
        wire.checker
            .closed(SECOND + 1, client, Side::Acceptor, CloseKind::Fin);
        assert_eq!(
            wire.rules(9 * SECOND) == [Rule::Answered],
            lost,
            "{arrives}"
        );
    }
}

#[test]
fn a_second_answer_breaks_rule_1() {
    let mut wire = Wire::new();
    let client = wire.client(0);
    wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    wire.replies(SECOND + 1, client, b"-BUSY 5\r\n");
    assert_eq!(wire.rules(SECOND + 2), []);
    wire.replies(SECOND + 2, client, b"-BUSY 5\r\n");
    assert_eq!(wire.rules(9 * SECOND), [Rule::Answered]);
}

#[test]
fn pipelined_answers_may_wait_for_those_before_them_and_no_longer() {
    for (after, is_violated) in [(20 * MILLI, false), (20 * MILLI + 1, true)] {
        let mut wire = Wire::new();
        let client = wire.client(0);
        wire.client_requests(SECOND, client, 1, 0, 500 * MILLI);
        wire.client_requests(SECOND, client, 2, 0, 100 * MILLI);
        wire.replies(SECOND + 500 * MILLI, client, b"-BUSY\r\n");
        wire.replies(SECOND + 500 * MILLI + after, client, b"-BUSY\r\n");
        assert_eq!(
            wire.rules(9 * SECOND).contains(&Rule::Answered),
            is_violated,
            "{after}"
        );
    }
}

#[test]
fn a_value_made_for_another_request_breaks_rule_1() {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    wire.router_sends(SECOND, server, 1, 0);
    wire.replies(SECOND + 1, client, &served(2));
    assert_eq!(wire.rules(9 * SECOND), [Rule::Answered]);
}

#[test]
fn a_send_after_the_final_answer_breaks_rule_1() {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    wire.replies(SECOND + 1, client, b"-BUSY\r\n");
    wire.router_sends(SECOND + 1, server, 1, 0);
    assert_eq!(wire.rules(9 * SECOND), [Rule::Answered]);
}

/// A first attempt of a class at server 0 comes to this end; then a second one, at a server, so much after the first.
fn repeated(class: usize, end: &str, server: u32, after: Time) -> Vec<Rule> {
    let mut wire = Wire::new();
    let (client, first, second) = (wire.client(0), wire.server(0, 0), wire.server(0, server));
    wire.client_requests(SECOND, client, 1, class, 2 * SECOND);
    let bytes = request_bytes(1, class, 100 * MILLI);
    match end {
        "all but the last byte" => {
            wire.say(SECOND, first, Side::Initiator, &bytes[..bytes.len() - 1]);
            wire.checker
                .close_delivered(SECOND + 1, first, Side::Acceptor);
        }
        "reset" => {
            wire.say(SECOND, first, Side::Initiator, &bytes);
            wire.checker
                .close_delivered(SECOND + 1, first, Side::Acceptor);
        }
        "busy" => {
            wire.say(SECOND, first, Side::Initiator, &bytes);
            wire.replies(SECOND + 1, first, b"-BUSY\r\n");
        }
        _ => {
            wire.say(SECOND, first, Side::Initiator, &bytes);
            wire.replies(SECOND + 1, first, b"-ERR failed\r\n");
        }
    }
    wire.router_sends(SECOND + after, second, 1, class);
    wire.replies(SECOND + after, second, &served(1));
    wire.replies(SECOND + after, client, &served(1));
    wire.rules(9 * SECOND)
}

#[test]
fn an_unsafe_request_may_follow_only_what_never_ran() {
    assert_eq!(repeated(3, "busy", 1, 10 * MILLI), []);
    assert_eq!(repeated(3, "all but the last byte", 1, 10 * MILLI), []);
    assert_eq!(repeated(3, "reset", 1, 10 * MILLI), [Rule::Effects]);
    assert_eq!(repeated(3, "failed", 1, 10 * MILLI), [Rule::Effects]);
    assert_eq!(
        repeated(0, "reset", 1, 10 * MILLI),
        [],
        "a safe one may follow anything"
    );
}

#[test]
fn a_keyed_request_may_be_repeated_to_the_last_microsecond_of_its_memory() {
    assert_eq!(repeated(1, "reset", 1, DEDUPLICATION_WINDOW), []);
    assert_eq!(
        repeated(1, "reset", 1, DEDUPLICATION_WINDOW + 1),
        [Rule::Effects]
    );
    assert_eq!(
        repeated(1, "busy", 1, DEDUPLICATION_WINDOW + 1),
        [],
        "nothing ran that could be remembered"
    );
}

#[test]
fn a_keyed_request_of_a_zone_stays_there_once_it_may_have_run() {
    assert_eq!(repeated(2, "reset", 2, 10 * MILLI), []);
    assert_eq!(repeated(2, "reset", 1, 10 * MILLI), [Rule::Effects]);
    assert_eq!(repeated(2, "busy", 1, 10 * MILLI), []);
}

#[test]
fn a_refusal_of_what_may_have_run_breaks_rule_2_and_a_failure_does_not() {
    for (answer, is_violated) in [(&b"-BUSY\r\n"[..], true), (b"-ERR failed\r\n", false)] {
        let mut wire = Wire::new();
        let (client, server) = (wire.client(0), wire.server(0, 0));
        wire.client_requests(SECOND, client, 1, 3, 100 * MILLI);
        wire.router_sends(SECOND, server, 1, 3);
        wire.checker
            .close_delivered(SECOND + 1, server, Side::Acceptor);
        wire.replies(SECOND + 2, client, answer);
        assert_eq!(wire.rules(9 * SECOND) == [Rule::Effects], is_violated);
    }
}

#[test]
fn two_attempts_out_together_break_rule_2_only_where_that_is_not_allowed() {
    for hedging in [true, false] {
        let mut wire = Wire::with(RuleParameters {
            hedging,
            ..rule_parameters()
        });
        let (client, a, b) = (wire.client(0), wire.server(0, 0), wire.server(0, 1));
        wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
        wire.router_sends(SECOND, a, 1, 0);
        wire.router_sends(SECOND + 1, b, 1, 0);
        wire.replies(SECOND + 2, client, &served(1));
        assert_eq!(wire.rules(9 * SECOND) == [Rule::Effects], !hedging);
    }
}

/// A request's first byte for server 0 so long after the router was told that it drains.
fn sent_after_drain(after: Time, health: &str) -> Vec<Rule> {
    let mut wire = Wire::new();
    let (client, server, watch) = (
        wire.client(0),
        wire.server(0, 0),
        wire.open(0, ROUTER, DISCOVERY),
    );
    wire.announce(SECOND, watch, health, 0);
    wire.client_requests(SECOND + after, client, 1, 0, 100 * MILLI);
    wire.router_sends(SECOND + after, server, 1, 0);
    wire.replies(SECOND + after + 1, client, &served(1));
    wire.rules(9 * SECOND)
}

#[test]
fn a_send_at_the_250_ms_mark_keeps_rule_3_and_a_microsecond_later_breaks_it() {
    for health in ["draining", "removed"] {
        assert_eq!(sent_after_drain(250 * MILLI - 1, health), []);
        assert_eq!(sent_after_drain(250 * MILLI, health), []);
        assert_eq!(sent_after_drain(250 * MILLI + 1, health), [Rule::Drains]);
    }
    assert_eq!(sent_after_drain(SECOND, "up"), []);
}

#[test]
fn a_drain_counts_from_when_its_line_has_come_and_is_over_once_the_server_is_up_again() {
    let mut wire = Wire::new();
    let (client, server, watch) = (
        wire.client(0),
        wire.server(0, 0),
        wire.open(0, ROUTER, DISCOVERY),
    );
    wire.announce(SECOND, watch, "draining", 0);
    wire.announce(SECOND + 100 * MILLI, watch, "up", 5);
    wire.client_requests(2 * SECOND, client, 1, 0, 100 * MILLI);
    wire.router_sends(2 * SECOND, server, 1, 0);
    wire.replies(2 * SECOND, client, &served(1));
    assert_eq!(wire.rules(3 * SECOND), []);
    // A line of which the last byte is still on its way tells nothing.
    let line = b"{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"s-00\",\"health\":\"draining\",\"born_ms\":5}]}\n";
    wire.checker
        .written(3 * SECOND, watch, Side::Acceptor, line);
    wire.checker
        .delivered(3 * SECOND, watch, Side::Acceptor, line.len() - 1);
    wire.client_requests(4 * SECOND, client, 2, 0, 100 * MILLI);
    wire.router_sends(4 * SECOND, server, 2, 0);
    wire.replies(4 * SECOND, client, &served(2));
    assert_eq!(wire.rules(9 * SECOND), []);
}

#[test]
fn what_discovery_has_to_tell_counts_as_told_after_six_seconds() {
    for (after, is_violated) in [
        (6 * SECOND + 250 * MILLI, false),
        (6 * SECOND + 250 * MILLI + 1, true),
    ] {
        let mut wire = Wire::new();
        let known = r#"{"seq":1,"whole":true,"hosts":[{"host":"s-00","health":"up","born_ms":0}]}"#;
        wire.checker.router_started(0, 0, known);
        let (client, server) = (wire.client(0), wire.server(0, 0));
        wire.checker.endpoint_announced(SECOND, 0, false, 0);
        wire.client_requests(SECOND + after, client, 1, 0, 100 * MILLI);
        wire.router_sends(SECOND + after, server, 1, 0);
        wire.replies(SECOND + after, client, &served(1));
        assert_eq!(
            wire.rules(20 * SECOND) == [Rule::Drains],
            is_violated,
            "{after}"
        );
    }
}

/// A server starts at 1 s with half of its capacity and is warm 100 s later; the router is told or not; work of so much
/// arrives within the second after which it is pushed over by more than twice its capacity.
fn pushed(work: f64, knows: bool) -> (bool, Vec<Rule>) {
    let mut wire = Wire::new();
    let watch = wire.open(0, ROUTER, DISCOVERY);
    let start = ProcessStart {
        born_ms: 77,
        starting_capacity_ratio: 0.5,
        slow_start_duration: 1_000_000 * SECOND,
    };
    wire.checker.server_started(SECOND, 0, start);
    if knows {
        wire.announce(SECOND, watch, "up", 77);
    }
    let mut fell = false;
    for part in 0..10 {
        fell |= wire
            .checker
            .work_arrived(SECOND + part * 100 * MILLI, 0, 0, work / 10.0);
    }
    (fell, wire.rules(9 * SECOND))
}

#[test]
fn a_cold_server_stands_twice_its_capacity_and_not_more() {
    // Twice half a capacity for one second.
    let stands = 1e6;
    assert_eq!(pushed(stands * 0.999, true), (false, vec![]));
    assert_eq!(pushed(stands * 1.001, true), (true, vec![Rule::SlowStart]));
    assert_eq!(
        pushed(stands * 1.001, false),
        (true, vec![]),
        "nobody knew of its start"
    );
}

#[test]
fn a_violation_names_its_step_and_shows_the_last_steps_of_its_request() {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.client_requests(SECOND, client, 1, 0, 100 * MILLI);
    wire.router_sends(SECOND, server, 1, 0);
    wire.replies(SECOND + 121 * MILLI, client, &served(1));
    let violation = &wire.checker.violations[0];
    assert_eq!(
        (violation.rule, violation.request),
        (Rule::Answered, Some(1))
    );
    assert!(violation.step > 0 && violation.step <= wire.checker.steps());
    assert!(
        violation
            .steps
            .iter()
            .any(|step| step.contains("router 0 sends to server 0")),
        "{:?}",
        violation.steps
    );
}

/// Two reads of one key, the second at this time, both answered with what a server made for the first; a write whose
/// attempt goes out at `wrote` and is answered 10 ms later.
fn coalesced_reads(mut wire: Wire, joins_at: Time, wrote: Option<Time>, class: usize) -> Vec<Rule> {
    let (first, second, writer) = (wire.client(0), wire.client(0), wire.client(0));
    let (server, other) = (wire.server(0, 0), wire.server(0, 1));
    let start = SECOND;
    wire.client_requests(start, first, 1, 0, SECOND);
    wire.router_sends(start, server, 1, 0);
    let mut steps: Vec<(Time, u8)> = vec![(joins_at, 0), (start + 100 * MILLI, 3)];
    steps.extend(
        wrote
            .into_iter()
            .flat_map(|at| [(at, 1), (at + 10 * MILLI, 2)]),
    );
    steps.sort_unstable();
    for (at, step) in steps {
        match step {
            0 => wire.client_requests(at, second, 2, class, SECOND),
            1 => {
                wire.client_requests(at, writer, 3, 1, SECOND);
                wire.router_sends(at, other, 3, 1);
            }
            2 => {
                wire.replies(at, other, &served(3));
                wire.replies(at, writer, &served(3));
            }
            _ => wire.replies(at, server, &served(1)),
        }
    }
    wire.replies(start + 200 * MILLI, first, &served(1));
    wire.replies(start + 200 * MILLI, second, &served(1));
    wire.rules(9 * SECOND)
}

#[test]
fn a_shared_answer_is_a_violation_unless_reads_are_coalesced() {
    let at = SECOND + 50 * MILLI;
    assert_eq!(coalesced_reads(Wire::coalescing(), at, None, 0), []);
    assert_eq!(coalesced_reads(Wire::new(), at, None, 0), [Rule::Answered]);
    assert!(
        coalesced_reads(Wire::coalescing(), at, None, 1).contains(&Rule::Coalescing),
        "a write"
    );
}

#[test]
fn who_asks_when_the_value_is_there_may_not_have_it() {
    assert_eq!(
        coalesced_reads(Wire::coalescing(), SECOND + 100 * MILLI, None, 0),
        []
    );
    assert_eq!(
        coalesced_reads(Wire::coalescing(), SECOND + 100 * MILLI + 1, None, 0),
        [Rule::Coalescing]
    );
}

#[test]
fn who_comes_after_a_write_began_may_not_have_what_is_older() {
    let wrote = SECOND + 50 * MILLI;
    assert_eq!(
        coalesced_reads(Wire::coalescing(), wrote, Some(wrote), 0),
        [],
        "in one instant, in whichever order"
    );
    assert_eq!(
        coalesced_reads(Wire::coalescing(), wrote + 1, Some(wrote), 0),
        [Rule::Coalescing]
    );
    assert_eq!(
        coalesced_reads(Wire::coalescing(), wrote + 20 * MILLI, Some(wrote), 0),
        [Rule::Coalescing],
        "and after its answer"
    );
}

#[test]
fn two_attempts_for_a_key_may_be_out_and_a_third_is_a_stampede() {
    for (count, is_violated) in [(2, false), (3, true)] {
        let mut wire = Wire::coalescing();
        for id in 1..=count {
            let (client, server) = (wire.client(0), wire.server(0, 0));
            wire.client_requests(SECOND, client, id, 0, 100 * MILLI);
            wire.router_sends(SECOND, server, id, 0);
        }
        let found = wire
            .checker
            .violations
            .iter()
            .any(|violation| violation.rule == Rule::Coalescing);
        assert_eq!(found, is_violated, "{count}");
    }
}

#[test]
fn an_attempt_that_nobody_waits_for_is_a_violation_and_one_for_coalesced_reads_is_none() {
    for others in [false, true] {
        let mut wire = Wire::coalescing();
        let (first, second, server) = (wire.client(0), wire.client(0), wire.server(0, 0));
        wire.client_requests(SECOND, first, 1, 0, 100 * MILLI);
        if others {
            wire.client_requests(SECOND, second, 2, 0, SECOND);
        }
        wire.replies(SECOND + 100 * MILLI, first, b"-BUSY\r\n");
        wire.router_sends(SECOND + 101 * MILLI, server, 1, 0);
        let found = wire
            .checker
            .violations
            .iter()
            .any(|violation| violation.rule == Rule::Coalescing);
        assert_eq!(found, !others);
    }
}
