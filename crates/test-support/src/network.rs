//! Addresses and listeners that do not respond.

use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

/// First port that [`unused_addr`] uses. All its ports are below the ephemeral range, so the kernel
/// assigns none of them to a connection.
const FIRST_PORT: u16 = 10_000;
/// Number of ports for each test process.
const PORTS_PER_PROCESS: u16 = 40;
/// Number of port ranges; a test process uses the one that its process id selects.
const PORT_RANGE_COUNT: u32 = 500;

/// Returns a loopback address that nothing listens on.
pub fn unused_addr() -> SocketAddr {
    static DRAWN_COUNT: AtomicU16 = AtomicU16::new(0);
    let range = (std::process::id() % PORT_RANGE_COUNT) as u16;
    let first = FIRST_PORT + range * PORTS_PER_PROCESS;
    loop {
        let port = first + DRAWN_COUNT.fetch_add(1, Ordering::Relaxed);
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if is_unused(addr) {
            return addr;
        }
    }
}

/// Whether nothing listens on an address. The socket that asks never listens itself: a process that
/// another thread is just starting holds a copy of it for a moment, beside which the address can
/// still be used.
fn is_unused(addr: SocketAddr) -> bool {
    let bound = Socket::new(Domain::IPV4, Type::STREAM, None).and_then(|socket| {
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())
    });
    bound.is_ok()
}

/// Connects with a receive buffer of this size, in bytes.
pub fn connect_with_receive_buffer(addr: SocketAddr, bytes: usize) -> TcpStream {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)
        .expect("failed to create a socket");
    socket
        .set_recv_buffer_size(bytes)
        .expect("failed to set the receive buffer's size");
    socket.connect(&addr.into()).expect("failed to connect");
    TcpStream::from(socket)
}

/// Returns a listener with a full backlog and the connections that fill it. The kernel drops
/// further connection attempts, as if the host were unreachable.
pub fn unresponsive_listener() -> (TcpListener, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket
        .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
        .unwrap();
    socket.listen(0).unwrap();
    let listener = TcpListener::from(socket);
    let addr = listener.local_addr().unwrap();
    let connect_timeout = Duration::from_millis(100);
    let backlog_connections = (0..4)
        .map_while(|_| TcpStream::connect_timeout(&addr, connect_timeout).ok())
        .collect();
    (listener, backlog_connections)
}
