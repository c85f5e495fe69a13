//! The sockets at the two ends of a TCP connection.

use super::connection::{Connection, Packet};
use super::machine::{Descriptor, MachineStatus};
use super::{CloseKind, Network, Side};
use crate::executor::Node;
use bytes::{Buf, Bytes, BytesMut};
use router_runtime::environment;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A simulated TCP socket: one end of a connection.
pub struct SimulatedStream {
    network: Network,
    connection: Rc<Connection>,
    side: Side,
    /// The descriptor of the process that holds the stream; `None` while it is in the backlog.
    descriptor: RefCell<Option<Descriptor>>,
}

impl SimulatedStream {
    pub(super) fn new(
        network: &Network,
        connection: &Rc<Connection>,
        side: Side,
    ) -> SimulatedStream {
        SimulatedStream {
            network: network.clone(),
            connection: connection.clone(),
            side,
            descriptor: RefCell::new(None),
        }
    }

    /// Attaches the descriptor by which a process holds the stream.
    pub(super) fn attach_descriptor(&self, descriptor: Descriptor) {
        *self.descriptor.borrow_mut() = Some(descriptor);
    }

    /// The number of the connection.
    pub fn id(&self) -> u32 {
        self.connection.id
    }

    /// The machine at the other end.
    pub fn peer(&self) -> Node {
        self.connection.node(self.side.other())
    }

    /// Closes the connection with a reset.
    pub fn reset(&self) {
        self.close(CloseKind::Reset);
    }

    fn close(&self, kind: CloseKind) {
        let was_closed = {
            let mut inbound = self.connection.pipe(self.side.other()).borrow_mut();
            inbound.buffer = BytesMut::new();
            std::mem::replace(&mut inbound.reader_closed, true)
        };
        if was_closed {
            return;
        }
        self.descriptor.borrow_mut().take();
        let now = self.network.executor.now();
        self.network
            .observer
            .borrow_mut()
            .closed(now, self.id(), self.side, kind);
        let writer_was_closed = self.close_writer();
        match kind {
            CloseKind::Fin if !writer_was_closed => self.send(Packet::Fin),
            CloseKind::Reset => self.send(Packet::Reset),
            CloseKind::Fin | CloseKind::Silent => {}
        }
    }

    /// Closes the writing direction. Returns whether it was already closed.
    fn close_writer(&self) -> bool {
        let mut outbound = self.connection.pipe(self.side).borrow_mut();
        std::mem::replace(&mut outbound.writer_closed, true)
    }

    fn send(&self, packet: Packet) {
        self.network.send(&self.connection, self.side, packet);
    }

    fn poll_read_into(
        &self,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut inbound = self.connection.pipe(self.side.other()).borrow_mut();
        if !inbound.buffer.is_empty() {
            let count = to.remaining().min(inbound.buffer.len());
            to.put_slice(&inbound.buffer[..count]);
            inbound.buffer.advance(count);
            inbound.unread -= count;
            let writer = inbound.write_waker.take();
            drop(inbound);
            if let Some(writer) = writer {
                writer.wake();
            }
            return Poll::Ready(Ok(()));
        }
        if inbound.reset_received {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if inbound.fin_received {
            return Poll::Ready(Ok(()));
        }
        inbound.read_waker = Some(context.waker().clone());
        Poll::Pending
    }

    fn poll_write_from(&self, context: &mut Context<'_>, from: &[u8]) -> Poll<io::Result<usize>> {
        let inbound = self.connection.pipe(self.side.other());
        if inbound.borrow().reset_received {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let window = self.network.receive_window(self.peer());
        let mut outbound = self.connection.pipe(self.side).borrow_mut();
        if outbound.writer_closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let room = window.saturating_sub(outbound.unread);
        if room == 0 {
            outbound.write_waker = Some(context.waker().clone());
            return Poll::Pending;
        }
        let count = room.min(from.len());
        outbound.unread += count;
        drop(outbound);
        self.send_bytes(&from[..count]);
        Poll::Ready(Ok(count))
    }

    /// Sends bytes in one segment, or in two if the write is split.
    fn send_bytes(&self, bytes: &[u8]) {
        let now = self.network.executor.now();
        self.network
            .observer
            .borrow_mut()
            .written(now, self.id(), self.side, bytes);
        let split_at = self.network.draw_split(bytes.len());
        let bytes = Bytes::copy_from_slice(bytes);
        if split_at > 0 {
            self.send(Packet::Data(bytes.slice(..split_at)));
        }
        self.send(Packet::Data(bytes.slice(split_at..)));
    }

    fn poll_close_writer(&self) -> Poll<io::Result<()>> {
        if !self.close_writer() {
            self.send(Packet::Fin);
        }
        Poll::Ready(Ok(()))
    }

    /// How the connection closes when the process drops the stream.
    fn close_on_drop(&self) -> CloseKind {
        let node = self.connection.node(self.side);
        let opened_by = self.connection.incarnation(self.side);
        let status = self.network.with_machine(node, |machine| {
            (machine.incarnation == opened_by).then_some(machine.status)
        });
        let inbound = self.connection.pipe(self.side.other()).borrow();
        let is_unread = !inbound.buffer.is_empty();
        let was_accepted = self.descriptor.borrow().is_some();
        match status {
            None | Some(MachineStatus::Vanished) => CloseKind::Silent,
            Some(MachineStatus::ProcessEnding) => CloseKind::Reset,
            Some(MachineStatus::Running) if is_unread || !was_accepted => CloseKind::Reset,
            Some(MachineStatus::Running) => CloseKind::Fin,
        }
    }
}

impl Drop for SimulatedStream {
    fn drop(&mut self) {
        self.close(self.close_on_drop());
    }
}

/// Implements `AsyncRead` and `AsyncWrite` for a type that gives access to a stream.
macro_rules! impl_async_io {
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
                $inner.poll_close_writer()
            }
        }
    };
}

/// The read or write half of a stream.
pub struct SimulatedStreamHalf<'a>(&'a SimulatedStream);

impl_async_io!(SimulatedStream, stream => stream);
impl_async_io!(SimulatedStreamHalf<'_>, half => half.0);

impl environment::ReadStream for SimulatedStreamHalf<'_> {
    fn has_peer_closed(&self) -> bool {
        let stream = self.0;
        let inbound = stream.connection.pipe(stream.side.other());
        inbound.borrow().is_closed()
    }

    fn unread_bytes(&self) -> usize {
        let stream = self.0;
        let inbound = stream.connection.pipe(stream.side.other());
        inbound.borrow().buffer.len()
    }

    /// The peer's window has room for all bytes that a write accepts.
    fn has_unsent_output(&self) -> bool {
        false
    }
}

impl environment::Stream for SimulatedStream {
    type Reader<'a> = SimulatedStreamHalf<'a>;
    type Writer<'a> = SimulatedStreamHalf<'a>;

    fn split(&mut self) -> (SimulatedStreamHalf<'_>, SimulatedStreamHalf<'_>) {
        (SimulatedStreamHalf(self), SimulatedStreamHalf(self))
    }

    fn set_nodelay(&self) -> io::Result<()> {
        Ok(())
    }

    fn has_no_pending_input(&self) -> bool {
        let inbound = self.connection.pipe(self.side.other()).borrow();
        inbound.buffer.is_empty() && !inbound.is_closed()
    }

    fn acknowledge_immediately(&self) {}
}
