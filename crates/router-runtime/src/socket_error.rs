//! What a failed system call on a socket tells: whether it concerns one connection, or this machine alone.

use std::io;

/// Whether `accept` reports the end of the one connection that it was to return: the next one may be taken at once.
/// accept(2) passes errors on that the network has for the new connection.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::ECONNABORTED
                | libc::EINTR
                | libc::EPROTO
                | libc::ENOPROTOOPT
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::EHOSTDOWN
                | libc::EHOSTUNREACH
                | libc::ENONET
                | libc::EOPNOTSUPP
                | libc::ETIMEDOUT
        )
    )
}

/// Whether `connect` failed on this machine: no packet has reached the other one.
pub fn is_local(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::EADDRNOTAVAIL
                | libc::EADDRINUSE
                | libc::EAGAIN
                | libc::EINTR
                | libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::ENETDOWN
                | libc::ENETUNREACH
                | libc::EPERM
                | libc::EACCES
        )
    )
}
