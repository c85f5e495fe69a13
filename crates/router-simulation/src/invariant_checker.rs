//! Checks the traffic on the wire, and facts that no router sees, against the rules of the protocol
//! after every step. It shares no code with the router.
//!
//! Time limits are checked to the microsecond. The protocol allows real sockets 50 ms of noise,
//! which simulated sockets do not have.

mod answers;
mod attempts;
mod coalescing;
mod connection;
mod counts;
mod disconnects;
mod drains;
mod effects;
mod request;
mod rule;
mod slow_start;
mod trace;

pub use counts::{Counts, ServiceAfterFaults};
pub use rule::{
    CoalescingParameters, DeduplicationScope, Idempotency, OverloadSlack, Rule, RuleParameters,
    ServerIdentity, Violation,
};
pub use slow_start::ProcessStart;

use crate::executor::{Node, Time};
use crate::network::{CloseKind, Observer, Side};
use coalescing::Coalescing;
use connection::{ClientConnection, Connection, DiscoveryConnection, ServerConnection};
use drains::{Announcement, Drains};
use request::RequestTable;
use slow_start::{ServerProcess, WorkArrival};
use std::collections::{BTreeMap, BTreeSet};
use trace::{StepKind, Trace};

/// The number of violations recorded per run; later ones are discarded.
const MAX_VIOLATION_COUNT: usize = 8;

/// The kind of process that runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The router of this number.
    Router(usize),
    /// The cache server of this number.
    Server(usize),
    /// Any number of clients.
    Client,
    /// The discovery service.
    Discovery,
}

/// Checks one run. The network reports to it through [`Observer`].
pub struct InvariantChecker {
    parameters: RuleParameters,
    roles: Vec<Role>,
    server_zones: Vec<usize>,
    connections: BTreeMap<u32, Connection>,
    requests: RequestTable,
    drains: Drains,
    processes: Vec<ServerProcess>,
    coalescing: Option<Coalescing>,
    trace: Trace,
    /// Totals of the run so far.
    pub counts: Counts,
    /// The number of attempts for reads of crowds, by key. Retries by the clients do not count.
    pub crowd_attempts: BTreeMap<Vec<u8>, u64>,
    /// The first violations of the run.
    pub violations: Vec<Violation>,
    /// Requests served after the faults, if they are to be counted.
    pub after_faults: Option<ServiceAfterFaults>,
}

impl InvariantChecker {
    /// Creates the checker of a run with these servers, in the order of their numbers. Violations
    /// include the last steps of the request if the trace is recorded.
    pub fn new(
        parameters: RuleParameters,
        servers: &[ServerIdentity],
        is_recording: bool,
    ) -> InvariantChecker {
        let numbered = servers.iter().enumerate();
        let server_numbers = numbered.map(|(number, server)| (server.name.clone(), number));
        InvariantChecker {
            roles: Vec::new(),
            server_zones: servers.iter().map(|server| server.zone).collect(),
            connections: BTreeMap::new(),
            requests: RequestTable::new(parameters.answer_grace),
            drains: Drains::new(server_numbers.collect(), parameters.lists_are_pushed),
            processes: servers.iter().map(|_| ServerProcess::default()).collect(),
            coalescing: parameters.coalescing.clone().map(Coalescing::new),
            trace: Trace::new(is_recording),
            counts: Counts::default(),
            crowd_attempts: BTreeMap::new(),
            violations: Vec::new(),
            after_faults: None,
            parameters,
        }
    }

    /// Assigns a role to the next machine of the network.
    pub fn add_machine(&mut self, role: Role) {
        self.roles.push(role);
    }

    /// Returns the number of steps so far.
    pub fn steps(&self) -> u64 {
        self.trace.step_count()
    }

    /// Returns a digest of all steps, which is equal for equal runs.
    pub fn digest(&self) -> u64 {
        self.trace.digest()
    }

    /// Returns the lines of the trace, or none if it is not recorded.
    pub fn trace(&self) -> impl Iterator<Item = String> + '_ {
        self.trace.lines()
    }

    /// Records a violation at a time in microseconds.
    pub fn record_violation(&mut self, rule: Rule, time: Time, request: Option<u64>, text: String) {
        if self.violations.len() >= MAX_VIOLATION_COUNT {
            return;
        }
        let steps = self
            .trace
            .last_lines(request, &self.connections_of(request));
        self.violations.push(Violation {
            rule,
            time,
            step: self.trace.step_count(),
            request,
            text,
            steps,
        });
    }

    /// Returns the client's connection of a request and the connections of its attempts.
    fn connections_of(&self, request: Option<u64>) -> BTreeSet<u32> {
        let Some(request) = request.and_then(|id| self.requests.get(id)) else {
            return BTreeSet::new();
        };
        let attempts = request.attempts.iter().map(|attempt| attempt.connection);
        attempts.chain([request.connection]).collect()
    }

    /// Records that an operator disables a server at a router, or enables it again.
    pub fn server_override_changed(
        &mut self,
        now: Time,
        router: usize,
        server: usize,
        is_disabled: bool,
    ) {
        self.drains
            .override_changed(now, (router, server), is_disabled);
    }

    /// Records that a router starts with this endpoint list in its configuration.
    pub fn router_started(&mut self, now: Time, router: usize, list: &str) {
        self.drains.router_started(now, router, list);
        self.advance(now, 0, StepKind::RouterStarted, &[router as u8]);
        self.trace
            .note(now, 0, None, || format!("router {router} starts"));
    }

    /// Records that a router's process ends. Its clients retry the requests without an answer.
    pub fn router_died(&mut self, now: Time, router: usize) {
        for id in self.requests.unanswered_of(router) {
            self.requests.abandon(id);
        }
        for connection in self.connections.values_mut() {
            match connection {
                Connection::Client(client) if client.router == router => client.is_closing = true,
                _ => {}
            }
        }
        self.advance(now, 0, StepKind::RouterDied, &[router as u8]);
        self.trace
            .note(now, 0, None, || format!("router {router} process ends"));
    }

    /// Records that a cache server's process starts.
    pub fn server_started(&mut self, now: Time, server: usize, start: ProcessStart) {
        self.processes[server] = ServerProcess::started(now, start);
        self.advance(now, 0, StepKind::ServerStarted, &[server as u8]);
        self.trace
            .note(now, 0, None, || format!("server {server} starts"));
    }

    /// Records that work arrives at a cache server, in microseconds at full capacity. Returns
    /// whether the server fails under it.
    pub fn work_arrived(&mut self, now: Time, server: usize, router: usize, work: f64) -> bool {
        let arrival = WorkArrival {
            at: now,
            work,
            router,
        };
        let drains = &self.drains;
        let knows_start = |router, born_ms| drains.knows_start(router, server, born_ms);
        let process = &mut self.processes[server];
        let Some(overload) = process.add_work(&self.parameters, arrival, knows_start) else {
            return false;
        };
        if let Some(text) = overload.check(server) {
            self.record_violation(Rule::SlowStart, now, None, text);
        }
        true
    }

    /// Records that discovery's list has this entry for a server from now on. `born_ms` is Unix
    /// time in milliseconds.
    pub fn endpoint_announced(&mut self, now: Time, server: usize, is_up: bool, born_ms: u64) {
        let announcement = Announcement { is_up, born_ms };
        self.drains.announced(now, server, announcement);
        self.advance(now, 0, StepKind::EndpointAnnounced, &[server as u8]);
    }

    /// Records that discovery stops writing on this connection without closing it.
    pub fn watch_silenced(&mut self, now: Time, connection: u32) {
        if let Some(Connection::Discovery(watch)) = self.connections.get(&connection) {
            self.drains.watch_silenced(now, watch.router, connection);
        }
    }

    fn advance(&mut self, time: Time, connection: u32, kind: StepKind, bytes: &[u8]) {
        self.drains.apply_pending(time);
        self.trace.advance(time, connection, kind, bytes);
        self.check_overdue(time);
    }

    fn new_connection(&self, dialer: Node, listener: Node) -> Connection {
        let role = |node: Node| self.roles[node.0 as usize];
        match (role(dialer), role(listener)) {
            (Role::Client, Role::Router(router)) => {
                Connection::Client(ClientConnection::new(router))
            }
            (Role::Router(router), Role::Server(server)) => {
                Connection::Server(ServerConnection::new(router, server))
            }
            (Role::Router(router), Role::Discovery) => {
                Connection::Discovery(DiscoveryConnection::new(router))
            }
            _ => Connection::Other,
        }
    }

    fn with_connection(
        &mut self,
        id: u32,
        action: impl FnOnce(&mut InvariantChecker, &mut Connection),
    ) {
        if let Some(mut connection) = self.connections.remove(&id) {
            action(self, &mut connection);
            self.connections.insert(id, connection);
        }
    }
}

impl Observer for InvariantChecker {
    fn opened(&mut self, now: Time, id: u32, dialer: Node, listener: Node) {
        let machines = [dialer.0 as u8, listener.0 as u8];
        self.advance(now, id, StepKind::Opened, &machines);
        let connection = self.new_connection(dialer, listener);
        if let Connection::Server(_) = connection {
            self.counts.connections += 1;
        }
        self.trace.note(now, id, None, || {
            format!("opened, {dialer:?} to {listener:?}")
        });
        self.connections.insert(id, connection);
    }

    fn written(&mut self, now: Time, id: u32, side: Side, bytes: &[u8]) {
        let kind = match side {
            Side::Initiator => StepKind::WrittenByDialer,
            Side::Acceptor => StepKind::WrittenByListener,
        };
        self.advance(now, id, kind, bytes);
        self.with_connection(id, |checker, connection| match (connection, side) {
            (Connection::Client(client), Side::Initiator) => {
                checker.client_wrote(now, id, client, bytes);
            }
            (Connection::Client(client), Side::Acceptor) => {
                checker.router_answered(now, id, client, bytes);
            }
            (Connection::Server(server), Side::Initiator) => {
                checker.router_wrote(now, id, server, bytes);
            }
            (Connection::Server(server), Side::Acceptor) => server.in_transit.extend(bytes),
            (Connection::Discovery(watch), Side::Acceptor) => watch.in_transit.extend(bytes),
            (Connection::Discovery(_), Side::Initiator) | (Connection::Other, _) => {}
        });
    }

    fn delivered(&mut self, now: Time, id: u32, side: Side, count: usize) {
        let kind = match side {
            Side::Initiator => StepKind::DeliveredFromDialer,
            Side::Acceptor => StepKind::DeliveredFromListener,
        };
        self.advance(now, id, kind, &count.to_le_bytes());
        self.with_connection(id, |checker, connection| match (connection, side) {
            (Connection::Client(client), Side::Initiator) => {
                checker.commands_arrived(now, id, client, count);
            }
            (Connection::Client(client), Side::Acceptor) => {
                client.answers_arrived(now, count, checker.parameters.receive_window);
            }
            (Connection::Server(server), Side::Acceptor) => {
                checker.reply_arrived(now, id, server, count);
            }
            (Connection::Discovery(watch), Side::Acceptor) => {
                for line in watch.lines_arrived(count) {
                    checker.drains.watch_answered(watch.router, id);
                    checker.drains.apply_list(now, watch.router, &line, false);
                }
            }
            _ => {}
        });
    }

    fn closed(&mut self, now: Time, id: u32, side: Side, how: CloseKind) {
        let kind = match side {
            Side::Initiator => StepKind::ClosedByDialer,
            Side::Acceptor => StepKind::ClosedByListener,
        };
        self.advance(now, id, kind, &[how as u8]);
        self.trace
            .note(now, id, None, || format!("{side:?} closes: {how:?}"));
        self.with_connection(id, |checker, connection| match (connection, side) {
            (Connection::Client(client), side) => {
                let is_by_router = side == Side::Acceptor;
                checker.client_connection_closed(now, id, client, is_by_router);
            }
            (Connection::Server(server), Side::Initiator) => {
                checker.server_connection_closed(id, server);
            }
            _ => {}
        });
    }

    fn close_delivered(&mut self, now: Time, id: u32, side: Side) {
        let kind = match side {
            Side::Initiator => StepKind::CloseOfDialerDelivered,
            Side::Acceptor => StepKind::CloseOfListenerDelivered,
        };
        self.advance(now, id, kind, &[]);
        self.with_connection(id, |checker, connection| match (connection, side) {
            (Connection::Server(server), Side::Acceptor) => {
                checker.server_connection_closed(id, server);
            }
            (Connection::Client(client), Side::Initiator) => {
                checker.client_disconnected(now, client)
            }
            _ => {}
        });
    }

    fn descriptor_limit_reached(&mut self, now: Time, node: Node) {
        self.advance(now, 0, StepKind::OutOfDescriptors, &[node.0 as u8]);
        if let Role::Router(router) = self.roles[node.0 as usize] {
            let text = format!("router {router} has no file descriptors left");
            self.record_violation(Rule::ResourceLimits, now, None, text);
        }
    }
}
