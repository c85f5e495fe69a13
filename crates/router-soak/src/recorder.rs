//! Reports the events that the fakes see to the simulation's invariant checker.
//!
//! The checker needs to know which bytes have reached the router's machine. On loopback these are
//! the bytes that a fake has written. Two cases are decided here, because sockets do not show them
//! to the checker: a request that crosses the router's close on the wire is not lost, and a reset
//! means that the router left bytes unread.

use crate::plan::SoakPlan;
use router_simulation::executor::{Node, Time};
use router_simulation::fault_plan::CLASSES;
use router_simulation::invariant_checker::{
    DeduplicationScope, Idempotency, InvariantChecker, OverloadSlack, Role, Rule, RuleParameters,
    ServerIdentity, Violation,
};
use router_simulation::network::{CloseKind, Observer, Side};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

const ROUTER: Node = Node(0);
const CLIENTS: Node = Node(1);
const FIRST_SERVER: u32 = 2;
/// Time past its deadline within which a request must be answered; otherwise it counts as lost. In
/// microseconds.
const ANSWER_GRACE: Time = 500_000;
/// The sum of `drain_grace` in the settings, 50 ms of slack for sockets, and the delay that a fake
/// may have between reading bytes and recording them. In microseconds.
const DRAIN_GRACE: Time = 250_000 + 50_000 + 150_000;
/// Slack that time limits get on sockets, in microseconds.
const SOCKET_SLACK: Time = 50_000;
/// A request that was written longer than this before the connection ended in order was read by the
/// router. One that was written later may have crossed the close.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);

/// How a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectionEnd {
    /// By an orderly close.
    Closed,
    /// By a reset.
    Reset,
}

/// Request that is not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRequest {
    pub id: u64,
    pub written_at: Instant,
}

/// Recorder of a run; see the module documentation.
pub(crate) struct Recorder {
    checker: RefCell<InvariantChecker>,
    started: Instant,
    last_connection: Cell<u32>,
    /// IDs of the requests that a cache server has received.
    attempted: RefCell<HashSet<u64>>,
    /// Time until which ended connections are attributed to a process that the soak killed.
    kill_grace_until: Cell<Option<Instant>>,
    discovery: Node,
}

impl Recorder {
    pub fn new(plan: &SoakPlan) -> Recorder {
        let identities: Vec<ServerIdentity> = (0..plan.all_servers())
            .map(|number| ServerIdentity {
                name: server_name(number),
                zone: zone_of(number),
            })
            .collect();
        let mut checker = InvariantChecker::new(rule_parameters(plan), &identities, false);
        checker.add_machine(Role::Router(0));
        checker.add_machine(Role::Client);
        for number in 0..plan.all_servers() {
            checker.add_machine(Role::Server(number));
        }
        checker.add_machine(Role::Discovery);
        Recorder {
            checker: RefCell::new(checker),
            started: Instant::now(),
            last_connection: Cell::new(0),
            attempted: RefCell::default(),
            kill_grace_until: Cell::new(None),
            discovery: Node(FIRST_SERVER + plan.all_servers() as u32),
        }
    }

    fn now(&self) -> Time {
        self.started.elapsed().as_micros() as Time
    }

    fn open(&self, dialer: Node, listener: Node) -> u32 {
        let id = self.last_connection.get() + 1;
        self.last_connection.set(id);
        self.checker
            .borrow_mut()
            .opened(self.now(), id, dialer, listener);
        id
    }

    pub fn client_connected(&self) -> u32 {
        self.open(CLIENTS, ROUTER)
    }

    pub fn server_accepted(&self, server: usize) -> u32 {
        self.open(ROUTER, Node(FIRST_SERVER + server as u32))
    }

    pub fn discovery_accepted(&self) -> u32 {
        self.open(ROUTER, self.discovery)
    }

    /// Records bytes that one side writes. On loopback they reach the other side at once.
    pub fn record_bytes(&self, connection: u32, side: Side, bytes: &[u8]) {
        let now = self.now();
        let mut checker = self.checker.borrow_mut();
        checker.written(now, connection, side, bytes);
        checker.delivered(now, connection, side, bytes.len());
    }

    /// Records that one side ends a connection.
    pub fn record_close(&self, connection: u32, side: Side, how: CloseKind) {
        let now = self.now();
        let mut checker = self.checker.borrow_mut();
        checker.closed(now, connection, side, how);
        checker.close_delivered(now, connection, side);
    }

    /// Records that a cache server has received a complete request.
    pub fn record_attempt(&self, id: u64) {
        self.attempted.borrow_mut().insert(id);
    }

    /// Records that the router has ended a client's connection. Pending requests that it had read
    /// are lost, which is a violation.
    pub fn router_ended(&self, connection: u32, end: ConnectionEnd, pending: &[PendingRequest]) {
        let now = self.now();
        let is_within_kill_grace = self
            .kill_grace_until
            .get()
            .is_some_and(|until| Instant::now() < until);
        for request in pending.iter().filter(|_| !is_within_kill_grace) {
            let was_sent = self.attempted.borrow().contains(&request.id);
            let was_read =
                end == ConnectionEnd::Closed && request.written_at.elapsed() > CLOSE_RACE_WINDOW;
            if was_sent || was_read {
                let text = format!(
                    "lost: the router ended the client connection ({end:?}); forwarded to a cache server: {was_sent}"
                );
                let mut checker = self.checker.borrow_mut();
                checker.record_violation(Rule::Answered, now, Some(request.id), text);
            }
        }
        // The checker does not require answers on a connection that the client has closed, so this
        // avoids reporting the requests twice.
        let mut checker = self.checker.borrow_mut();
        checker.closed(now, connection, Side::Initiator, CloseKind::Fin);
    }

    /// Records that the soak killed a router process, which ends the connections of that process.
    pub fn process_killed(&self, grace: Duration) {
        self.kill_grace_until.set(Some(Instant::now() + grace));
    }

    pub fn router_started(&self, list: &str) {
        let now = self.now();
        self.checker.borrow_mut().router_started(now, 0, list);
    }

    pub fn record_announcement(&self, server: usize, is_up: bool, born_ms: u64) {
        let now = self.now();
        self.checker
            .borrow_mut()
            .endpoint_announced(now, server, is_up, born_ms);
    }

    /// Records that an operator has excluded a server or is about to include it.
    pub fn record_override(&self, server: usize, is_disabled: bool) {
        let now = self.now();
        self.checker
            .borrow_mut()
            .server_override_changed(now, 0, server, is_disabled);
    }

    pub fn watch_silenced(&self, connection: u32) {
        let now = self.now();
        self.checker.borrow_mut().watch_silenced(now, connection);
    }

    /// Records that the router has exceeded a resource limit.
    pub fn record_exceeded_limit(&self, text: String) {
        let now = self.now();
        self.checker
            .borrow_mut()
            .record_violation(Rule::ResourceLimits, now, None, text);
    }

    pub fn violations(&self) -> Vec<Violation> {
        self.checker.borrow().violations.clone()
    }
}

/// Name of a server in the endpoint list.
pub(crate) fn server_name(number: usize) -> String {
    format!("s-{number:02}")
}

/// Zone of a server: servers alternate between two zones.
pub(crate) fn zone_of(number: usize) -> usize {
    number % 2
}

fn rule_parameters(plan: &SoakPlan) -> RuleParameters {
    let window = plan.deduplication_window_ms * 1_000 + SOCKET_SLACK;
    let classes = [
        Idempotency::Idempotent,
        Idempotency::Keyed(DeduplicationScope::All, window),
        Idempotency::Keyed(DeduplicationScope::Zone, window),
        Idempotency::NotIdempotent,
    ];
    let names = CLASSES.map(str::to_string);
    RuleParameters {
        lists_are_pushed: plan.lists_are_pushed,
        classes: names.into_iter().zip(classes).collect::<BTreeMap<_, _>>(),
        answer_grace: ANSWER_GRACE,
        drain_grace: DRAIN_GRACE,
        max_attempts: crate::run::MAX_ATTEMPTS,
        // Closed connections to servers are recorded late, so that two attempts of a request may
        // seem to be in flight at once.
        hedging: true,
        // The fake servers do not fail under load, so the overload rule is disabled.
        overload_multiple: f64::MAX,
        overload_duration: 1,
        receive_window: usize::MAX,
        overload_slack: OverloadSlack::Work(f64::MAX),
        coalescing: None,
        first_crowd_request_id: u64::MAX,
    }
}
