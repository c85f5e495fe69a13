//! TCP and UDP between simulated machines.
//!
//! The network simulates latency, packet loss, segments split at any byte, resets, peers that
//! vanish without closing, and connects that are refused or never answered. For TCP, a lost segment
//! appears as the delay of its retransmission.
//!
//! One [`Observer`] sees all traffic. Everything runs on one thread, and no state is borrowed
//! across an await.

mod conditions;
mod connection;
mod datagram;
mod environment;
mod listener;
mod machine;
mod stream;
mod system_calls;

pub use conditions::{DatagramConditions, NetworkConditions};
pub use datagram::SimulatedDatagramSocket;
pub use environment::SimulatedEnvironment;
pub use listener::SimulatedListener;
pub use stream::{SimulatedStream, SimulatedStreamHalf};
pub use system_calls::SystemCall;

use crate::executor::{Executor, Node, Time};
use crate::rng::SeededRng;
use datagram::ReceiveBuffer;
use listener::Backlog;
use machine::{Machine, MachineStatus};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// One of the two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The end that opened the connection.
    Initiator,
    /// The end that accepted the connection.
    Acceptor,
}

impl Side {
    /// The opposite end.
    pub fn other(self) -> Side {
        match self {
            Side::Initiator => Side::Acceptor,
            Side::Acceptor => Side::Initiator,
        }
    }
}

/// How one end closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseKind {
    /// An orderly close.
    Fin,
    /// A reset, sent by the process or because the process has ended.
    Reset,
    /// No packet is sent, because the machine has vanished.
    Silent,
}

/// Observes the traffic of the network in order. `now` is virtual time in microseconds.
pub trait Observer {
    /// A connection was opened: it is in the acceptor's backlog.
    fn opened(&mut self, now: Time, connection: u32, initiator: Node, acceptor: Node);
    /// The process at this end wrote these bytes, and its machine sends them.
    fn written(&mut self, now: Time, connection: u32, side: Side, bytes: &[u8]);
    /// Bytes that this end wrote have arrived at the other end's machine.
    fn delivered(&mut self, now: Time, connection: u32, side: Side, count: usize);
    /// This end closed the connection.
    fn closed(&mut self, now: Time, connection: u32, side: Side, kind: CloseKind);
    /// The FIN or reset from this end has arrived at the other end's machine.
    fn close_delivered(&mut self, now: Time, connection: u32, side: Side);
    /// A process reached its descriptor limit and was refused another one.
    fn descriptor_limit_reached(&mut self, now: Time, node: Node);
}

/// The mutable state of a network.
struct NetworkState {
    machines: Vec<Machine>,
    listeners: BTreeMap<SocketAddr, Rc<Backlog>>,
    /// The machine of each address that a process has ever listened on.
    nodes_by_address: BTreeMap<SocketAddr, Node>,
    receive_buffers: BTreeMap<SocketAddr, Rc<ReceiveBuffer>>,
    /// For each zone that was isolated, when its isolation ends.
    isolated_until: BTreeMap<usize, Time>,
    conditions: NetworkConditions,
    last_connection_id: u32,
    rng: SeededRng,
}

impl NetworkState {
    fn zone(&self, node: Node) -> usize {
        self.machines[node.0 as usize].zone
    }

    fn isolated_until(&self, zone: usize) -> Time {
        self.isolated_until.get(&zone).copied().unwrap_or(0)
    }
}

/// The simulated network of a run.
#[derive(Clone)]
pub struct Network {
    executor: Executor,
    state: Rc<RefCell<NetworkState>>,
    observer: Rc<RefCell<dyn Observer>>,
    /// The instant at virtual time 0.
    epoch: Instant,
}

impl Network {
    /// A network without machines.
    pub fn new(
        executor: Executor,
        observer: Rc<RefCell<dyn Observer>>,
        conditions: NetworkConditions,
        rng: SeededRng,
    ) -> Network {
        let state = NetworkState {
            machines: Vec::new(),
            listeners: BTreeMap::new(),
            nodes_by_address: BTreeMap::new(),
            receive_buffers: BTreeMap::new(),
            isolated_until: BTreeMap::new(),
            conditions,
            last_connection_id: 0,
            rng,
        };
        Network {
            executor,
            state: Rc::new(RefCell::new(state)),
            observer,
            epoch: Instant::now(),
        }
    }

    /// Adds a machine to a zone. Its process can hold `descriptor_limit` connections.
    pub fn add_machine(&self, zone: usize, descriptor_limit: usize) -> Node {
        let mut state = self.state.borrow_mut();
        state.machines.push(Machine::new(zone, descriptor_limit));
        Node(state.machines.len() as u32 - 1)
    }

    /// The environment in which a process on this machine runs.
    pub fn environment(&self, node: Node) -> SimulatedEnvironment {
        SimulatedEnvironment {
            network: self.clone(),
            node,
        }
    }

    /// The number of connections that the machine's process holds.
    pub fn open_connections(&self, node: Node) -> usize {
        self.with_machine(node, |machine| machine.descriptor_count)
    }

    /// Ends the process of a machine. Its connections are reset, or end without a packet if the
    /// machine vanishes as well.
    pub fn kill(&self, node: Node, vanishes: bool) {
        let status = if vanishes {
            MachineStatus::Vanished
        } else {
            MachineStatus::ProcessEnding
        };
        self.with_machine(node, |machine| machine.status = status);
        self.executor.kill(node);
        self.with_machine(node, |machine| {
            machine.incarnation += 1;
            if !vanishes {
                machine.status = MachineStatus::Running;
            }
        });
    }

    /// Restores a machine that vanished, with no process on it.
    pub fn restore(&self, node: Node) {
        self.with_machine(node, |machine| machine.status = MachineStatus::Running);
    }

    /// Leaves connection attempts to this machine unanswered until this time.
    pub fn ignore_connects(&self, node: Node, until: Time) {
        self.with_machine(node, |machine| machine.ignores_connects_until = until);
    }

    /// Delays connection attempts to this machine by `delay` microseconds until a time.
    pub fn delay_connects(&self, node: Node, until: Time, delay: Time) {
        self.with_machine(node, |machine| {
            machine.connects_delayed_until = until;
            machine.connect_delay = delay;
        });
    }

    /// Sets how many bytes this machine receives on a connection before its process reads them.
    pub fn set_receive_window(&self, node: Node, bytes: usize) {
        self.with_machine(node, |machine| machine.receive_window = Some(bytes));
    }

    /// Sets the offset of a machine's wall clock from the true time, in microseconds.
    pub fn set_clock(&self, node: Node, offset: i64) {
        self.with_machine(node, |machine| machine.clock_offset = offset);
    }

    /// Partitions a zone from all others until this time.
    pub fn isolate_zone(&self, zone: usize, until: Time) {
        self.state.borrow_mut().isolated_until.insert(zone, until);
    }

    /// Listens on an address of a machine.
    pub fn listen(&self, node: Node, address: SocketAddr) -> SimulatedListener {
        let backlog = Rc::new(Backlog::new(node));
        let mut state = self.state.borrow_mut();
        state.listeners.insert(address, backlog.clone());
        state.nodes_by_address.insert(address, node);
        SimulatedListener::new(self, address, backlog)
    }

    fn with_machine<T>(&self, node: Node, action: impl FnOnce(&mut Machine) -> T) -> T {
        let mut state = self.state.borrow_mut();
        action(&mut state.machines[node.0 as usize])
    }

    fn next_connection_id(&self) -> u32 {
        let mut state = self.state.borrow_mut();
        state.last_connection_id += 1;
        state.last_connection_id
    }

    /// How many bytes a machine receives on a connection before its process reads them.
    fn receive_window(&self, node: Node) -> usize {
        let state = self.state.borrow();
        let own = state.machines[node.0 as usize].receive_window;
        own.unwrap_or(state.conditions.receive_window)
    }

    /// Draws the byte at which a write is split into two segments; 0 means that it is not split.
    fn draw_split(&self, count: usize) -> usize {
        let state = &mut *self.state.borrow_mut();
        if count > 1 && state.rng.chance(state.conditions.split_ratio) {
            state.rng.range(1, count as u64 - 1) as usize
        } else {
            0
        }
    }

    /// Whether two machines are in different zones, at least one of which is isolated.
    fn are_partitioned(&self, from: Node, to: Node) -> bool {
        let state = self.state.borrow();
        let from_zone = state.zone(from);
        let to_zone = state.zone(to);
        let isolated_until = state
            .isolated_until(from_zone)
            .max(state.isolated_until(to_zone));
        from_zone != to_zone && isolated_until > self.executor.now()
    }

    /// When a packet that is sent now arrives; `None` if either machine has vanished. A lost packet
    /// is sent again after `retransmission_timeout`. A packet between partitioned zones is sent
    /// again that long after the partition ends.
    fn arrival_time(&self, from: Node, to: Node, retransmission_timeout: Time) -> Option<Time> {
        let now = self.executor.now();
        let state = &mut *self.state.borrow_mut();
        let has_vanished =
            |node: Node| state.machines[node.0 as usize].status == MachineStatus::Vanished;
        if has_vanished(from) || has_vanished(to) {
            return None;
        }
        let from_zone = state.zone(from);
        let to_zone = state.zone(to);
        let is_within_zone = from_zone == to_zone;
        let conditions = state.conditions;
        let base = if is_within_zone {
            conditions.latency_within_zone
        } else {
            conditions.latency_between_zones
        };
        let jitter = 1.0 + conditions.jitter_ratio * state.rng.unit();
        let mut latency = (base as f64 * jitter) as Time + 1;
        if conditions.loss_ratio > 0.0 && state.rng.chance(conditions.loss_ratio) {
            latency += retransmission_timeout;
        }
        let isolated_until = state
            .isolated_until(from_zone)
            .max(state.isolated_until(to_zone));
        if !is_within_zone && isolated_until > now {
            Some(isolated_until + retransmission_timeout + latency)
        } else {
            Some(now + latency)
        }
    }
}
