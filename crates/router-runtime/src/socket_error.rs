//! What a failed system call on a socket tells.

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
