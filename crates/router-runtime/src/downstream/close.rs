//! How a connection is closed without losing what was last written on it.

use super::connections::ClientConnections;
use crate::environment::{Environment, ReadStream, Stream};
use crate::mutation::hooks;
use crate::resp::READ_BYTES;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How often a client that is not being read is checked for its disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How much is read and discarded after the last response that ends a connection, so that the error is not lost with unread bytes.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// How long a client has to read the last response before its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

impl<E: Environment> ClientConnections<E> {
    /// Returns once a client that is not being read has disconnected. Guards against requests for nobody: the end of
    /// its connection stands behind commands that are not read yet.
    pub(super) async fn disconnected(&self, stream: &impl ReadStream) {
        while !hooks::has_disconnected(stream.has_peer_closed()) {
            self.environment.sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Ends sending, and leaves the client time to read that. What it still sends stays unread, so that it can send it
    /// again elsewhere.
    pub(super) async fn close_unread(&self, mut stream: E::Stream) {
        if stream.shutdown().await.is_ok() {
            // However it ends, the connection is closed now.
            let _ = self
                .environment
                .timeout(DISCARD_TIMEOUT, self.disconnected(&stream.split().0))
                .await;
        }
    }

    /// Ends sending and reads on for a moment. A connection that is closed with bytes unread is reset, and what was
    /// last written to it may be lost with that.
    pub(super) async fn close_after_discard(&self, mut stream: E::Stream) {
        let discard = async {
            let mut left = MAX_DISCARD_BYTES;
            let mut bytes = [0; READ_BYTES];
            stream.shutdown().await?;
            while let count @ 1.. = stream.read(&mut bytes).await? {
                left = left.saturating_sub(count);
                if left == 0 {
                    break;
                }
            }
            io::Result::Ok(())
        };
        // However it ends, the connection is closed now.
        let _ = self.environment.timeout(DISCARD_TIMEOUT, discard).await;
    }
}
