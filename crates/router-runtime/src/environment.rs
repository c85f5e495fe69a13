//! The seam between the engine and the world: time, tasks, TCP and UDP.
//!
//! The engine is generic over a [`Environment`] and reads no clock, opens no socket and starts no task but through it. Its
//! random numbers come from the seed that it is given at its start. In
//! service that is [`crate::tokio_environment::TokioEnvironment`], real sockets on tokio; in the rig a virtual clock and a simulated
//! network. Each is compiled into an engine of its own, so that the seam costs nothing in service.

use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// The time that was allowed for something is over.
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

    /// The monotonic clock. Instants mean something against others of the same world only.
    fn now(&self) -> Instant;

    /// The wall clock, since the Unix epoch. It may step; the engine reads it once, at its start.
    fn unix_now(&self) -> Duration;

    /// Returns at this instant, or as soon after it as the world's timers can.
    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()>;

    /// Runs a task beside the others of this process, on the same thread.
    fn spawn(&self, task: impl Future<Output = ()> + 'static);

    /// Opens a connection, with no limit on how long that takes.
    ///
    /// # Errors
    /// When it is refused, or the process has no descriptor left.
    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>>;

    /// The next connection that came to a listener.
    ///
    /// # Errors
    /// When the process has no descriptor left, or the connection broke before it was taken.
    fn accept(&self, listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>>;

    /// A UDP socket at an address.
    ///
    /// # Errors
    /// When the address cannot be had.
    fn bind(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::DatagramSocket>>;

    /// One line for the operators.
    fn log(&self, line: fmt::Arguments<'_>);

    /// Returns after so long.
    fn sleep(&self, time: Duration) -> impl Future<Output = ()> {
        self.sleep_until(self.now() + time)
    }

    /// What the future gives, if it does by then.
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

    /// What the future gives, if it does within this time.
    fn timeout<F: Future>(
        &self,
        time: Duration,
        work: F,
    ) -> impl Future<Output = Result<F::Output, Elapsed>> {
        self.timeout_at(self.now() + time, work)
    }
}

/// The half of a connection that reads.
pub trait ReadStream: AsyncRead + Unpin {
    /// Whether the peer has ended its sending or reset the connection, also where bytes before that are still unread. Of
    /// an end that stands behind more than the machine holds unread, it knows nothing yet.
    fn has_peer_closed(&self) -> bool;
}

/// A TCP connection. Dropped, it is closed; with bytes unread it is reset.
pub trait Stream: AsyncRead + AsyncWrite + Unpin + 'static {
    /// The half that reads.
    type Reader<'a>: ReadStream;
    /// The half that writes.
    type Writer<'a>: AsyncWrite + Unpin;

    /// Both halves, to be used side by side.
    fn split(&mut self) -> (Self::Reader<'_>, Self::Writer<'_>);

    /// Sends what is written at once, however little it is.
    ///
    /// # Errors
    /// When the connection is gone.
    fn set_nodelay(&self) -> io::Result<()>;

    /// Whether nothing has come that was not read: neither a byte nor an end.
    fn has_no_pending_input(&self) -> bool;

    /// Acknowledges what came without the usual delay, where that can be had.
    fn acknowledge_immediately(&self);
}

/// A UDP socket. What it sends may come late, twice, in another order or not at all.
pub trait DatagramSocket: 'static {
    /// Sends one datagram.
    ///
    /// # Errors
    /// When the machine does not take it: it is too long, or there is no way to the address.
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<usize>>;

    /// The next datagram, cut to the buffer, and where it came from.
    ///
    /// # Errors
    /// When the socket failed, for instance since an earlier datagram of its found nobody.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
}
