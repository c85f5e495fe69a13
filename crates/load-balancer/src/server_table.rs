//! The server table: what a router knows of each server, and which index a process has.
//!
//! Inputs: entries of the endpoint list, the time (µs). Answer: the index at which a server is kept. Reason: the
//! index of a server that left is reused once no pending request can refer to it, so that the table stays as small
//! as the fleet.

use crate::availability::Availability;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoint::{Endpoint, EndpointState};
use crate::ids::ServerId;
use crate::outlier::Responsiveness;
use crate::queue_estimate::QueueEstimate;
use crate::request::AttemptEnd;
use crate::settings::{Rules, WeightKind};
use crate::time::Micros;
use std::collections::HashMap;
use std::ops::{Index, IndexMut};

/// The index of a server that left is reused once nothing was sent there for this multiple of the longest deadline.
const INDEX_REUSE_RATIO: f64 = 2.0;

/// What a router knows of one process of a server.
#[derive(Debug)]
pub(crate) struct Server {
    pub endpoint: Endpoint,
    /// When it started, on this process's clock; zero for long ago.
    pub started_at: Micros,
    /// Its ring positions; none for an origin.
    pub ring_positions: Vec<u32>,
    pub is_origin: bool,
    /// Whether its points are on the ring.
    pub is_on_ring: bool,
    /// Disabled by an operator.
    pub is_disabled: bool,
    pub limit: ConcurrencyLimit,
    /// How long its hits and time-outs take; a moving average.
    pub typical_latency: Micros,
    /// When it last may have restarted without word from the list: unreachable, or enabled by an operator.
    pub possible_restart_at: Micros,
    pub last_sent_at: Micros,
    /// When something was last sent there or came back.
    pub last_used_at: Micros,
    pub responsiveness: Responsiveness,
    /// During slow start: the part of a request that its allowance must cover before the next is sent.
    pub slow_start_allowance_needed: f64,
    pub queue: QueueEstimate,
}

impl Server {
    /// A process without observations.
    pub fn new(endpoint: Endpoint, ring_positions: Vec<u32>, limit: ConcurrencyLimit) -> Server {
        Server {
            started_at: endpoint.started,
            endpoint,
            ring_positions,
            is_origin: false,
            is_on_ring: false,
            is_disabled: false,
            limit,
            typical_latency: Micros(0),
            possible_restart_at: Micros(0),
            last_sent_at: Micros(0),
            last_used_at: Micros(0),
            responsiveness: Responsiveness::default(),
            slow_start_allowance_needed: 1.0,
            queue: QueueEstimate::new(),
        }
    }

    /// What it may be used for.
    pub fn availability(&self) -> Availability {
        Availability::new(self.endpoint.state, self.is_disabled)
    }

    /// Whether it left the endpoint list.
    pub fn is_removed(&self) -> bool {
        self.availability() == Availability::Removed
    }

    /// Whether it takes new requests.
    pub fn is_accepting(&self) -> bool {
        self.availability() == Availability::Accepting
    }

    /// How long the connection has been idle that its next attempt may reuse; `None` if that is new or busy.
    pub fn idle_time(&self, now: Micros, connection_idle_timeout: Micros) -> Option<Micros> {
        let idle = now.since(self.last_used_at);
        let has_idle_connection = self.limit.in_flight == 0 && self.last_used_at != Micros(0);
        (has_idle_connection && idle < connection_idle_timeout && idle != Micros(0)).then_some(idle)
    }

    /// Records an attempt that takes up `interval` of a pace.
    pub fn record_send(&mut self, now: Micros, interval: Micros, is_fetch: bool) {
        self.limit.record_send(now, interval);
        self.last_used_at = now;
        self.last_sent_at = now;
        self.slow_start_allowance_needed = 1.0;
        if !is_fetch {
            self.responsiveness.record_send(now);
        }
    }

    /// Records the load report of an attempt that ended, and whether it shows that the server responds.
    pub fn record_end(&mut self, end: &AttemptEnd, now: Micros, shortest_objective: Micros) {
        self.last_used_at = now;
        if let Some(report) = end.load {
            self.queue.record_report(now, report);
        }
        self.responsiveness.record_end(end, shortest_objective);
    }

    /// Whether its idle connections must be closed: the deployment asks for it on drains, and it takes nothing new.
    pub fn must_close_idle(&self, rules: &Rules) -> bool {
        rules.drain_close.is_some() && !self.is_accepting()
    }

    /// Whether it does not respond.
    pub fn is_unresponsive(&self, now: Micros, shortest_objective: Micros) -> bool {
        let in_flight = self.limit.in_flight;
        self.responsiveness
            .is_unresponsive(now, in_flight, shortest_objective)
    }
}

/// All servers that a router knows, those included that left the list a short time ago.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<Server>,
    index_by_name: HashMap<ServerId, usize>,
    /// Mean weight of the accepting cache servers.
    mean_weight: f64,
}

impl Index<usize> for ServerTable {
    type Output = Server;

    fn index(&self, index: usize) -> &Server {
        &self.servers[index]
    }
}

impl IndexMut<usize> for ServerTable {
    fn index_mut(&mut self, index: usize) -> &mut Server {
        &mut self.servers[index]
    }
}

impl ServerTable {
    /// Servers in the table.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// All servers, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// The cache servers that take new requests.
    pub fn accepting(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .iter()
            .filter(|server| server.is_accepting() && !server.is_origin)
    }

    /// The index of a server.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// Before a full list: what it leaves out is removed.
    pub fn mark_all_removed(&mut self) {
        for server in &mut self.servers {
            server.endpoint.state = EndpointState::Removed;
        }
    }

    /// Updates the entry of a process that is known; hands the entry of another process back.
    pub fn update_known_process(&mut self, endpoint: Endpoint) -> Option<Endpoint> {
        let index = self.index_of(&endpoint.server.0);
        let known = index.map(|index| &mut self.servers[index]);
        match known.filter(|server| server.endpoint.started == endpoint.started) {
            Some(server) => {
                server.endpoint = endpoint;
                None
            }
            None => Some(endpoint),
        }
    }

    /// The index for a process of a server: that of the server, else that of one which left and was sent nothing for
    /// so long that no request can refer to it, else a new one.
    pub fn choose_index(&self, name: &ServerId, now: Micros, longest_deadline: Micros) -> usize {
        let unused_since = now.since(longest_deadline.scaled(INDEX_REUSE_RATIO));
        let is_unused = |server: &Server| {
            server.is_removed()
                && !server.is_on_ring
                && server.limit.in_flight == 0
                && server.last_sent_at < unused_since
        };
        self.index_of(&name.0)
            .or_else(|| self.servers.iter().position(is_unused))
            .unwrap_or(self.servers.len())
    }

    /// Puts a process at an index, in place of the one that may be there. Attempts in flight to that one still count
    /// here until they end, and points of the same server stay on the ring.
    pub fn replace(&mut self, index: usize, mut server: Server) {
        let name = server.endpoint.server.clone();
        if let Some(old) = self.servers.get(index) {
            server.limit.in_flight = old.limit.in_flight;
            server.is_on_ring = old.is_on_ring && old.endpoint.server == name;
            self.index_by_name.remove(&old.endpoint.server);
            self.servers[index] = server;
        } else {
            self.servers.push(server);
        }
        self.index_by_name.insert(name, index);
    }

    /// Computes the mean weight anew.
    pub fn update_mean_weight(&mut self) {
        let mut count = 0_u32;
        let mut sum = 0.0;
        for server in self.accepting() {
            count += 1;
            sum += server.endpoint.weight;
        }
        self.mean_weight = sum / f64::from(count.max(1));
    }

    /// A server's size as a ratio of the mean; 1 where weights tell nothing.
    pub fn relative_weight(&self, server: &Server, weight_kind: WeightKind) -> f64 {
        if weight_kind != WeightKind::Unknown && self.mean_weight > 0.0 {
            server.endpoint.weight / self.mean_weight
        } else {
            1.0
        }
    }
}
