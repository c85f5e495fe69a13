//! TCP connections: how they are opened, and the packets in transit in each direction.

use super::listener::Backlog;
use super::machine::{Descriptor, MachineStatus};
use super::stream::SimulatedStream;
use super::{Network, Side};
use crate::executor::{Node, Time};
use bytes::{Bytes, BytesMut};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Waker;

/// The delay of a lost segment, in microseconds: the minimum retransmission timeout of common TCP
/// stacks.
const RETRANSMISSION_TIMEOUT: Time = 200_000;
/// The time after which a lost SYN is sent again, in microseconds (RFC 6298, section 2).
const SYN_RETRANSMISSION_TIMEOUT: Time = 1_000_000;

/// The content of a TCP segment.
#[derive(Debug)]
pub(super) enum Packet {
    Data(Bytes),
    Fin,
    Reset,
}

/// One direction of a connection.
#[derive(Default)]
pub(super) struct Pipe {
    /// Packets and their arrival times, in order of arrival.
    in_transit: VecDeque<(Time, Packet)>,
    last_arrival: Time,
    /// Bytes that have arrived and have not been read.
    pub(super) buffer: BytesMut,
    /// The number of bytes that are in transit or have not been read.
    pub(super) unread: usize,
    pub(super) fin_received: bool,
    pub(super) reset_received: bool,
    /// The writer has sent its last packet.
    pub(super) writer_closed: bool,
    /// The reader has closed the connection.
    pub(super) reader_closed: bool,
    pub(super) read_waker: Option<Waker>,
    pub(super) write_waker: Option<Waker>,
}

impl Pipe {
    /// Whether no more data can arrive.
    pub(super) fn is_closed(&self) -> bool {
        self.fin_received || self.reset_received
    }

    fn pop_arrived(&mut self, now: Time) -> Option<Packet> {
        let is_arrived = |front: &(Time, Packet)| front.0 <= now;
        if !self.in_transit.front().is_some_and(is_arrived) {
            return None;
        }
        self.in_transit.pop_front().map(|(_, packet)| packet)
    }
}

/// A connection between two machines.
pub(super) struct Connection {
    pub(super) id: u32,
    nodes: [Node; 2],
    incarnations: [u32; 2],
    pipes: [RefCell<Pipe>; 2],
}

impl Connection {
    /// The machine at an end.
    pub(super) fn node(&self, side: Side) -> Node {
        self.nodes[side as usize]
    }

    /// The incarnation of the process that opened or accepted the connection at an end.
    pub(super) fn incarnation(&self, side: Side) -> u32 {
        self.incarnations[side as usize]
    }

    /// The direction of the connection into which this end writes.
    pub(super) fn pipe(&self, writer: Side) -> &RefCell<Pipe> {
        &self.pipes[writer as usize]
    }
}

impl Network {
    /// Sends a packet from one end. Packets in the same direction arrive in order.
    pub(super) fn send(&self, connection: &Rc<Connection>, from: Side, packet: Packet) {
        let sender = connection.node(from);
        let receiver = connection.node(from.other());
        let Some(arrival) = self.arrival_time(sender, receiver, RETRANSMISSION_TIMEOUT) else {
            return;
        };
        let mut pipe = connection.pipe(from).borrow_mut();
        let arrival = arrival.max(pipe.last_arrival);
        pipe.last_arrival = arrival;
        pipe.in_transit.push_back((arrival, packet));
        drop(pipe);
        let network = self.clone();
        let connection = connection.clone();
        self.executor
            .call_at(arrival, move || network.deliver(&connection, from));
    }

    /// Delivers the packets from one end that have arrived, and wakes the tasks that wait for them.
    fn deliver(&self, connection: &Rc<Connection>, from: Side) {
        let mut wakers = Vec::new();
        let must_send_reset = self.receive_packets(connection, from);
        wakers.extend(connection.pipe(from).borrow_mut().read_waker.take());
        if connection.pipe(from).borrow().reset_received {
            wakers.extend(
                connection
                    .pipe(from.other())
                    .borrow_mut()
                    .write_waker
                    .take(),
            );
        }
        for waker in wakers {
            waker.wake();
        }
        if must_send_reset {
            connection.pipe(from.other()).borrow_mut().writer_closed = true;
            self.send(connection, from.other(), Packet::Reset);
        }
    }

    /// Processes the packets that have arrived. Returns whether data arrived after the receiver had
    /// closed the connection, which it answers with a reset.
    fn receive_packets(&self, connection: &Connection, from: Side) -> bool {
        let now = self.executor.now();
        let receiver = connection.node(from.other());
        let is_vanished = self.with_machine(receiver, |machine| {
            machine.status == MachineStatus::Vanished
        });
        let mut must_send_reset = false;
        let mut pipe = connection.pipe(from).borrow_mut();
        while let Some(packet) = pipe.pop_arrived(now) {
            if is_vanished {
                continue;
            }
            let mut observer = self.observer.borrow_mut();
            match packet {
                Packet::Data(_) if pipe.reader_closed => must_send_reset = true,
                Packet::Data(bytes) => {
                    observer.delivered(now, connection.id, from, bytes.len());
                    pipe.buffer.extend_from_slice(&bytes);
                }
                Packet::Fin => {
                    pipe.fin_received = true;
                    observer.close_delivered(now, connection.id, from);
                }
                Packet::Reset => {
                    pipe.reset_received = true;
                    observer.close_delivered(now, connection.id, from);
                }
            }
        }
        must_send_reset
    }

    /// Opens a connection from a machine. Waits as long as the other machine does not answer.
    ///
    /// # Errors
    /// No process listens on the address, or the connecting process has no descriptor left.
    pub(super) async fn open_stream(
        &self,
        from: Node,
        to: SocketAddr,
    ) -> io::Result<SimulatedStream> {
        let descriptor = Descriptor::acquire(self, from)?;
        loop {
            let node = self.state.borrow().nodes_by_address.get(&to).copied();
            let Some(node) = node else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            let Some(arrival) = self.arrival_time(from, node, SYN_RETRANSMISSION_TIMEOUT) else {
                self.executor.sleep(SYN_RETRANSMISSION_TIMEOUT).await;
                continue;
            };
            self.executor.sleep_until(arrival).await;
            if !self.answers_connects(node) {
                self.executor.sleep(SYN_RETRANSMISSION_TIMEOUT).await;
                continue;
            }
            if let Some(delay) = self.connect_delay(node) {
                self.executor.sleep(delay).await;
            }
            let backlog = self.state.borrow().listeners.get(&to).cloned();
            let opened = backlog.map(|backlog| self.open_connection(from, &backlog));
            let answer = self.arrival_time(node, from, RETRANSMISSION_TIMEOUT);
            self.executor.sleep_until(answer.unwrap_or(Time::MAX)).await;
            let Some(stream) = opened else {
                return Err(io::ErrorKind::ConnectionRefused.into());
            };
            stream.attach_descriptor(descriptor);
            return Ok(stream);
        }
    }

    fn answers_connects(&self, node: Node) -> bool {
        let now = self.executor.now();
        self.with_machine(node, |machine| {
            machine.status != MachineStatus::Vanished && machine.ignores_connects_until <= now
        })
    }

    fn connect_delay(&self, node: Node) -> Option<Time> {
        let now = self.executor.now();
        self.with_machine(node, |machine| {
            (machine.connects_delayed_until > now).then_some(machine.connect_delay)
        })
    }

    fn open_connection(&self, from: Node, backlog: &Backlog) -> SimulatedStream {
        let nodes = [from, backlog.node];
        let incarnations = nodes.map(|node| self.with_machine(node, |machine| machine.incarnation));
        let connection = Rc::new(Connection {
            id: self.next_connection_id(),
            nodes,
            incarnations,
            pipes: Default::default(),
        });
        let now = self.executor.now();
        self.observer
            .borrow_mut()
            .opened(now, connection.id, from, backlog.node);
        backlog.push(SimulatedStream::new(self, &connection, Side::Acceptor));
        SimulatedStream::new(self, &connection, Side::Initiator)
    }
}
