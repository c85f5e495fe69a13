//! TCP between simulated machines, as PROTOCOL and the tests on real sockets know it: latency, loss as delay, segments
//! cut at any byte, resets, half-open peers that say nothing, connects that are refused or never come up.
//!
//! What passes is shown to one [`Observer`]: the judge's only source.

use crate::executor::{Exec, Node, Time};
use crate::rng::Dice;
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
pub enum Leaving {
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
    fn opened(&mut self, now: Time, conn: u32, dialer: Node, listener: Node);
    /// One end gave these bytes to its machine, which sends them.
    fn written(&mut self, now: Time, conn: u32, side: Side, bytes: &[u8]);
    /// Bytes of this end have come to the other's machine.
    fn delivered(&mut self, now: Time, conn: u32, side: Side, count: usize);
    /// This end has left.
    fn left(&mut self, now: Time, conn: u32, side: Side, how: Leaving);
    /// The end or the reset of this end has come to the other's machine.
    fn end_delivered(&mut self, now: Time, conn: u32, side: Side);
    /// A process asked for a descriptor that it may not have.
    fn out_of_descriptors(&mut self, now: Time, node: Node);
}

/// The weather of a network, drawn for each day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weather {
    /// One way within a zone and between two, in microseconds.
    pub near: Time,
    /// See `near`.
    pub far: Time,
    /// A latency varies by up to this share.
    pub jitter: f64,
    /// The share of segments that is lost once.
    pub loss: f64,
    /// The share of writes that is cut at a drawn byte.
    pub split: f64,
    /// Bytes that may be on the way or unread in one direction.
    pub window: usize,
    /// What becomes of datagrams.
    pub datagrams: DatagramWeather,
}

/// What becomes of datagrams; shares of them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramWeather {
    /// Never arrive.
    pub lost: f64,
    /// Arrive twice.
    pub doubled: f64,
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
    life: u32,
    open: usize,
    limit: usize,
    /// Connects to it never come up until then.
    deaf_until: Time,
    /// Connects to it come up so much later until then.
    late: (Time, Time),
    /// Its wall clock against the true time, in microseconds.
    clock_offset: i64,
    /// Bytes that it takes without their being read; none: as the weather has it.
    window: Option<usize>,
}

struct State {
    machines: Vec<Machine>,
    listeners: BTreeMap<SocketAddr, Rc<Waiting>>,
    places: BTreeMap<SocketAddr, Node>,
    datagrams: BTreeMap<SocketAddr, Rc<Mailbox>>,
    /// Zones cut off from all others until then.
    cuts: BTreeMap<usize, Time>,
    weather: Weather,
    last: u32,
    dice: Dice,
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
    queue: RefCell<VecDeque<SimStream>>,
    waker: RefCell<Option<Waker>>,
}

/// The network of one world.
#[derive(Clone)]
pub struct Net {
    exec: Exec,
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

struct Conn {
    id: u32,
    nodes: [Node; 2],
    lives: [u32; 2],
    pipes: [RefCell<Pipe>; 2],
}

fn index(side: Side) -> usize {
    match side {
        Side::Dialer => 0,
        Side::Listener => 1,
    }
}

/// One end of a connection.
pub struct SimStream {
    net: Net,
    conn: Rc<Conn>,
    side: Side,
    /// Its process has it, and it counts as a descriptor.
    is_held: Cell<bool>,
}

impl Net {
    /// A network without machines.
    pub fn new(
        exec: Exec,
        observer: Rc<RefCell<dyn Observer>>,
        weather: Weather,
        dice: Dice,
    ) -> Net {
        let state = State {
            machines: Vec::new(),
            listeners: BTreeMap::new(),
            places: BTreeMap::new(),
            datagrams: BTreeMap::new(),
            cuts: BTreeMap::new(),
            weather,
            last: 0,
            dice,
        };
        Net {
            exec,
            state: Rc::new(RefCell::new(state)),
            observer,
            epoch: Instant::now(),
        }
    }

    /// Adds a machine whose process may hold so many connections.
    pub fn machine(&self, zone: usize, limit: usize) -> Node {
        let mut state = self.state.borrow_mut();
        let power = Power::On;
        state.machines.push(Machine {
            zone,
            power,
            life: 0,
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
    pub fn world(&self, node: Node) -> SimulatedEnvironment {
        SimulatedEnvironment {
            net: self.clone(),
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
        self.exec.kill(node);
        let mut state = self.state.borrow_mut();
        let machine = &mut state.machines[node.0 as usize];
        machine.life += 1;
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
    pub fn deafen(&self, node: Node, until: Time) {
        self.state.borrow_mut().machines[node.0 as usize].deaf_until = until;
    }

    /// Until a time, connects to this machine come up so much later.
    pub fn delay_connects(&self, node: Node, until: Time, by: Time) {
        self.state.borrow_mut().machines[node.0 as usize].late = (until, by);
    }

    /// Connections to this machine take so many bytes without their being read.
    pub fn narrow(&self, node: Node, window: usize) {
        self.state.borrow_mut().machines[node.0 as usize].window = Some(window);
    }

    /// Cuts a zone off from all others until this time.
    pub fn cut(&self, zone: usize, until: Time) {
        self.state.borrow_mut().cuts.insert(zone, until);
    }

    /// Listens at an address of a machine.
    pub fn listen(&self, node: Node, addr: SocketAddr) -> SimListener {
        let waiting = Rc::new(Waiting {
            node,
            queue: RefCell::default(),
            waker: RefCell::default(),
        });
        let mut state = self.state.borrow_mut();
        state.listeners.insert(addr, waiting.clone());
        state.places.insert(addr, node);
        SimListener {
            net: self.clone(),
            addr,
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
        let weather = self.state.borrow().weather.datagrams;
        let (copies, is_cut) = {
            let state = &mut *self.state.borrow_mut();
            let zone = |node: Node| state.machines[node.0 as usize].zone;
            let (a, b, now) = (zone(from.0), zone(mailbox.node), self.exec.now());
            let cut = |zone: usize| state.cuts.get(&zone).is_some_and(|&until| until > now);
            let lost = state.dice.chance(weather.lost);
            let copies = if lost {
                0
            } else {
                1 + usize::from(state.dice.chance(weather.doubled))
            };
            (copies, a != b && (cut(a) || cut(b)))
        };
        // Nobody sends a datagram again.
        for _ in 0..if is_cut { 0 } else { copies } {
            let Some(mut at) = self.arrival(from.0, mailbox.node, 0) else {
                continue;
            };
            let mut state = self.state.borrow_mut();
            if state.dice.chance(weather.late.0) {
                at += state.dice.range(1, weather.late.1);
            }
            drop(state);
            let (net, to, sent) = (
                self.clone(),
                mailbox.clone(),
                (Bytes::copy_from_slice(bytes), from.1),
            );
            self.exec
                .call_at(at, move || net.deliver_datagram(&to, sent));
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
        let now = self.exec.now();
        let state = &mut *self.state.borrow_mut();
        let (a, b) = (
            &state.machines[from.0 as usize],
            &state.machines[to.0 as usize],
        );
        if a.power == Power::Off || b.power == Power::Off {
            return None;
        }
        let (near, weather) = (a.zone == b.zone, state.weather);
        let base = if near { weather.near } else { weather.far } as f64;
        let mut time = (base * (1.0 + weather.jitter * state.dice.unit())) as Time + 1;
        if weather.loss > 0.0 && state.dice.chance(weather.loss) {
            time += again;
        }
        let cut = |zone: usize| state.cuts.get(&zone).copied().unwrap_or(0);
        let healed = if near {
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

    fn send(&self, conn: &Rc<Conn>, side: Side, packet: Packet) {
        let (from, to) = (conn.nodes[index(side)], conn.nodes[index(side.other())]);
        let Some(at) = self.arrival(from, to, RETRANSMIT) else {
            return;
        };
        let mut pipe = conn.pipes[index(side)].borrow_mut();
        let at = at.max(pipe.last_at);
        pipe.last_at = at;
        pipe.on_the_way.push_back((at, packet));
        drop(pipe);
        let (net, conn) = (self.clone(), conn.clone());
        self.exec.call_at(at, move || net.deliver(&conn, side));
    }

    /// Hands over what has arrived of this side's.
    fn deliver(&self, conn: &Rc<Conn>, side: Side) {
        let now = self.exec.now();
        let receiver = index(side.other());
        let is_there = {
            let state = self.state.borrow();
            let machine = &state.machines[conn.nodes[receiver].0 as usize];
            machine.power != Power::Off
        };
        let mut answer_reset = false;
        let mut woken = Vec::new();
        {
            let mut pipe = conn.pipes[index(side)].borrow_mut();
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
                        observer.delivered(now, conn.id, side, bytes.len());
                        pipe.buffer.extend_from_slice(&bytes);
                    }
                    Packet::Fin => {
                        pipe.ended = true;
                        observer.end_delivered(now, conn.id, side);
                    }
                    Packet::Reset => {
                        pipe.reset = true;
                        observer.end_delivered(now, conn.id, side);
                    }
                }
            }
            woken.extend(pipe.reader.take());
        }
        if conn.pipes[index(side)].borrow().reset {
            woken.extend(conn.pipes[receiver].borrow_mut().writer.take());
        }
        woken.into_iter().for_each(Waker::wake);
        if answer_reset {
            conn.pipes[receiver].borrow_mut().writer_left = true;
            self.send(conn, side.other(), Packet::Reset);
        }
    }

    /// Opens a connection from a machine.
    async fn dial(&self, from: Node, to: SocketAddr) -> io::Result<SimStream> {
        let held = self.take_descriptor(from)?;
        loop {
            let place = self.state.borrow().places.get(&to).copied();
            let Some(place) = place else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let Some(at) = self.arrival(from, place, RETRANSMIT_SYN) else {
                // It is sent again as long as anybody waits for it.
                self.exec.sleep(RETRANSMIT_SYN).await;
                continue;
            };
            self.exec.sleep_until(at).await;
            let (is_on, deaf_until) = {
                let state = self.state.borrow();
                let machine = &state.machines[place.0 as usize];
                (machine.power != Power::Off, machine.deaf_until)
            };
            if !is_on || deaf_until > self.exec.now() {
                self.exec.sleep(RETRANSMIT_SYN).await;
                continue;
            }
            let (late_until, late_by) = self.state.borrow().machines[place.0 as usize].late;
            if late_until > self.exec.now() {
                self.exec.sleep(late_by).await;
            }
            let waiting = self.state.borrow().listeners.get(&to).cloned();
            let opened = waiting.map(|waiting| self.open_conn(from, waiting));
            let back = self.arrival(place, from, RETRANSMIT).unwrap_or(Time::MAX);
            self.exec.sleep_until(back).await;
            let Some(stream) = opened else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            held.hand_over(&stream);
            return Ok(stream);
        }
    }

    fn open_conn(&self, from: Node, waiting: Rc<Waiting>) -> SimStream {
        let conn = {
            let mut state = self.state.borrow_mut();
            state.last += 1;
            let life = |node: Node| state.machines[node.0 as usize].life;
            let (nodes, lives) = ([from, waiting.node], [life(from), life(waiting.node)]);
            Rc::new(Conn {
                id: state.last,
                nodes,
                lives,
                pipes: Default::default(),
            })
        };
        self.observer
            .borrow_mut()
            .opened(self.exec.now(), conn.id, from, waiting.node);
        let end = |side| SimStream {
            net: self.clone(),
            conn: conn.clone(),
            side,
            is_held: Cell::new(false),
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
                .out_of_descriptors(self.exec.now(), node);
            return Err(io::Error::other("too many open files"));
        }
        machine.open += 1;
        Ok(Descriptor {
            net: Some(self.clone()),
            node,
        })
    }
}

/// One descriptor of a process, given back when dropped.
struct Descriptor {
    net: Option<Net>,
    node: Node,
}

impl Descriptor {
    /// Leaves it to the stream.
    fn hand_over(mut self, stream: &SimStream) {
        self.net = None;
        stream.is_held.set(true);
    }
}

impl Drop for Descriptor {
    fn drop(&mut self) {
        let Some(net) = &self.net else { return };
        let mut state = net.state.borrow_mut();
        let machine = &mut state.machines[self.node.0 as usize];
        machine.open = machine.open.saturating_sub(1);
    }
}

/// A listening socket; dropped, what waits on it is reset.
pub struct SimListener {
    net: Net,
    addr: SocketAddr,
    waiting: Rc<Waiting>,
}

impl SimListener {
    /// The next connection.
    pub async fn accept(&self) -> io::Result<SimStream> {
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
        match self.net.take_descriptor(self.waiting.node) {
            Ok(held) => {
                held.hand_over(&stream);
                Ok(stream)
            }
            Err(error) => {
                self.waiting.queue.borrow_mut().push_front(stream);
                Err(error)
            }
        }
    }
}

impl Drop for SimListener {
    fn drop(&mut self) {
        let mut state = self.net.state.borrow_mut();
        // A later process may listen there already.
        if state
            .listeners
            .get(&self.addr)
            .is_some_and(|waiting| Rc::ptr_eq(waiting, &self.waiting))
        {
            state.listeners.remove(&self.addr);
        }
        drop(state);
        let left = std::mem::take(&mut *self.waiting.queue.borrow_mut());
        drop(left);
    }
}

impl SimStream {
    /// The connection's number.
    pub fn id(&self) -> u32 {
        self.conn.id
    }

    /// The machine at the other end.
    pub fn peer(&self) -> Node {
        self.conn.nodes[index(self.side.other())]
    }

    /// Ends the connection with a reset.
    pub fn reset(self) {
        self.leave(Leaving::Reset);
    }

    fn leave(&self, how: Leaving) {
        let (mine, theirs) = (index(self.side), index(self.side.other()));
        let was_over = {
            let mut pipe = self.conn.pipes[theirs].borrow_mut();
            pipe.buffer = BytesMut::new();
            std::mem::replace(&mut pipe.reader_left, true)
        };
        if was_over {
            return;
        }
        if self.is_held.replace(false) {
            drop(Descriptor {
                net: Some(self.net.clone()),
                node: self.conn.nodes[mine],
            });
        }
        let now = self.net.exec.now();
        self.net
            .observer
            .borrow_mut()
            .left(now, self.conn.id, self.side, how);
        let had_ended =
            std::mem::replace(&mut self.conn.pipes[mine].borrow_mut().writer_left, true);
        match how {
            Leaving::Fin if !had_ended => self.net.send(&self.conn, self.side, Packet::Fin),
            Leaving::Reset => self.net.send(&self.conn, self.side, Packet::Reset),
            Leaving::Fin | Leaving::Silent => {}
        }
    }

    fn poll_read_into(
        &self,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut pipe = self.conn.pipes[index(self.side.other())].borrow_mut();
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
        if self.conn.pipes[index(self.side.other())].borrow().reset {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let window = {
            let state = self.net.state.borrow();
            let receiver = self.conn.nodes[index(self.side.other())];
            state.machines[receiver.0 as usize]
                .window
                .unwrap_or(state.weather.window)
        };
        let count = {
            let mut pipe = self.conn.pipes[index(self.side)].borrow_mut();
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
        let now = self.net.exec.now();
        self.net
            .observer
            .borrow_mut()
            .written(now, self.conn.id, self.side, &from[..count]);
        let cut = {
            let mut state = self.net.state.borrow_mut();
            let split = state.weather.split;
            if count > 1 && state.dice.chance(split) {
                state.dice.range(1, count as u64 - 1) as usize
            } else {
                0
            }
        };
        let bytes = Bytes::copy_from_slice(&from[..count]);
        if cut > 0 {
            self.net
                .send(&self.conn, self.side, Packet::Data(bytes.slice(..cut)));
        }
        self.net
            .send(&self.conn, self.side, Packet::Data(bytes.slice(cut..)));
        Poll::Ready(Ok(count))
    }

    fn poll_end(&self) -> Poll<io::Result<()>> {
        let had_ended = std::mem::replace(
            &mut self.conn.pipes[index(self.side)].borrow_mut().writer_left,
            true,
        );
        if !had_ended {
            self.net.send(&self.conn, self.side, Packet::Fin);
        }
        Poll::Ready(Ok(()))
    }
}

impl Drop for SimStream {
    fn drop(&mut self) {
        let mine = index(self.side);
        let power = {
            let state = self.net.state.borrow();
            let machine = &state.machines[self.conn.nodes[mine].0 as usize];
            if machine.life == self.conn.lives[mine] {
                machine.power
            } else {
                Power::Off
            }
        };
        let unread = !self.conn.pipes[index(self.side.other())]
            .borrow()
            .buffer
            .is_empty();
        self.leave(match power {
            Power::Off => Leaving::Silent,
            Power::Dying => Leaving::Reset,
            Power::On if unread || !self.is_held.get() => Leaving::Reset,
            Power::On => Leaving::Fin,
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
pub struct Half<'a>(&'a SimStream);

as_socket!(SimStream, stream => stream);
as_socket!(Half<'_>, half => half.0);

impl environment::ReadStream for Half<'_> {
    fn has_peer_closed(&self) -> bool {
        let pipe = self.0.conn.pipes[index(self.0.side.other())].borrow();
        pipe.ended || pipe.reset
    }
}

impl environment::Stream for SimStream {
    type Reader<'a> = Half<'a>;
    type Writer<'a> = Half<'a>;

    fn split(&mut self) -> (Half<'_>, Half<'_>) {
        (Half(self), Half(self))
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    fn has_no_pending_input(&self) -> bool {
        let pipe = self.conn.pipes[index(self.side.other())].borrow();
        pipe.buffer.is_empty() && !pipe.ended && !pipe.reset
    }

    fn acknowledge_immediately(&self) {}
}

/// A UDP socket.
pub struct SimDatagrams {
    net: Net,
    addr: SocketAddr,
    mailbox: Rc<Mailbox>,
}

impl environment::DatagramSocket for SimDatagrams {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        if bytes.len() > LONGEST_DATAGRAM {
            return Err(io::Error::other("message too long"));
        }
        self.net
            .send_datagram((self.mailbox.node, self.addr), bytes, to);
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

impl Drop for SimDatagrams {
    fn drop(&mut self) {
        self.net.state.borrow_mut().datagrams.remove(&self.addr);
    }
}

/// The world as a process on one machine sees it.
#[derive(Clone)]
pub struct SimulatedEnvironment {
    net: Net,
    node: Node,
}

impl environment::Environment for SimulatedEnvironment {
    type Stream = SimStream;
    type Listener = SimListener;
    type DatagramSocket = SimDatagrams;

    fn now(&self) -> Instant {
        self.net.epoch + Duration::from_micros(self.net.exec.now())
    }

    fn unix_now(&self) -> Duration {
        let offset = self.net.state.borrow().machines[self.node.0 as usize].clock_offset;
        let time = crate::UNIX_START + self.net.exec.now();
        Duration::from_micros(time.saturating_add_signed(offset))
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        let time = at.saturating_duration_since(self.net.epoch);
        // The clock counts whole microseconds; a timer is never early.
        self.net
            .exec
            .sleep_until(time.as_nanos().div_ceil(1_000) as Time)
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.net.exec.spawn(self.node, task);
    }

    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<SimStream>> {
        self.net.dial(self.node, to)
    }

    fn accept(&self, listener: &SimListener) -> impl Future<Output = io::Result<SimStream>> {
        listener.accept()
    }

    async fn bind(&self, at: SocketAddr) -> io::Result<SimDatagrams> {
        let mut state = self.net.state.borrow_mut();
        if state.datagrams.contains_key(&at) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let mailbox = Rc::new(Mailbox {
            node: self.node,
            queue: RefCell::default(),
            waker: RefCell::default(),
        });
        state.datagrams.insert(at, mailbox.clone());
        Ok(SimDatagrams {
            net: self.net.clone(),
            addr: at,
            mailbox,
        })
    }

    fn log(&self, _line: fmt::Arguments<'_>) {}
}
