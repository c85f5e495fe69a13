//! Listening sockets and their backlogs.

use super::Network;
use super::machine::Descriptor;
use super::stream::SimulatedStream;
use super::system_calls::SystemCall;
use crate::executor::Node;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};

/// The connections to a listening socket that its process has not accepted yet.
pub(super) struct Backlog {
    pub(super) node: Node,
    queue: RefCell<VecDeque<SimulatedStream>>,
    waker: RefCell<Option<Waker>>,
}

impl Backlog {
    pub(super) fn new(node: Node) -> Backlog {
        Backlog {
            node,
            queue: RefCell::default(),
            waker: RefCell::default(),
        }
    }

    pub(super) fn push(&self, stream: SimulatedStream) {
        self.queue.borrow_mut().push_back(stream);
        let waker = self.waker.borrow_mut().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    async fn pop(&self) -> SimulatedStream {
        poll_fn(|context| match self.queue.borrow_mut().pop_front() {
            Some(stream) => Poll::Ready(stream),
            None => {
                *self.waker.borrow_mut() = Some(context.waker().clone());
                Poll::Pending
            }
        })
        .await
    }
}

/// A listening socket. Dropping it resets the connections in its backlog.
pub struct SimulatedListener {
    network: Network,
    address: SocketAddr,
    backlog: Rc<Backlog>,
}

impl SimulatedListener {
    pub(super) fn new(
        network: &Network,
        address: SocketAddr,
        backlog: Rc<Backlog>,
    ) -> SimulatedListener {
        SimulatedListener {
            network: network.clone(),
            address,
            backlog,
        }
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    /// The process has no descriptor left, or a failure of the call is simulated. The connection
    /// stays in the backlog.
    pub async fn accept(&self) -> io::Result<SimulatedStream> {
        let stream = self.backlog.pop().await;
        let call = self
            .network
            .check_system_call(self.backlog.node, SystemCall::Accept);
        match call.and_then(|()| Descriptor::acquire(&self.network, self.backlog.node)) {
            Ok(descriptor) => {
                stream.attach_descriptor(descriptor);
                Ok(stream)
            }
            Err(error) => {
                self.backlog.queue.borrow_mut().push_front(stream);
                Err(error)
            }
        }
    }
}

impl Drop for SimulatedListener {
    fn drop(&mut self) {
        let mut state = self.network.state.borrow_mut();
        // A later process may already listen on this address.
        let current = state.listeners.get(&self.address);
        if current.is_some_and(|backlog| Rc::ptr_eq(backlog, &self.backlog)) {
            state.listeners.remove(&self.address);
        }
        drop(state);
        // Dropping a stream sends a packet, so the state must not be borrowed here.
        let unaccepted = std::mem::take(&mut *self.backlog.queue.borrow_mut());
        drop(unaccepted);
    }
}
