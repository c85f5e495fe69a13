//! What a failed system call on a socket tells: whether it concerns one connection, or this machine alone; and connects
//! that are tried again after a failure of this machine.

use crate::environment::Environment;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A connect that fails on this machine is tried again for so long ...
const LOCAL_RETRY_TIMEOUT: Duration = Duration::from_millis(100);
/// ... with this pause in between.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Whether `accept` reports the end of the one connection that it was to return: the next one may be taken at once.
/// accept(2) passes errors on that the network has for the new connection.
pub fn affects_one_connection(error: &io::Error) -> bool {
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
pub fn is_local_failure(error: &io::Error) -> bool {
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

/// Connects. What fails on this machine says nothing of the other one and passes soon: it is tried again for a while;
/// `None` if the connection is no longer wanted.
pub async fn connect_with_retry<E: Environment>(
    environment: &E,
    addr: SocketAddr,
    is_wanted: impl Fn() -> bool,
) -> io::Result<Option<E::Stream>> {
    let give_up_at = environment.now() + LOCAL_RETRY_TIMEOUT;
    loop {
        match environment.connect(addr).await {
            Err(error) if is_local_failure(&error) && environment.now() < give_up_at => {}
            connected => return connected.map(Some),
        }
        environment.sleep(LOCAL_RETRY_INTERVAL).await;
        if !is_wanted() {
            return Ok(None);
        }
    }
}
