//! Listeners on loopback.

use std::net::SocketAddr;
use tokio::net::TcpListener;

/// Listens on a free loopback port.
pub(crate) async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a free loopback port");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    (listener, address)
}
