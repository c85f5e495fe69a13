//! Closes connections without losing the last response written.

use super::connections::ClientConnections;
use crate::environment::{Environment, ReadStream, Stream};
use crate::mutation::hooks;
use crate::resp::READ_BYTES;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// How often a client that is not being read is checked for a disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How many bytes are read and discarded after the last response. Closing with unread input would
/// reset the connection, and the client could lose an error reply.
const MAX_DISCARD_BYTES: usize = 256 * 1024;
/// How long a client has to read the last response before its connection is closed.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

impl<E: Environment> ClientConnections<E> {
    /// Completes once a client that is not being read has disconnected. Without this check,
    /// requests of a disconnected client would keep running, as the end of its stream comes after
    /// commands that are not read yet.
    pub(super) async fn disconnected(&self, stream: &impl ReadStream) {
        while !hooks::is_disconnect_noticed(stream.has_peer_closed()) {
            self.environment.sleep(DISCONNECT_CHECK_INTERVAL).await;
        }
    }

    /// Shuts down the sending side, and gives the client time to read the last response. Its
    /// further input stays unread, so that the client can send it again elsewhere.
    pub(super) async fn close_unread(&self, mut stream: E::Stream) {
        if stream.shutdown().await.is_ok() {
            // The connection is closed even if this fails.
            let _ = self
                .environment
                .timeout(DISCARD_TIMEOUT, self.disconnected(&stream.split().0))
                .await;
        }
    }

    /// Shuts down the sending side and discards input for a short time. Closing a connection with
    /// unread input would reset it, and the last response could be lost.
    pub(super) async fn close_after_discard(&self, mut stream: E::Stream) {
        let discard = async {
            let mut remaining_bytes = MAX_DISCARD_BYTES;
            let mut bytes = [0; READ_BYTES];
            stream.shutdown().await?;
            while let count @ 1.. = stream.read(&mut bytes).await? {
                remaining_bytes = remaining_bytes.saturating_sub(count);
                if remaining_bytes == 0 {
                    break;
                }
            }
            io::Result::Ok(())
        };
        // The connection is closed even if this fails.
        let _ = self.environment.timeout(DISCARD_TIMEOUT, discard).await;
    }
}
