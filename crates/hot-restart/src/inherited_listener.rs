//! The listening socket that the platform holds and every process inherits as a descriptor of a stated number.
//!
//! The standard library takes a descriptor by number only with `unsafe`, which this project forbids. The kernel gives a
//! process a copy of one of its own descriptors by number, checked by it (`pidfd_getfd(2)`, Linux 5.6): the copy is
//! owned, the inherited one stays open and is never used. Socket activation's libraries (`listenfd`, `sd-listen-fds`)
//! want other variables and take descriptors without looking what they are.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::fmt;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Why an inherited descriptor is not used.
#[derive(Debug)]
pub enum InheritError {
    /// It cannot be had: closed, or the kernel refuses.
    Descriptor(io::Error),
    /// It is no TCP socket that listens.
    NotListening,
    /// It listens elsewhere.
    Elsewhere(SocketAddr),
}

impl fmt::Display for InheritError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            InheritError::Descriptor(error) => write!(f, "{error}"),
            InheritError::NotListening => f.write_str("is no listening TCP socket"),
            InheritError::Elsewhere(addr) => write!(f, "listens on {addr}"),
        }
    }
}

/// The listener behind an inherited descriptor, without blocking; it must listen on `addr` (any address of its own if
/// the port there is 0).
///
/// # Errors
/// When the descriptor is closed, no listening TCP socket, or listens elsewhere.
pub fn inherited_listener(descriptor: i32, addr: SocketAddr) -> Result<TcpListener, InheritError> {
    let own = |error: rustix::io::Errno| InheritError::Descriptor(error.into());
    let process = pidfd_open(getpid(), PidfdFlags::empty()).map_err(own)?;
    let socket = pidfd_getfd(process, descriptor, PidfdGetfdFlags::empty()).map_err(own)?;
    let socket = socket2::Socket::from(socket);
    let is_tcp = matches!(socket.r#type(), Ok(socket2::Type::STREAM));
    if !is_tcp || !socket.is_listener().unwrap_or(false) {
        return Err(InheritError::NotListening);
    }
    socket
        .set_nonblocking(true)
        .map_err(InheritError::Descriptor)?;
    let listener = TcpListener::from(socket);
    let found = listener
        .local_addr()
        .map_err(|_| InheritError::NotListening)?;
    if addr.port() != 0 && found != addr {
        return Err(InheritError::Elsewhere(found));
    }
    Ok(listener)
}
