//! UDP sockets. Datagrams are lost, duplicated and delayed according to the network's conditions,
//! and never retransmitted.

use super::Network;
use super::machine::MachineStatus;
use crate::executor::Node;
use bytes::Bytes;
use router_runtime::environment;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// How many datagrams a socket buffers. Further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 256;
/// The longest payload of a UDP datagram over IPv4, in bytes (RFC 768, RFC 791).
const MAX_DATAGRAM_BYTES: usize = 65_507;

/// A datagram and its sender.
#[derive(Clone)]
struct Datagram {
    bytes: Bytes,
    from: SocketAddr,
}

/// The receive buffer of a UDP socket.
pub(super) struct ReceiveBuffer {
    node: Node,
    queue: RefCell<VecDeque<Datagram>>,
    waker: RefCell<Option<Waker>>,
}

impl ReceiveBuffer {
    fn push(&self, datagram: Datagram) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() < MAX_QUEUED_DATAGRAMS {
            queue.push_back(datagram);
        }
        drop(queue);
        let waker = self.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// A simulated UDP socket.
pub struct SimulatedDatagramSocket {
    network: Network,
    address: SocketAddr,
    receive_buffer: Rc<ReceiveBuffer>,
}

impl SimulatedDatagramSocket {
    /// Binds a socket on a machine.
    ///
    /// # Errors
    /// The address is already in use.
    pub(super) fn bind(
        network: &Network,
        node: Node,
        address: SocketAddr,
    ) -> io::Result<SimulatedDatagramSocket> {
        let mut state = network.state.borrow_mut();
        if state.receive_buffers.contains_key(&address) {
            return Err(io::ErrorKind::AddrInUse.into());
        }
        let receive_buffer = Rc::new(ReceiveBuffer {
            node,
            queue: RefCell::default(),
            waker: RefCell::default(),
        });
        state
            .receive_buffers
            .insert(address, receive_buffer.clone());
        Ok(SimulatedDatagramSocket {
            network: network.clone(),
            address,
            receive_buffer,
        })
    }

    async fn next_datagram(&self) -> Datagram {
        let receive_buffer = &self.receive_buffer;
        poll_fn(
            |context| match receive_buffer.queue.borrow_mut().pop_front() {
                Some(datagram) => Poll::Ready(datagram),
                None => {
                    *receive_buffer.waker.borrow_mut() = Some(context.waker().clone());
                    Poll::Pending
                }
            },
        )
        .await
    }
}

impl environment::DatagramSocket for SimulatedDatagramSocket {
    async fn send_to(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(io::Error::other("datagram exceeds the maximum UDP payload"));
        }
        let datagram = Datagram {
            bytes: Bytes::copy_from_slice(bytes),
            from: self.address,
        };
        self.network
            .send_datagram(self.receive_buffer.node, &datagram, to);
        Ok(bytes.len())
    }

    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        let Datagram { bytes, from } = self.next_datagram().await;
        let count = bytes.len().min(buffer.len());
        buffer[..count].copy_from_slice(&bytes[..count]);
        Ok((count, from))
    }
}

impl Drop for SimulatedDatagramSocket {
    fn drop(&mut self) {
        let mut state = self.network.state.borrow_mut();
        state.receive_buffers.remove(&self.address);
    }
}

impl Network {
    fn send_datagram(&self, from: Node, datagram: &Datagram, to: SocketAddr) {
        let Some(receive_buffer) = self.state.borrow().receive_buffers.get(&to).cloned() else {
            return;
        };
        let copy_count = self.draw_copy_count();
        if self.are_partitioned(from, receive_buffer.node) {
            return;
        }
        for _ in 0..copy_count {
            self.send_copy(from, datagram, &receive_buffer);
        }
    }

    /// Draws how many copies of a datagram arrive.
    fn draw_copy_count(&self) -> usize {
        let state = &mut *self.state.borrow_mut();
        let conditions = state.conditions.datagrams;
        if state.rng.chance(conditions.loss_ratio) {
            0
        } else if state.rng.chance(conditions.duplicate_ratio) {
            2
        } else {
            1
        }
    }

    fn send_copy(&self, from: Node, datagram: &Datagram, to: &Rc<ReceiveBuffer>) {
        let Some(mut arrival) = self.arrival_time(from, to.node, 0) else {
            return;
        };
        let state = &mut *self.state.borrow_mut();
        let conditions = state.conditions.datagrams;
        if state.rng.chance(conditions.delayed_ratio) {
            arrival += state.rng.range(1, conditions.max_delay);
        }
        let network = self.clone();
        let receive_buffer = to.clone();
        let datagram = datagram.clone();
        self.executor.call_at(arrival, move || {
            let is_running = network.with_machine(receive_buffer.node, |machine| {
                machine.status == MachineStatus::Running
            });
            if is_running {
                receive_buffer.push(datagram);
            }
        });
    }
}
