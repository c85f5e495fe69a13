//! Classification of errors of socket system calls, and a connect that retries after failures local
//! to this machine.

use crate::environment::Environment;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// A connect that fails locally is retried for this long.
const LOCAL_RETRY_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between such retries.
const LOCAL_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Whether an error of `accept` concerns only the connection that it was to return, so that the
/// next one can be accepted at once. `accept(2)` returns pending network errors of the new
/// connection.
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

/// Whether `connect` failed on this machine, so that no packet has reached the peer.
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

/// Connects, and retries local failures for a short time: they are usually brief and tell nothing
/// about the peer. `None` if the connection is no longer wanted after a failure.
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
