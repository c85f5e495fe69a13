//! The environment in production: the system's clocks, tokio's timers and tasks, and real sockets.

use crate::clock::to_micros;
use crate::environment::{DatagramSocket, Environment, ReadStream, Stream};
use load_balancer::WallTime;
use rustix::event::{PollFd, PollFlags, Timespec};
use std::fmt;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::io::Interest;
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// Length of the listener's queue of connections that are not accepted yet.
const BACKLOG: u32 = 1024;
/// `TCP_NOTSENT_LOWAT`, in bytes: the socket is writable only while no written byte is unsent.
const NO_UNSENT_BYTES: u32 = 1;
/// `TCP_NOTSENT_LOWAT`: the system's default applies.
const SYSTEM_DEFAULT: u32 = 0;

/// The environment of this process. It has to be used within a [`tokio::task::LocalSet`], on a
/// runtime with its I/O and time drivers enabled.
#[derive(Clone, Copy, Debug)]
pub struct TokioEnvironment;

impl Environment for TokioEnvironment {
    type Stream = TcpStream;
    type Listener = TcpListener;
    type DatagramSocket = UdpSocket;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_now(&self) -> WallTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        WallTime::from_unix_micros(to_micros(since_epoch.unwrap_or_default()).0)
    }

    fn sleep_until(&self, at: Instant) -> impl Future<Output = ()> {
        tokio::time::sleep_until(at.into())
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        tokio::task::spawn_local(task);
    }

    fn connect(&self, to: SocketAddr) -> impl Future<Output = io::Result<TcpStream>> {
        TcpStream::connect(to)
    }

    async fn accept(&self, listener: &TcpListener) -> io::Result<TcpStream> {
        listener.accept().await.map(|(stream, _)| stream)
    }

    fn bind(&self, at: SocketAddr) -> impl Future<Output = io::Result<UdpSocket>> {
        UdpSocket::bind(at)
    }

    fn log(&self, line: fmt::Arguments<'_>) {
        eprintln!("asterport: {line}");
    }
}

impl DatagramSocket for UdpSocket {
    fn send_to(&self, bytes: &[u8], to: SocketAddr) -> impl Future<Output = io::Result<usize>> {
        UdpSocket::send_to(self, bytes, to)
    }

    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>> {
        self.recv_from(buffer)
    }
}

impl ReadStream for ReadHalf<'_> {
    fn has_peer_closed(&self) -> bool {
        // One poll without a waker returns the readiness that tokio knows so far.
        let ready =
            pin!(self.ready(Interest::READABLE)).poll(&mut Context::from_waker(Waker::noop()));
        let is_known = matches!(ready, Poll::Ready(Ok(ready)) if ready.is_read_closed());
        is_known || has_closed_now(self.as_ref())
    }

    fn unread_bytes(&self) -> usize {
        let stream: &TcpStream = self.as_ref();
        let count = rustix::io::ioctl_fionread(stream).unwrap_or_default();
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    fn has_unsent_output(&self) -> bool {
        let stream: &TcpStream = self.as_ref();
        // With this option a socket is writable only while no written byte is unsent.
        let socket = socket2::SockRef::from(stream);
        if socket.set_tcp_notsent_lowat(NO_UNSENT_BYTES).is_err() {
            return false;
        }
        let mut descriptors = [PollFd::new(stream, PollFlags::OUT)];
        let is_writable = rustix::event::poll(&mut descriptors, Some(&Timespec::default()));
        // The socket stays usable if this fails, with a smaller send buffer.
        let _ = socket.set_tcp_notsent_lowat(SYSTEM_DEFAULT);
        is_writable == Ok(0)
    }
}

/// Whether the system has received the end of the stream or an error, which the event loop may not
/// have been told yet.
fn has_closed_now(stream: &TcpStream) -> bool {
    let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut descriptors = [PollFd::new(stream, PollFlags::RDHUP)];
    // A failed call tells nothing, and the event loop is told of a close soon after.
    let count = rustix::event::poll(&mut descriptors, Some(&Timespec::default()));
    count.is_ok_and(|count| count > 0) && descriptors[0].revents().intersects(closed)
}

impl Stream for TcpStream {
    type Reader<'a> = ReadHalf<'a>;
    type Writer<'a> = WriteHalf<'a>;

    fn split(&mut self) -> (ReadHalf<'_>, WriteHalf<'_>) {
        TcpStream::split(self)
    }

    fn set_nodelay(&self) -> io::Result<()> {
        TcpStream::set_nodelay(self, true)
    }

    fn has_no_pending_input(&self) -> bool {
        let mut byte = [std::mem::MaybeUninit::uninit()];
        let peeked = socket2::SockRef::from(self).peek(&mut byte);
        matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    fn acknowledge_immediately(&self) {
        // If the option cannot be set, the kernel acknowledges a little later.
        let _ = self.set_quickack(true);
    }
}

/// Listens on an address, with `SO_REUSEADDR` so that a restart can bind it again at once.
///
/// # Errors
/// When the address is not available.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}
