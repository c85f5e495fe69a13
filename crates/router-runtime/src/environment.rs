//! Traits for time, tasks, TCP and UDP.
//!
//! The runtime is generic over an [`Environment`]: it reads clocks, opens sockets and spawns tasks
//! only through it, and its random numbers come from a seed. In production the environment is
//! [`crate::tokio_environment::TokioEnvironment`], with real sockets on tokio; in the simulation it
//! is a virtual clock and network. Static dispatch avoids any cost in production.

use load_balancer::WallTime;
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// Error of a future that did not complete in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Time, tasks and sockets of one process. A clone is another handle to the same process.
pub trait Environment: Clone + 'static {
    /// A TCP connection.
    type Stream: Stream;
    /// A listening socket.
    type Listener: 'static;
    /// A UDP socket.
    type DatagramSocket: DatagramSocket;

    /// The monotonic clock. Its instants are comparable only within the same environment.
    fn now(&self) -> Instant;

    /// The wall clock. It may be stepped, so no decision depends on it.
    fn wall_now(&self) -> WallTime;

    /// Sleeps until this instant, or as soon after it as the timer resolution allows.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Spawns a task on the thread of this process's other tasks. It runs until it returns or the
    /// process ends.
    fn spawn(&self, task: impl Future<Output = ()> + 'static);

    /// Opens a connection, without a time limit.
    ///
    /// # Errors
    /// When it is refused, or no file descriptor is left.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Accepts the next connection of a listener.
    ///
    /// # Errors
    /// When no file descriptor is left, or the connection failed before it was accepted.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Binds a UDP socket to an address.
    ///
    /// # Errors
    /// When the address is not available.
    fn bind(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::DatagramSocket>>;

    /// Logs one line.
    fn log(&self, line: fmt::Arguments<'_>);

    /// Sleeps for this time.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + time)
    }

    /// The output of a future, or [`Elapsed`] if it does not complete by this instant.
    fn timeout_at<F: Future>(
        &self,
        at: Instant,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        async move {
            tokio::select! {
                biased;
                done = work => Ok(done),
                () = self.sleep_until(at) => Err(Elapsed),
            }
        }
    }

    /// The output of a future, or [`Elapsed`] if it does not complete within this time.
    fn timeout<F: Future>(
        &self,
        time: Duration,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + time, work)
    }
}

/// The reading half of a connection.
pub trait ReadStream: AsyncRead + Unpin {
    /// Whether the peer has closed its sending side or reset the connection, even if bytes before
    /// that are still unread. Once all that came before a close is read, the close is noticed; one
    /// behind more bytes than the system buffers is not noticed before.
    fn has_peer_closed(&self) -> bool;

    /// How many bytes have arrived and are not read yet; 0 if the system does not tell.
    fn unread_bytes(&self) -> usize;

    /// Whether written bytes wait in this machine's send buffer for the peer to make room for them.
    /// They are lost if the connection is closed and the peer then sends anything, which is answered
    /// with a reset.
    fn has_unsent_output(&self) -> bool;
}

/// A TCP connection. Dropping it closes the connection, or resets it if bytes are unread.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The reading half.
    type Reader<'a>: ReadStream;
    /// The writing half.
    type Writer<'a>: AsyncWrite + Unpin;

    /// Splits it into halves that can be used concurrently.
    fn split(&mut self) -> (Self::Reader<'_>, Self::Writer<'_>);

    /// Disables Nagle's algorithm: small writes are sent without delay.
    ///
    /// # Errors
    /// When the connection is closed.
    fn set_nodelay(&self) -> io::Result<()>;

    /// Whether there is nothing to read: neither a byte, nor the end of the stream, nor an error.
    fn has_no_pending_input(&self) -> bool;

    /// Acknowledges received bytes without the usual delay, if the system allows it.
    fn acknowledge_immediately(&self);
}

/// A UDP socket. Datagrams may arrive late, twice, in another order or not at all.
pub trait DatagramSocket: 'static {
    /// Sends one datagram.
    ///
    /// # Errors
    /// When the system rejects it: it is too long, or there is no route to the address.
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<usize>>;

    /// Receives the next datagram, truncated to the buffer, and its sender.
    ///
    /// # Errors When the socket failed, for instance because the destination of an earlier datagram
    /// refused it.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}
