//! TCP between simulated machines, as PROTOCOL and the tests on real sockets know it: latency, loss as delay, segments
//! cut at any byte, resets, half-open peers that say nothing, connects that are refused or never come up.
//!
//! What passes is shown to one [`Observer`]: the invariant checker's only source.

use crate::executor::{Executor, Node, Time};
use crate::rng::SeededRng;
use bytes::{Buf, Bytes, BytesMut};
use router_runtime::environment;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::future::{Future, poll_fn};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A lost segment comes this much later: the least retransmission time-out of common stacks.
const RETRANSMIT: Time = 200_000;
/// A lost SYN is sent again after this long (RFC 6298, section 2).
const RETRANSMIT_SYN: Time = 1_000_000;
/// One of the two ends of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Side {
    /// The one that connected.
    Dialer,
    /// The one that was connected to.
    Listener,
}

impl Side {
    /// The opposite one.
    pub fn other(self) -> Side {
        match self {
            Side::Dialer => Side::Listener,
            Side::Listener => Side::Dialer,
        }
    }
}

/// How one end left a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseKind {
    /// An orderly end.
    Fin,
    /// A reset, by the process or because it died.
    Reset,
    /// Without a word: its machine vanished.
    Silent,
}

/// What passes on the wire, in the order in which it does.
pub trait Observer {
    /// A machine took a connection.
    fn opened(&mut self, now: Time, connection: u32, dialer: Node, listener: Node);
    /// One end gave these bytes to its machine, which sends them.
    fn written(&mut self, now: Time, connection: u32, side: Side, bytes: &[u8]);
    /// Bytes of this end have come to the other's machine.
    fn delivered(&mut self, now: Time, connection: u32, side: Side, count: usize);
    /// This end has left.
    fn closed(&mut self, now: Time, connection: u32, side: Side, how: CloseKind);
    /// The end or the reset of this end has come to the other's machine.
    fn close_delivered(&mut self, now: Time, connection: u32, side: Side);
    /// A process asked for a descriptor that it may not have.
    fn out_of_descriptors(&mut self, now: Time, node: Node);
}

/// The network conditions of a network, drawn for each run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NetworkConditions {
    /// One way within a zone and between two, in microseconds.
    pub latency_within_zone: Time,
    /// See `latency_within_zone`.
    pub latency_between_zones: Time,
    /// A latency varies by up to this share.
    pub jitter_ratio: f64,
    /// The share of segments that is lost once.
    pub loss_ratio: f64,
    /// The share of writes that is cut at a drawn byte.
    pub split_ratio: f64,
    /// Bytes that may be on the way or unread in one direction.
    pub window: usize,
    /// What becomes of datagrams.
    pub datagrams: DatagramConditions,
}

/// What becomes of datagrams; shares of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramConditions {
    /// Never arrive.
    pub lost: f64,
    /// Arrive twice.
    pub duplicate_ratio: f64,
    /// Are held up for so long, in microseconds, and overtaken by later ones.
    pub late: (f64, Time),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Power {
    On,
    /// Its process is dying: its connections are reset.
    Dying,
    /// The machine has vanished.
    Off,
}

struct Machine {
    zone: usize,
    power: Power,
    /// Counts its lives: what was sent to an earlier one finds nobody.
    incarnation: u32,
    open: usize,
    limit: usize,
    /// Connects to it never come up until then.
    deaf_until: Time,
    /// Connects to it come up so much later until then.
    late: (Time, Time),
    /// Its wall clock against the true time, in microseconds.
    clock_offset: i64,
    /// Bytes that it takes without their being read; none: as the network conditions has it.
    window: Option<usize>,
}

struct State {
    machines: Vec<Machine>,
    listeners: BTreeMap<SocketAddr, Rc<Waiting>>,
    nodes_by_address: BTreeMap<SocketAddr, Node>,
    datagrams: BTreeMap<SocketAddr, Rc<Mailbox>>,
    /// Zones cut off from all others until then.
    cuts: BTreeMap<usize, Time>,
    conditions: NetworkConditions,
    last_connection_id: u32,
    rng: SeededRng,
}

/// Datagrams that wait on a socket: at most so many, further ones are lost as in a full socket buffer.
const MAILBOX: usize = 256;
/// The longest datagram that UDP over IPv4 carries (RFC 768, RFC 791).
const LONGEST_DATAGRAM: usize = 65_507;

/// A UDP socket's buffer.
struct Mailbox {
    node: Node,
    queue: RefCell<VecDeque<(Bytes, SocketAddr)>>,
    waker: RefCell<Option<Waker>>,
}

/// Connections that a machine has taken and its process has not.
struct Waiting {
    node: Node,
    queue: RefCell<VecDeque<SimulatedStream>>,
    waker: RefCell<Option<Waker>>,
}

/// The network of one world.
#[derive(Clone)]
pub struct Network {
    executor: Executor,
    state: Rc<RefCell<State>>,
    observer: Rc<RefCell<dyn Observer>>,
    epoch: Instant,
}

#[derive(Debug)]
enum Packet {
    Data(Bytes),
    Fin,
    Reset,
}

/// One direction of a connection.
#[derive(Default)]
struct Pipe {
    on_the_way: VecDeque<(Time, Packet)>,
    last_at: Time,
    buffer: BytesMut,
    /// On the way or unread.
    unread: usize,
    ended: bool,
    reset: bool,
    /// Its writer has sent its last.
    writer_left: bool,
    /// Nobody reads any more.
    reader_left: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

struct Connection {
    id: u32,
    nodes: [Node; 2],
    incarnations: [u32; 2],
    pipes: [RefCell<Pipe>; 2],
}

fn side_index(side: Side) -> usize {
    match side {
        Side::Dialer => 0,
        Side::Listener => 1,
    }
}

/// One end of a connection.
pub struct SimulatedStream {
    network: Network,
    connection: Rc<Connection>,
    side: Side,
    /// Its process has it, and it counts as a descriptor.
    holds_descriptor: Cell<bool>,
}

impl Network {
    /// A network without machines.
    pub fn new(
        executor: Executor,
        observer: Rc<RefCell<dyn Observer>>,
        conditions: NetworkConditions,
        rng: SeededRng,
    ) -> Network {
        let state = State {
            machines: Vec::new(),
            listeners: BTreeMap::new(),
            nodes_by_address: BTreeMap::new(),
            datagrams: BTreeMap::new(),
            cuts: BTreeMap::new(),
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

    /// Adds a machine whose process may hold so many connections.
    pub fn add_machine(&self, zone: usize, limit: usize) -> Node {
        let mut state = self.state.borrow_mut();
        let power = Power::On;
        state.machines.push(Machine {
            zone,
            power,
            incarnation: 0,
            open: 0,
            limit,
            deaf_until: 0,
            late: (0, 0),
            clock_offset: 0,
            window: None,
        });
        Node(state.machines.len() as u32 - 1)
    }

    /// The machine's view of the world.
    pub fn environment(&self, node: Node) -> SimulatedEnvironment {
        SimulatedEnvironment {
            network: self.clone(),
            node,
        }
    }

    /// Connections that the process of a machine holds.
    pub fn open(&self, node: Node) -> usize {
        self.state.borrow().machines[node.0 as usize].open
    }

    /// Ends the process of a machine. Its peers are told by resets, or not at all if the machine vanishes.
    pub fn kill(&self, node: Node, vanishes: bool) {
        self.set_power(node, if vanishes { Power::Off } else { Power::Dying });
        self.executor.kill(node);
        let mut state = self.state.borrow_mut();
        let machine = &mut state.machines[node.0 as usize];
        machine.incarnation += 1;
        if !vanishes {
            machine.power = Power::On;
        }
    }

    /// Brings a machine that vanished back, with no process on it.
    pub fn restore(&self, node: Node) {
        self.set_power(node, Power::On);
    }

    fn set_power(&self, node: Node, power: Power) {
        self.state.borrow_mut().machines[node.0 as usize].power = power;
    }

    /// Connects to this machine do not come up before this time.
    pub fn ignore_connects(&self, node: Node, until: Time) {
        self.state.borrow_mut().machines[node.0 as usize].deaf_until = until;
    }

    /// Until a time, connects to this machine come up so much later.
    pub fn delay_connects(&self, node: Node, until: Time, by: Time) {
        self.state.borrow_mut().machines[node.0 as usize].late = (until, by);
    }

    /// Connections to this machine take so many bytes without their being read.
    pub fn set_receive_window(&self, node: Node, window: usize) {
        self.state.borrow_mut().machines[node.0 as usize].window = Some(window);
    }

    /// Cuts a zone off from all others until this time.
    pub fn isolate_zone(&self, zone: usize, until: Time) {
        self.state.borrow_mut().cuts.insert(zone, until);
    }

    /// Listens at an address of a machine.
    pub fn listen(&self, node: Node, address: SocketAddr) -> SimulatedListener {
        let waiting = Rc::new(Waiting {
            node,
            queue: RefCell::default(),
            waker: RefCell::default(),
        });
        let mut state = self.state.borrow_mut();
        state.listeners.insert(address, waiting.clone());
        state.nodes_by_address.insert(address, node);
        SimulatedListener {
            network: self.clone(),
            address,
            waiting,
        }
    }

    /// Steps the wall clock of a machine: so far from the true time, in microseconds.
    pub fn set_clock(&self, node: Node, offset: i64) {
        self.state.borrow_mut().machines[node.0 as usize].clock_offset = offset;
    }

    /// Hands a datagram to the network: it arrives, late, twice or not at all.
    fn send_datagram(&self, from: (Node, SocketAddr), bytes: &[u8], to: SocketAddr) {
        let Some(mailbox) = self.state.borrow().datagrams.get(&to).cloned() else {
            return;
        };
        let conditions = self.state.borrow().conditions.datagrams;
        let (copies, is_cut) = {
            let state = &mut *self.state.borrow_mut();
            let zone = |node: Node| state.machines[node.0 as usize].zone;
            let (a, b, now) = (zone(from.0), zone(mailbox.node), self.executor.now());
            let cut = |zone: usize| state.cuts.get(&zone).is_some_and(|&until| until > now);
            let lost = state.rng.chance(conditions.lost);
            let copies = if lost {
                0
            } else {
                1 + usize::from(state.rng.chance(conditions.duplicate_ratio))
            };
            (copies, a != b && (cut(a) || cut(b)))
        };
        // Nobody sends a datagram again.
        for _ in 0..if is_cut { 0 } else { copies } {
            let Some(mut at) = self.arrival(from.0, mailbox.node, 0) else {
                continue;
            };
            let mut state = self.state.borrow_mut();
            if state.rng.chance(conditions.late.0) {
                at += state.rng.range(1, conditions.late.1);
            }
            drop(state);
            let (network, to, sent) = (
                self.clone(),
                mailbox.clone(),
                (Bytes::copy_from_slice(bytes), from.1),
            );
            self.executor
                .call_at(at, move || network.deliver_datagram(&to, sent));
        }
    }

    fn deliver_datagram(&self, to: &Mailbox, sent: (Bytes, SocketAddr)) {
        if self.state.borrow().machines[to.node.0 as usize].power != Power::On {
            return;
        }
        let mut queue = to.queue.borrow_mut();
        if queue.len() < MAILBOX {
            queue.push_back(sent);
        }
        drop(queue);
        let waker = to.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
    }

    /// When what is sent now arrives; none if it never does.
    fn arrival(&self, from: Node, to: Node, again: Time) -> Option<Time> {
        let now = self.executor.now();
        let state = &mut *self.state.borrow_mut();
        let (a, b) = (
            &state.machines[from.0 as usize],
            &state.machines[to.0 as usize],
        );
        if a.power == Power::Off || b.power == Power::Off {
            return None;
        }
        let (latency_within_zone, conditions) = (a.zone == b.zone, state.conditions);
        let base = if latency_within_zone {
            conditions.latency_within_zone
        } else {
            conditions.latency_between_zones
        } as f64;
        let mut time = (base * (1.0 + conditions.jitter_ratio * state.rng.unit())) as Time + 1;
        if conditions.loss_ratio > 0.0 && state.rng.chance(conditions.loss_ratio) {
            time += again;
        }
        let cut = |zone: usize| state.cuts.get(&zone).copied().unwrap_or(0);
        let healed = if latency_within_zone {
            0
        } else {
            cut(a.zone).max(cut(b.zone))
        };
        Some(if healed > now {
            healed + again + time
        } else {
            now + time
        })
    }

    fn send(&self, connection: &Rc<Connection>, side: Side, packet: Packet) {
        let (from, to) = (
            connection.nodes[side_index(side)],
            connection.nodes[side_index(side.other())],
        );
        let Some(at) = self.arrival(from, to, RETRANSMIT) else {
            return;
        };
        let mut pipe = connection.pipes[side_index(side)].borrow_mut();
        let at = at.max(pipe.last_at);
        pipe.last_at = at;
        pipe.on_the_way.push_back((at, packet));
        drop(pipe);
        let (network, connection) = (self.clone(), connection.clone());
        self.executor
            .call_at(at, move || network.deliver(&connection, side));
    }

    /// Hands over what has arrived of this side's.
    fn deliver(&self, connection: &Rc<Connection>, side: Side) {
        let now = self.executor.now();
        let receiver = side_index(side.other());
        let is_there = {
            let state = self.state.borrow();
            let machine = &state.machines[connection.nodes[receiver].0 as usize];
            machine.power != Power::Off
        };
        let mut answer_reset = false;
        let mut wakers = Vec::new();
        {
            let mut pipe = connection.pipes[side_index(side)].borrow_mut();
            while pipe.on_the_way.front().is_some_and(|&(at, _)| at <= now) {
                let Some((_, packet)) = pipe.on_the_way.pop_front() else {
                    break;
                };
                if !is_there {
                    continue;
                }
                let mut observer = self.observer.borrow_mut();
                match packet {
                    Packet::Data(_) if pipe.reader_left => answer_reset = true,
                    Packet::Data(bytes) => {
                        observer.delivered(now, connection.id, side, bytes.len());
                        pipe.buffer.extend_from_slice(&bytes);
                    }
                    Packet::Fin => {
                        pipe.ended = true;
                        observer.close_delivered(now, connection.id, side);
                    }
                    Packet::Reset => {
                        pipe.reset = true;
                        observer.close_delivered(now, connection.id, side);
                    }
                }
            }
            wakers.extend(pipe.reader.take());
        }
        if connection.pipes[side_index(side)].borrow().reset {
            wakers.extend(connection.pipes[receiver].borrow_mut().writer.take());
        }
        wakers.into_iter().for_each(Waker::wake);
        if answer_reset {
            connection.pipes[receiver].borrow_mut().writer_left = true;
            self.send(connection, side.other(), Packet::Reset);
        }
    }

    /// Opens a connection from a machine.
    async fn dial(&self, from: Node, to: SocketAddr) -> io::Result<SimulatedStream> {
        let descriptor = self.take_descriptor(from)?;
        loop {
            let node = self.state.borrow().nodes_by_address.get(&to).copied();
            let Some(node) = node else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let Some(at) = self.arrival(from, node, RETRANSMIT_SYN) else {
                // It is sent again as long as anybody waits for it.
                self.executor.sleep(RETRANSMIT_SYN).await;
                continue;
            };
            self.executor.sleep_until(at).await;
            let (is_on, deaf_until) = {
                let state = self.state.borrow();
                let machine = &state.machines[node.0 as usize];
                (machine.power != Power::Off, machine.deaf_until)
            };
            if !is_on || deaf_until > self.executor.now() {
                self.executor.sleep(RETRANSMIT_SYN).await;
                continue;
            }
            let (late_until, late_by) = self.state.borrow().machines[node.0 as usize].late;
            if late_until > self.executor.now() {
                self.executor.sleep(late_by).await;
            }
            let waiting = self.state.borrow().listeners.get(&to).cloned();
            let opened = waiting.map(|waiting| self.open_conn(from, waiting));
            let back = self.arrival(node, from, RETRANSMIT).unwrap_or(Time::MAX);
            self.executor.sleep_until(back).await;
            let Some(stream) = opened else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            descriptor.hand_over(&stream);
            return Ok(stream);
        }
    }

    fn open_conn(&self, from: Node, waiting: Rc<Waiting>) -> SimulatedStream {
        let connection = {
            let mut state = self.state.borrow_mut();
            state.last_connection_id += 1;
            let incarnation = |node: Node| state.machines[node.0 as usize].incarnation;
            let (nodes, incarnations) = (
                [from, waiting.node],
                [incarnation(from), incarnation(waiting.node)],
            );
            Rc::new(Connection {
                id: state.last_connection_id,
                nodes,
                incarnations,
                pipes: Default::default(),
            })
        };
        self.observer
            .borrow_mut()
            .opened(self.executor.now(), connection.id, from, waiting.node);
        let end = |side| SimulatedStream {
            network: self.clone(),
            connection: connection.clone(),
            side,
            holds_descriptor: Cell::new(false),
        };
        waiting.queue.borrow_mut().push_back(end(Side::Listener));
        let waker = waiting.waker.borrow_mut().take();
        waker.into_iter().for_each(Waker::wake);
        end(Side::Dialer)
    }

    fn take_descriptor(&self, node: Node) -> io::Result<Descriptor> {
        let mut state = self.state.borrow_mut();
        let machine = &mut state.machines[node.0 as usize];
        if machine.open >= machine.limit {
            drop(state);
            self.observer
                .borrow_mut()
                .out_of_descriptors(self.executor.now(), node);
            return Err(io::Error::other("too many open files"));
        }
        machine.open += 1;
        Ok(Descriptor {
            network: Some(self.clone()),
            node,
        })
    }
}

/// One descriptor of a process, given back when dropped.
struct Descriptor {
    network: Option<Network>,
    node: Node,
}

impl Descriptor {
    /// Leaves it to the stream.
    fn hand_over(mut self, stream: &SimulatedStream) {
        self.network = None;
        stream.holds_descriptor.set(true);
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let Some(network) = &self.network else { return };
        let mut state = network.state.borrow_mut();
        let machine = &mut state.machines[self.node.0 as usize];
        machine.open = machine.open.saturating_sub(1);
    }
}

/// A listening socket; dropped, what waits on it is reset.
pub struct SimulatedListener {
    network: Network,
    address: SocketAddr,
    waiting: Rc<Waiting>,
}

impl SimulatedListener {
    /// The next connection.
    pub async fn accept(&self) -> io::Result<SimulatedStream> {
        let stream = poll_fn(
            |context| match self.waiting.queue.borrow_mut().pop_front() {
                Some(stream) => Poll::Ready(stream),
                None => {
                    *self.waiting.waker.borrow_mut() = Some(context.waker().clone());
                    Poll::Pending
                }
            },
        )
        .await;
        match self.network.take_descriptor(self.waiting.node) {
            Ok(descriptor) => {
                descriptor.hand_over(&stream);
                Ok(stream)
            }
            Err(error) => {
                self.waiting.queue.borrow_mut().push_front(stream);
                Err(error)
            }
        }
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        let mut state = self.network.state.borrow_mut();
        // A later process may listen there already.
        if state
            .listeners
            .get(&self.address)
            .is_some_and(|waiting| Rc::ptr_eq(waiting, &self.waiting))
        {
            state.listeners.remove(&self.address);
        }
        drop(state);
        let left = std::mem::take(&mut *self.waiting.queue.borrow_mut());
        drop(left);
    }
}

impl SimulatedStream {
    /// The connection's number.
    pub fn id(&self) -> u32 {
        self.connection.id
    }

    /// The machine at the other end.
    pub fn peer(&self) -> Node {
        self.connection.nodes[side_index(self.side.other())]
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        self.leave(CloseKind::Reset);
    }

    fn leave(&self, how: CloseKind) {
        let (mine, theirs) = (side_index(self.side), side_index(self.side.other()));
        let was_over = {
            let mut pipe = self.connection.pipes[theirs].borrow_mut();
            pipe.buffer = BytesMut::new();
            std::mem::replace(&mut pipe.reader_left, true)
        };
        if was_over {
            return;
        }
        if self.holds_descriptor.replace(false) {
            drop(Descriptor {
                network: Some(self.network.clone()),
                node: self.connection.nodes[mine],
            });
        }
        let now = self.network.executor.now();
        self.network
            .observer
            .borrow_mut()
            .closed(now, self.connection.id, self.side, how);
        let had_ended = std::mem::replace(
            &mut self.connection.pipes[mine].borrow_mut().writer_left,
            true,
        );
        match how {
            CloseKind::Fin if !had_ended => {
                self.network.send(&self.connection, self.side, Packet::Fin)
            }
            CloseKind::Reset => self
                .network
                .send(&self.connection, self.side, Packet::Reset),
            CloseKind::Fin | CloseKind::Silent => {}
        }
    }

    fn poll_read_into(
        &self,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut pipe = self.connection.pipes[side_index(self.side.other())].borrow_mut();
        if !pipe.buffer.is_empty() {
            let count = to.remaining().min(pipe.buffer.len());
            to.put_slice(&pipe.buffer[..count]);
            pipe.buffer.advance(count);
            pipe.unread -= count;
            let writer = pipe.writer.take();
            drop(pipe);
            writer.into_iter().for_each(Waker::wake);
            return Poll::Ready(Ok(()));
        }
        if pipe.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if pipe.ended {
            return Poll::Ready(Ok(()));
        }
        pipe.reader = Some(context.waker().clone());
        Poll::Pending
    }

    fn poll_write_from(&self, context: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        if self.connection.pipes[side_index(self.side.other())]
            .borrow()
            .reset
        {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let window = {
            let state = self.network.state.borrow();
            let receiver = self.connection.nodes[side_index(self.side.other())];
            state.machines[receiver.0 as usize]
                .window
                .unwrap_or(state.conditions.window)
        };
        let count = {
            let mut pipe = self.connection.pipes[side_index(self.side)].borrow_mut();
            if pipe.writer_left {
                return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
            }
            let room = window.saturating_sub(pipe.unread);
            if room == 0 {
                pipe.writer = Some(context.waker().clone());
                return Poll::Pending;
            }
            let count = room.min(from.len());
            pipe.unread += count;
            count
        };
        let now = self.network.executor.now();
        self.network.observer.borrow_mut().written(
            now,
            self.connection.id,
            self.side,
            &from[..count],
        );
        let cut = {
            let mut state = self.network.state.borrow_mut();
            let split_ratio = state.conditions.split_ratio;
            if count > 1 && state.rng.chance(split_ratio) {
                state.rng.range(1, count as u64 - 1) as usize
            } else {
                0
            }
        };
        let bytes = Bytes::copy_from_slice(&from[..count]);
        if cut > 0 {
            self.network.send(
                &self.connection,
                self.side,
                Packet::Data(bytes.slice(..cut)),
            );
        }
        self.network.send(
            &self.connection,
            self.side,
            Packet::Data(bytes.slice(cut..)),
        );
        Poll::Ready(Ok(count))
    }

    fn poll_end(&self) -> Poll<io::Result<()>> {
        let had_ended = std::mem::replace(
            &mut self.connection.pipes[side_index(self.side)]
                .borrow_mut()
                .writer_left,
            true,
        );
        if !had_ended {
            self.network.send(&self.connection, self.side, Packet::Fin);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        let mine = side_index(self.side);
        let power = {
            let state = self.network.state.borrow();
            let machine = &state.machines[self.connection.nodes[mine].0 as usize];
            if machine.incarnation == self.connection.incarnations[mine] {
                machine.power
            } else {
                Power::Off
            }
        };
        let unread = !self.connection.pipes[side_index(self.side.other())]
            .borrow()
            .buffer
            .is_empty();
        self.leave(match power {
            Power::Off => CloseKind::Silent,
            Power::Dying => CloseKind::Reset,
            Power::On if unread || !self.holds_descriptor.get() => CloseKind::Reset,
            Power::On => CloseKind::Fin,
        });
    }
}

/// Both kinds of use: whole and as halves.
macro_rules! as_socket {
    ($name:ty, $stream:ident => $inner:expr) => {
        impl AsyncRead for $name {
            fn poll_read(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                to: &mut ReadBuf<'_>,
            ) -> Poll<io::Result<()>> {
                let $stream = &*self;
                $inner.poll_read_into(context, to)
            }
        }

        impl AsyncWrite for $name {
            fn poll_write(
                self: Pin<&mut Self>,
                context: &mut Context<'_>,
                from: &[u8],
            ) -> Poll<io::Result<usize>> {
                let $stream = &*self;
                $inner.poll_write_from(context, from)
            }

            fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
                Poll::Ready(Ok(()))
            }

            fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
                let $stream = &*self;
                $inner.poll_end()
            }
        }
    };
}

/// One half of a connection.
pub struct Half<'a>(&'a SimulatedStream);

as_socket!(SimulatedStream, stream => stream);
as_socket!(Half<'_>, half => half.0);

impl environment::ReadStream for Half<'_> {
    fn has_peer_closed(&self) -> bool {
        let pipe = self.0.connection.pipes[side_index(self.0.side.other())].borrow();
        pipe.ended || pipe.reset
    }
}

impl environment::Stream for SimulatedStream {
    type Reader<'a> = Half<'a>;
    type Writer<'a> = Half<'a>;

    fn split(&mut self) -> (Half<'_>, Half<'_>) {
        (Half(self), Half(self))
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    fn has_no_pending_input(&self) -> bool {
        let pipe = self.connection.pipes[side_index(self.side.other())].borrow();
        pipe.buffer.is_empty() && !pipe.ended && !pipe.reset
    }

    fn acknowledge_immediately(&self) {}
}

/// A UDP socket.
pub struct SimulatedDatagramSocket {
    network: Network,
    address: SocketAddr,
    mailbox: Rc<Mailbox>,
}

impl environment::DatagramSocket for SimulatedDatagramSocket {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        if bytes.len() > LONGEST_DATAGRAM {
            return Err(io::Error::other("message too long"));
        }
        self.network
            .send_datagram((self.mailbox.node, self.address), bytes, to);
        Ok(bytes.len())
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let (bytes, from) = poll_fn(
            |context| match self.mailbox.queue.borrow_mut().pop_front() {
                Some(datagram) => Poll::Ready(datagram),
                None => {
                    *self.mailbox.waker.borrow_mut() = Some(context.waker().clone());
                    Poll::Pending
                }
            },
        )
        .await;
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        Ok((count, from))
    }
}

impl Drop for SimulatedDatagramSocket {
    fn drop(&mut self) {
        self.network
            .state
            .borrow_mut()
            .datagrams
            .remove(&self.address);
    }
}

/// The world as a process on one machine sees it.
#[derive(Clone)]
pub struct SimulatedEnvironment {
    network: Network,
    node: Node,
}

impl environment::Environment for SimulatedEnvironment {
    type Stream = SimulatedStream;
    type Listener = SimulatedListener;
    type DatagramSocket = SimulatedDatagramSocket;

    fn now(&self) -> Instant {
        self.network.epoch + Duration::from_micros(self.network.executor.now())
    }

    fn unix_now(&self) -> Duration {
        let offset = self.network.state.borrow().machines[self.node.0 as usize].clock_offset;
        let time = crate::UNIX_START + self.network.executor.now();
        Duration::from_micros(time.saturating_add_signed(offset))
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        let time = at.saturating_duration_since(self.network.epoch);
        // The clock counts whole microseconds; a timer is never early.
        self.network
            .executor
            .sleep_until(time.as_nanos().div_ceil(1_000) as Time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.network.executor.spawn(self.node, task);
    }

    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<SimulatedStream>> {
        self.network.dial(self.node, to)
    }

    fn accept(
        &self,
        listener: &SimulatedListener,
    ) -> impl Future<Output = io::Result<SimulatedStream>> {
        listener.accept()
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<SimulatedDatagramSocket> {
        let mut state = self.network.state.borrow_mut();
        if state.datagrams.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let mailbox = Rc::new(Mailbox {
            node: self.node,
            queue: RefCell::default(),
            waker: RefCell::default(),
        });
        state.datagrams.insert(at, mailbox.clone());
        Ok(SimulatedDatagramSocket {
            network: self.network.clone(),
            address: at,
            mailbox,
        })
    }

    fn log(&self, _line: fmt::Arguments<'_>) {}
}
