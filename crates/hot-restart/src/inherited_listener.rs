//! The listening socket that the platform keeps open, and that every process inherits as a file
//! descriptor of a given number.
//!
//! The standard library can take ownership of a descriptor number only in `unsafe` code, which this
//! project forbids. Instead the kernel makes an owned copy (`pidfd_getfd(2)`, Linux 5.6); the
//! inherited descriptor stays open and unused. Libraries for socket activation (`listenfd`,
//! `sd-listen-fds`) read other environment variables, and do not check the type of a descriptor.

use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use thiserror::Error;

/// Why an inherited descriptor cannot be used.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The descriptor is not open, or the kernel refuses to copy it.
    #[error(transparent)]
    Descriptor(#[from] io::Error),
    /// The descriptor is not a listening TCP socket.
    #[error("is no listening TCP socket")]
    NotListening,
    /// The socket listens on this address instead of the configured one.
    #[error("listens on {0}, not on the configured address")]
    OtherAddress(SocketAddr),
}

/// Opens the listener of an inherited descriptor, in non-blocking mode. It has to listen on `addr`,
/// unless the port of `addr` is 0.
///
/// # Errors
/// When the descriptor is not open, is not a listening TCP socket, or listens on another address.
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

/// Duplicates one of this process's descriptors.
fn duplicate_descriptor(descriptor: i32) -> io::Result<OwnedFd> {
    if descriptor < 0 {
        return Err(rustix::io::Errno::BADF.into());
    }
    let process = pidfd_open(getpid(), PidfdFlags::empty())?;
    Ok(pidfd_getfd(process, descriptor, PidfdGetfdFlags::empty())?)
}
