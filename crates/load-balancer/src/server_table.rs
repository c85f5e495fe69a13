//! The table of servers that a router knows, with its state of each.
//!
//! Endpoint list entries are assigned an index in the table. The index of a server that left the
//! list is reused once no pending request can refer to it, so that the table does not grow beyond
//! the size of the fleet.

use crate::address_ownership::AddressClaim;
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

/// The index of a removed server is reused once nothing was sent to it for this multiple of the
/// longest deadline.
const INDEX_REUSE_RATIO: f64 = 2.0;

/// A router's state of one process of a server.
#[derive(Debug)]
pub(crate) struct Server {
    pub endpoint: Endpoint,
    /// When the process started, on this router's clock; zero for long ago.
    pub started_at: Micros,
    /// When this router first knew of the process.
    pub known_since: Micros,
    /// Its claim to its address.
    pub claim: AddressClaim,
    /// Its positions on the ring; empty for an origin.
    pub ring_positions: Vec<u32>,
    pub is_origin: bool,
    /// Whether its points are on the ring.
    pub is_on_ring: bool,
    /// Whether an operator disabled it.
    pub is_disabled: bool,
    pub limit: ConcurrencyLimit,
    /// A moving average of how long its hits and timed-out attempts take.
    pub typical_latency: Micros,
    /// When it may last have restarted without notice by the endpoint list: it was unreachable, or
    /// an operator enabled it.
    pub possible_restart_at: Micros,
    pub last_sent_at: Micros,
    /// When an attempt was last sent there or last ended.
    pub last_used_at: Micros,
    pub responsiveness: Responsiveness,
    /// During slow start, the fraction of a request's cost that its allowance must have accumulated
    /// before the next request is sent.
    pub slow_start_allowance_needed: f64,
    pub queue: QueueEstimate,
}

impl Server {
    /// Creates the state of a process without observations.
    pub fn new(endpoint: Endpoint, ring_positions: Vec<u32>, limit: ConcurrencyLimit) -> Server {
        Server {
            started_at: Micros(0),
            known_since: Micros(0),
            claim: AddressClaim::default(),
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

    /// What the server may be used for.
    pub fn availability(&self) -> Availability {
        Availability::new(
            self.endpoint.state,
            self.is_disabled,
            self.claim.owns_address,
        )
    }

    /// Whether the server left the endpoint list.
    pub fn is_removed(&self) -> bool {
        self.availability() == Availability::Removed
    }

    /// Whether the server takes new requests.
    pub fn is_accepting(&self) -> bool {
        self.availability() == Availability::Accepting
    }

    /// How long the connection that the next attempt may reuse has been idle; `None` if the next
    /// attempt needs a new connection or shares a busy one.
    pub fn idle_time(&self, now: Micros, connection_idle_timeout: Micros) -> Option<Micros> {
        let idle = now.since(self.last_used_at);
        let has_idle_connection = self.limit.in_flight == 0 && self.last_used_at != Micros(0);
        (has_idle_connection && idle < connection_idle_timeout && idle != Micros(0)).then_some(idle)
    }

    /// Records that an attempt was sent; `interval` is the interval between paced requests, or 0.
    pub fn record_send(&mut self, now: Micros, interval: Micros, is_fetch: bool) {
        self.limit.record_send(now, interval);
        self.last_used_at = now;
        self.last_sent_at = now;
        self.slow_start_allowance_needed = 1.0;
        if !is_fetch {
            self.responsiveness.record_send(now);
        }
    }

    /// Records the end of an attempt: its load report, and whether it shows that the server
    /// responds.
    pub fn record_end(&mut self, end: &AttemptEnd, now: Micros, shortest_objective: Micros) {
        self.last_used_at = now;
        if let Some(report) = end.load {
            self.queue.record_report(now, report);
        }
        self.responsiveness.record_end(end, shortest_objective);
    }

    /// Whether idle connections to the server must be closed: another process has its address, or the
    /// deployment requires that on drains and the server takes no new requests.
    pub fn must_close_idle(&self, rules: &Rules) -> bool {
        let closes_on_drain = rules.drain_close.is_some() && !self.is_accepting();
        closes_on_drain || self.availability() == Availability::AddressTaken
    }

    /// Whether an endpoint list entry names the same process.
    pub fn is_same_process(&self, endpoint: &Endpoint) -> bool {
        self.endpoint.started == endpoint.started && self.endpoint.address == endpoint.address
    }

    /// Whether the server is unresponsive.
    pub fn is_unresponsive(&self, now: Micros, shortest_objective: Micros) -> bool {
        let in_flight = self.limit.in_flight;
        self.responsiveness
            .is_unresponsive(now, in_flight, shortest_objective)
    }
}

/// All servers that a router knows, including those that left the endpoint list a short time ago.
#[derive(Debug, Default)]
pub(crate) struct ServerTable {
    servers: Vec<Server>,
    index_by_name: HashMap<ServerId, usize>,
    /// The mean weight of the accepting cache servers.
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
    /// The number of servers in the table.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// All servers in index order, to be changed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut Server> {
        self.servers.iter_mut()
    }

    /// All servers in index order.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.iter()
    }

    /// The cache servers that take new requests.
    pub fn accepting(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .iter()
            .filter(|server| server.is_accepting() && !server.is_origin)
    }

    /// The index of the server with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.index_by_name.get(name).copied()
    }

    /// Marks all servers as removed, before the entries of a complete endpoint list are applied.
    pub fn mark_all_removed(&mut self) {
        for server in &mut self.servers {
            server.endpoint.state = EndpointState::Removed;
        }
    }

    /// Updates the endpoint of a process that is already in the table; otherwise returns the
    /// endpoint.
    pub fn update_known_process(&mut self, endpoint: Endpoint) -> Option<Endpoint> {
        let index = self.index_of(&endpoint.server.0);
        let known = index.map(|index| &mut self.servers[index]);
        match known.filter(|server| server.is_same_process(&endpoint)) {
            Some(server) => {
                server.endpoint = endpoint;
                None
            }
            None => Some(endpoint),
        }
    }

    /// Chooses the index for a new process of a server: the current index of the server, else that
    /// of a server that was removed by an earlier update and to which nothing was sent for so long that no request can refer to it,
    /// else a new one.
    pub fn choose_index(&self, name: &ServerId, now: Micros, longest_deadline: Micros) -> usize {
        let unused_since = now.since(longest_deadline.scaled(INDEX_REUSE_RATIO));
        let is_unused = |server: &Server| {
            server.is_removed()
                && !server.claim.has_just_left()
                && !server.is_on_ring
                && server.limit.in_flight == 0
                && server.last_sent_at < unused_since
        };
        self.index_of(&name.0)
            .or_else(|| self.servers.iter().position(is_unused))
            .unwrap_or(self.servers.len())
    }

    /// Puts a process at an index and replaces the one that may be there. Attempts in flight to the
    /// replaced process still count at this index until they end, and the points of the same server
    /// stay on the ring.
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

    /// Recomputes the mean weight.
    pub fn update_mean_weight(&mut self) {
        let mut count = 0_u32;
        let mut sum = 0.0;
        for server in self.accepting() {
            count += 1;
            sum += server.endpoint.weight;
        }
        self.mean_weight = sum / f64::from(count.max(1));
    }

    /// The weight of a server relative to the mean weight; 1 if the deployment's weights carry no
    /// information.
    pub fn relative_weight(&self, server: &Server, weight_kind: WeightKind) -> f64 {
        if weight_kind != WeightKind::Unknown && self.mean_weight > 0.0 {
            server.endpoint.weight / self.mean_weight
        } else {
            1.0
        }
    }
}
