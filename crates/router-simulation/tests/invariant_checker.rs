//! The judge itself: wire traces that break each rule by the smallest margin, and ones that just keep it.

use router_simulation::executor::{Node, Time};
use router_simulation::fault_plan::{CLASSES, MILLI, SECOND};
use router_simulation::invariant_checker::{Figures, Judge, Role, Rule, Shares};
use router_simulation::net::{Leaving, Observer, Side};
use router_simulation::scenario::{MEMORY, figures};
use router_simulation::wire::{command, value_for};

const ROUTER: Node = Node(0);
const CLIENT: Node = Node(1);
/// The machine of the first of four servers, by turns in one of two zones.
const SERVERS: u32 = 2;
const DISCOVERY: Node = Node(6);

/// A wire that nobody but the judge sees.
struct Wire {
    judge: Judge,
    last: u32,
}

impl Wire {
    fn new() -> Wire {
        Wire::with(figures())
    }

    /// Reads of the first class may share answers.
    fn joining() -> Wire {
        let shares = Shares {
            class: CLASSES[0].to_string(),
            flights: 2,
        };
        Wire::with(Figures {
            joining: Some(shares),
            ..figures()
        })
    }

    fn with(figures: Figures) -> Wire {
        let names: Vec<(String, usize)> = (0..4).map(|i| (format!("s-{i:02}"), i % 2)).collect();
        let mut judge = Judge::new(figures, &names, true);
        for role in [Role::Router(0), Role::Client]
            .into_iter()
            .chain((0..4).map(Role::Server))
        {
            judge.machine(role);
        }
        judge.machine(Role::Discovery);
        Wire { judge, last: 0 }
    }

    fn open(&mut self, at: Time, dialer: Node, listener: Node) -> u32 {
        self.last += 1;
        self.judge.opened(at, self.last, dialer, listener);
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
        self.judge.written(at, conn, side, bytes);
        self.judge.delivered(at, conn, side, bytes.len());
    }

    fn asks(&mut self, at: Time, conn: u32, id: u64, class: usize, wait: Time) {
        self.say(at, conn, Side::Dialer, &call(id, class, wait));
    }

    fn sends(&mut self, at: Time, conn: u32, id: u64, class: usize) {
        self.say(at, conn, Side::Dialer, &call(id, class, 100 * MILLI));
    }

    fn answers(&mut self, at: Time, conn: u32, bytes: &[u8]) {
        self.say(at, conn, Side::Listener, bytes);
    }

    fn told(&mut self, at: Time, conn: u32, health: &str, born: u64) {
        let line = format!(
            "{{\"seq\":2,\"whole\":false,\"hosts\":[{{\"host\":\"s-00\",\"health\":\"{health}\",\"born_ms\":{born}}}]}}\n"
        );
        self.say(at, conn, Side::Listener, line.as_bytes());
    }

    fn rules(&mut self, end: Time) -> Vec<Rule> {
        // Something passes later on, so that what is overdue shows.
        self.client(end);
        self.judge
            .breaches
            .iter()
            .map(|breach| breach.rule)
            .collect()
    }
}

fn call(id: u64, class: usize, wait: Time) -> Vec<u8> {
    let (id, fields) = (
        format!("{id:016x}"),
        format!("c={},d={},k=1", CLASSES[class], wait / MILLI),
    );
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
    wire.asks(SECOND, client, 1, 0, 100 * MILLI);
    wire.sends(SECOND, server, 1, 0);
    wire.answers(at, server, &served(1));
    wire.answers(at, client, &served(1));
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
    for (what, broken) in [
        ("nothing", true),
        ("router dies", false),
        ("client leaves", false),
    ] {
        let mut wire = Wire::new();
        let client = wire.client(0);
        wire.asks(SECOND, client, 1, 0, 100 * MILLI);
        match what {
            "router dies" => wire.judge.router_died(SECOND + 1, 0),
            "client leaves" => wire
                .judge
                .left(SECOND + 1, client, Side::Dialer, Leaving::Fin),
            _ => {}
        }
        assert_eq!(wire.rules(9 * SECOND) == [Rule::Answered], broken, "{what}");
    }
}

#[test]
fn a_request_that_had_not_arrived_when_the_router_closed_is_not_lost_and_one_that_had_is() {
    for (arrives, lost) in [(false, false), (true, true)] {
        let mut wire = Wire::new();
        let client = wire.client(0);
        let bytes = call(1, 0, 100 * MILLI);
        wire.judge.written(SECOND, client, Side::Dialer, &bytes);
        // All of it, or all but its last byte.
        let count = bytes.len() - usize::from(!arrives);
        wire.judge.delivered(SECOND, client, Side::Dialer, count);
        wire.judge
            .left(SECOND + 1, client, Side::Listener, Leaving::Fin);
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
    wire.asks(SECOND, client, 1, 0, 100 * MILLI);
    wire.answers(SECOND + 1, client, b"-BUSY 5\r\n");
    assert_eq!(wire.rules(SECOND + 2), []);
    wire.answers(SECOND + 2, client, b"-BUSY 5\r\n");
    assert_eq!(wire.rules(9 * SECOND), [Rule::Answered]);
}

#[test]
fn pipelined_answers_may_wait_for_those_before_them_and_no_longer() {
    for (after, broken) in [(20 * MILLI, false), (20 * MILLI + 1, true)] {
        let mut wire = Wire::new();
        let client = wire.client(0);
        wire.asks(SECOND, client, 1, 0, 500 * MILLI);
        wire.asks(SECOND, client, 2, 0, 100 * MILLI);
        wire.answers(SECOND + 500 * MILLI, client, b"-BUSY\r\n");
        wire.answers(SECOND + 500 * MILLI + after, client, b"-BUSY\r\n");
        assert_eq!(
            wire.rules(9 * SECOND).contains(&Rule::Answered),
            broken,
            "{after}"
        );
    }
}

#[test]
fn a_value_made_for_another_request_breaks_rule_1() {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.asks(SECOND, client, 1, 0, 100 * MILLI);
    wire.sends(SECOND, server, 1, 0);
    wire.answers(SECOND + 1, client, &served(2));
    assert_eq!(wire.rules(9 * SECOND), [Rule::Answered]);
}

#[test]
fn a_send_after_the_final_answer_breaks_rule_1() {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.asks(SECOND, client, 1, 0, 100 * MILLI);
    wire.answers(SECOND + 1, client, b"-BUSY\r\n");
    wire.sends(SECOND + 1, server, 1, 0);
    assert_eq!(wire.rules(9 * SECOND), [Rule::Answered]);
}

/// A first attempt of a class at server 0 comes to this end; then a second one, at a server, so much after the first.
fn repeated(class: usize, end: &str, server: u32, after: Time) -> Vec<Rule> {
    let mut wire = Wire::new();
    let (client, first, second) = (wire.client(0), wire.server(0, 0), wire.server(0, server));
    wire.asks(SECOND, client, 1, class, 2 * SECOND);
    let bytes = call(1, class, 100 * MILLI);
    match end {
        "all but the last byte" => {
            wire.say(SECOND, first, Side::Dialer, &bytes[..bytes.len() - 1]);
            wire.judge.end_delivered(SECOND + 1, first, Side::Listener);
        }
        "reset" => {
            wire.say(SECOND, first, Side::Dialer, &bytes);
            wire.judge.end_delivered(SECOND + 1, first, Side::Listener);
        }
        "busy" => {
            wire.say(SECOND, first, Side::Dialer, &bytes);
            wire.answers(SECOND + 1, first, b"-BUSY\r\n");
        }
        _ => {
            wire.say(SECOND, first, Side::Dialer, &bytes);
            wire.answers(SECOND + 1, first, b"-ERR failed\r\n");
        }
    }
    wire.sends(SECOND + after, second, 1, class);
    wire.answers(SECOND + after, second, &served(1));
    wire.answers(SECOND + after, client, &served(1));
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
    assert_eq!(repeated(1, "reset", 1, MEMORY), []);
    assert_eq!(repeated(1, "reset", 1, MEMORY + 1), [Rule::Effects]);
    assert_eq!(
        repeated(1, "busy", 1, MEMORY + 1),
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
    for (answer, broken) in [(&b"-BUSY\r\n"[..], true), (b"-ERR failed\r\n", false)] {
        let mut wire = Wire::new();
        let (client, server) = (wire.client(0), wire.server(0, 0));
        wire.asks(SECOND, client, 1, 3, 100 * MILLI);
        wire.sends(SECOND, server, 1, 3);
        wire.judge.end_delivered(SECOND + 1, server, Side::Listener);
        wire.answers(SECOND + 2, client, answer);
        assert_eq!(wire.rules(9 * SECOND) == [Rule::Effects], broken);
    }
}

#[test]
fn two_attempts_out_together_break_rule_2_only_where_that_is_not_allowed() {
    for hedging in [true, false] {
        let mut wire = Wire::new();
        let names: Vec<(String, usize)> = (0..4).map(|i| (format!("s-{i:02}"), i % 2)).collect();
        let mut judge = Judge::new(
            router_simulation::invariant_checker::Figures {
                hedging,
                ..figures()
            },
            &names,
            true,
        );
        for role in [Role::Router(0), Role::Client]
            .into_iter()
            .chain((0..4).map(Role::Server))
        {
            judge.machine(role);
        }
        wire.judge = judge;
        let (client, a, b) = (wire.client(0), wire.server(0, 0), wire.server(0, 1));
        wire.asks(SECOND, client, 1, 0, 100 * MILLI);
        wire.sends(SECOND, a, 1, 0);
        wire.sends(SECOND + 1, b, 1, 0);
        wire.answers(SECOND + 2, client, &served(1));
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
    wire.told(SECOND, watch, health, 0);
    wire.asks(SECOND + after, client, 1, 0, 100 * MILLI);
    wire.sends(SECOND + after, server, 1, 0);
    wire.answers(SECOND + after + 1, client, &served(1));
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
    wire.told(SECOND, watch, "draining", 0);
    wire.told(SECOND + 100 * MILLI, watch, "up", 5);
    wire.asks(2 * SECOND, client, 1, 0, 100 * MILLI);
    wire.sends(2 * SECOND, server, 1, 0);
    wire.answers(2 * SECOND, client, &served(1));
    assert_eq!(wire.rules(3 * SECOND), []);
    // A line of which the last byte is still on its way tells nothing.
    let line = b"{\"seq\":3,\"whole\":false,\"hosts\":[{\"host\":\"s-00\",\"health\":\"draining\",\"born_ms\":5}]}\n";
    wire.judge.written(3 * SECOND, watch, Side::Listener, line);
    wire.judge
        .delivered(3 * SECOND, watch, Side::Listener, line.len() - 1);
    wire.asks(4 * SECOND, client, 2, 0, 100 * MILLI);
    wire.sends(4 * SECOND, server, 2, 0);
    wire.answers(4 * SECOND, client, &served(2));
    assert_eq!(wire.rules(9 * SECOND), []);
}

#[test]
fn what_discovery_has_to_tell_counts_as_told_after_six_seconds() {
    for (after, broken) in [
        (6 * SECOND + 250 * MILLI, false),
        (6 * SECOND + 250 * MILLI + 1, true),
    ] {
        let mut wire = Wire::new();
        let known = r#"{"seq":1,"whole":true,"hosts":[{"host":"s-00","health":"up","born_ms":0}]}"#;
        wire.judge.router_started(0, 0, known);
        let (client, server) = (wire.client(0), wire.server(0, 0));
        wire.judge.listed(SECOND, 0, false, 0);
        wire.asks(SECOND + after, client, 1, 0, 100 * MILLI);
        wire.sends(SECOND + after, server, 1, 0);
        wire.answers(SECOND + after, client, &served(1));
        assert_eq!(wire.rules(20 * SECOND) == [Rule::Drains], broken, "{after}");
    }
}

/// A server starts at 1 s with half of its capacity and is warm 100 s later; the router is told or not; work of so much
/// arrives within the second after which it is pushed over by more than twice its capacity.
fn pushed(work: f64, told: bool) -> (bool, Vec<Rule>) {
    let mut wire = Wire::new();
    let watch = wire.open(0, ROUTER, DISCOVERY);
    wire.judge
        .server_started(SECOND, 0, 77, 0.5, 1_000_000 * SECOND);
    if told {
        wire.told(SECOND, watch, "up", 77);
    }
    let mut fell = false;
    for part in 0..10 {
        fell |= wire
            .judge
            .work_arrived(SECOND + part * 100 * MILLI, 0, 0, work / 10.0);
    }
    (fell, wire.rules(9 * SECOND))
}

#[test]
fn a_cold_server_stands_twice_its_capacity_and_not_more() {
    // Twice half a capacity for one second.
    let stands = 1e6;
    assert_eq!(pushed(stands * 0.999, true), (false, vec![]));
    assert_eq!(pushed(stands * 1.001, true), (true, vec![Rule::Cold]));
    assert_eq!(
        pushed(stands * 1.001, false),
        (true, vec![]),
        "nobody knew of its start"
    );
}

#[test]
fn a_breach_names_its_step_and_shows_the_last_steps_of_its_request() {
    let mut wire = Wire::new();
    let (client, server) = (wire.client(0), wire.server(0, 0));
    wire.asks(SECOND, client, 1, 0, 100 * MILLI);
    wire.sends(SECOND, server, 1, 0);
    wire.answers(SECOND + 121 * MILLI, client, &served(1));
    let breach = &wire.judge.breaches[0];
    assert_eq!((breach.rule, breach.request), (Rule::Answered, Some(1)));
    assert!(breach.step > 0 && breach.step <= wire.judge.steps());
    assert!(
        breach
            .steps
            .iter()
            .any(|step| step.contains("router 0 sends to server 0")),
        "{:?}",
        breach.steps
    );
}

/// Two reads of one key, the second at this time, both answered with what a server made for the first; a write whose
/// attempt goes out at `wrote` and is answered 10 ms later.
fn shared(mut wire: Wire, joins_at: Time, wrote: Option<Time>, class: usize) -> Vec<Rule> {
    let (first, second, writer) = (wire.client(0), wire.client(0), wire.client(0));
    let (server, other) = (wire.server(0, 0), wire.server(0, 1));
    let start = SECOND;
    wire.asks(start, first, 1, 0, SECOND);
    wire.sends(start, server, 1, 0);
    let mut steps: Vec<(Time, u8)> = vec![(joins_at, 0), (start + 100 * MILLI, 3)];
    steps.extend(
        wrote
            .into_iter()
            .flat_map(|at| [(at, 1), (at + 10 * MILLI, 2)]),
    );
    steps.sort_unstable();
    for (at, step) in steps {
        match step {
            0 => wire.asks(at, second, 2, class, SECOND),
            1 => {
                wire.asks(at, writer, 3, 1, SECOND);
                wire.sends(at, other, 3, 1);
            }
            2 => {
                wire.answers(at, other, &served(3));
                wire.answers(at, writer, &served(3));
            }
            _ => wire.answers(at, server, &served(1)),
        }
    }
    wire.answers(start + 200 * MILLI, first, &served(1));
    wire.answers(start + 200 * MILLI, second, &served(1));
    wire.rules(9 * SECOND)
}

#[test]
fn a_shared_answer_is_a_breach_unless_reads_are_joined() {
    let at = SECOND + 50 * MILLI;
    assert_eq!(shared(Wire::joining(), at, None, 0), []);
    assert_eq!(shared(Wire::new(), at, None, 0), [Rule::Answered]);
    assert!(
        shared(Wire::joining(), at, None, 1).contains(&Rule::Joining),
        "a write"
    );
}

#[test]
fn who_asks_when_the_value_is_there_may_not_have_it() {
    assert_eq!(shared(Wire::joining(), SECOND + 100 * MILLI, None, 0), []);
    assert_eq!(
        shared(Wire::joining(), SECOND + 100 * MILLI + 1, None, 0),
        [Rule::Joining]
    );
}

#[test]
fn who_comes_after_a_write_began_may_not_have_what_is_older() {
    let wrote = SECOND + 50 * MILLI;
    assert_eq!(
        shared(Wire::joining(), wrote, Some(wrote), 0),
        [],
        "in one instant, in whichever order"
    );
    assert_eq!(
        shared(Wire::joining(), wrote + 1, Some(wrote), 0),
        [Rule::Joining]
    );
    assert_eq!(
        shared(Wire::joining(), wrote + 20 * MILLI, Some(wrote), 0),
        [Rule::Joining],
        "and after its answer"
    );
}

#[test]
fn two_attempts_for_a_key_may_be_out_and_a_third_is_a_stampede() {
    for (count, broken) in [(2, false), (3, true)] {
        let mut wire = Wire::joining();
        for id in 1..=count {
            let (client, server) = (wire.client(0), wire.server(0, 0));
            wire.asks(SECOND, client, id, 0, 100 * MILLI);
            wire.sends(SECOND, server, id, 0);
        }
        let found = wire
            .judge
            .breaches
            .iter()
            .any(|breach| breach.rule == Rule::Joining);
        assert_eq!(found, broken, "{count}");
    }
}

#[test]
fn an_attempt_that_nobody_waits_for_is_a_breach_and_one_for_those_who_joined_is_none() {
    for others in [false, true] {
        let mut wire = Wire::joining();
        let (first, second, server) = (wire.client(0), wire.client(0), wire.server(0, 0));
        wire.asks(SECOND, first, 1, 0, 100 * MILLI);
        if others {
            wire.asks(SECOND, second, 2, 0, SECOND);
        }
        wire.answers(SECOND + 100 * MILLI, first, b"-BUSY\r\n");
        wire.sends(SECOND + 101 * MILLI, server, 1, 0);
        let found = wire
            .judge
            .breaches
            .iter()
            .any(|breach| breach.rule == Rule::Joining);
        assert_eq!(found, !others);
    }
}
