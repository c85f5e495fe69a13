//! Time, tasks, TCP and UDP, as traits.
//!
//! The runtime is generic over an [`Environment`]: it reads no clock, opens no socket and spawns no task but through
//! it, and its random numbers come from a seed. In service that is [`crate::tokio_environment::TokioEnvironment`],
//! real sockets on tokio; in the simulation a virtual clock and network. Static dispatch keeps it free of cost in
//! service.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// A time limit has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

/// Time, tasks and TCP as one process sees them. A clone is another handle to the same process.
pub trait Environment: Clone + 'static {
    /// A TCP connection.
    type Stream: Stream;
    /// A listening socket.
    type Listener: 'static;
    /// A UDP socket.
    type DatagramSocket: DatagramSocket;

    /// The monotonic clock. Its instants compare with others of the same environment only.
    fn now(&self) -> Instant;

    /// The wall clock, since the Unix epoch. It may step; the runtime reads it once, at its start.
    fn unix_now(&self) -> Duration;

    /// Returns at this instant, or as soon after it as the timers' resolution allows.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Spawns a task on the thread of the others of this process. It runs until it returns or the process ends.
    fn spawn(&self, task: impl Future<Output = ()> + 'static);

    /// Opens a connection, without a time limit.
    ///
    /// # Errors
    /// When it is refused, or the process has no descriptor left.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Accepts the next connection of a listener.
    ///
    /// # Errors
    /// When the process has no descriptor left, or the connection broke before it was taken.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;

    /// Binds a UDP socket to an address.
    ///
    /// # Errors
    /// When the address is not available.
    fn bind(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::DatagramSocket>>;

    /// Logs one line for operators.
    fn log(&self, line: fmt::Arguments<'_>);

    /// Returns after this time.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + time)
    }

    /// The output of a future, if it completes by this instant.
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

    /// The output of a future, if it completes within this time.
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
    /// Whether the peer has ended its sending or reset the connection, also where bytes before that are still unread.
    /// Of an end that stands behind more than the system buffers, it knows nothing yet.
    fn has_peer_closed(&self) -> bool;
}

/// A TCP connection. Dropped, it is closed; with bytes unread it is reset.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The reading half.
    type Reader<'a>: ReadStream;
    /// The writing half.
    type Writer<'a>: AsyncWrite + Unpin;

    /// Splits it into halves that are used side by side.
    fn split(&mut self) -> (Self::Reader<'_>, Self::Writer<'_>);

    /// Sends what is written without delay, however little it is.
    ///
    /// # Errors
    /// When the connection is gone.
    fn set_nodelay(&self) -> io::Result<()>;

    /// Whether nothing has arrived that was not read: neither a byte nor an end.
    fn has_no_pending_input(&self) -> bool;

    /// Acknowledges what has arrived without the usual delay, where the system allows it.
    fn acknowledge_immediately(&self);
}

/// A UDP socket. Datagrams may arrive late, twice, in another order or not at all.
pub trait DatagramSocket: 'static {
    /// Sends one datagram.
    ///
    /// # Errors
    /// When the system does not take it: it is too long, or there is no route to the address.
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<usize>>;

    /// Receives the next datagram, cut to the buffer, and its sender.
    ///
    /// # Errors
    /// When the socket failed, for instance because the destination of an earlier datagram refused it.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}
