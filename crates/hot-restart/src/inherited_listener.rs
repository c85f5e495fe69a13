//! The listening socket that the platform holds, which every process inherits as a descriptor of a given number.
//!
//! The standard library takes a descriptor by its number only with `unsafe`, which this project forbids. Instead the
//! kernel makes a checked, owned copy (`pidfd_getfd(2)`, Linux 5.6); the inherited descriptor stays open and unused.
//! Libraries for socket activation (`listenfd`, `sd-listen-fds`) read other environment variables, and do not check
//! what a descriptor is.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use thiserror::Error;

/// Why an inherited descriptor is not used.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The descriptor is closed, or the kernel refuses a copy.
    #[error(transparent)]
    Descriptor(#[from] io::Error),
    /// The descriptor is not a listening TCP socket.
    #[error("is no listening TCP socket")]
    NotListening,
    /// The socket listens on this address, not on the configured one.
    #[error("listens on {0}")]
    OtherAddress(SocketAddr),
}

/// The listener behind an inherited descriptor, in non-blocking mode. It must listen on `addr`, unless the port of
/// `addr` is 0.
///
/// # Errors
/// When the descriptor is closed, not a listening TCP socket, or listens on another address.
pub fn inherited_listener(descriptor: i32, addr: SocketAddr) -> Result<TcpListener, InheritError> {
    let socket = socket2::Socket::from(duplicate_descriptor(descriptor)?);
    let is_stream = matches!(socket.r#type(), Ok(socket2::Type::STREAM));
    let is_listener = socket.is_listener().unwrap_or(false);
    if !is_stream || !is_listener {
        return Err(InheritError::NotListening);
    }
    socket.set_nonblocking(true)?;
    let listener = TcpListener::from(socket);
    let local_addr = listener
        .local_addr()
        .map_err(|_| InheritError::NotListening)?;
    if addr.port() != 0 && local_addr != addr {
        return Err(InheritError::OtherAddress(local_addr));
    }
    Ok(listener)
}

/// A copy of one of this process's own descriptors.
fn duplicate_descriptor(descriptor: i32) -> io::Result<OwnedFd> {
    let process = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(process, descriptor, PidfdGetfdFlags::empty())?)
}
