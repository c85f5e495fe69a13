//! Closes connections without losing the last response written.

use super::client::Client;
use super::connections::ClientConnections;
use super::responses::WRITE_STALL_TIMEOUT;
use crate::environment::{Environment, ReadStream, Stream};
use crate::mutation::hooks;
use crate::resp::READ_BYTES;
use bytes::BytesMut;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// How often a client that is not being read is checked for a disconnect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How often a connection that is to be closed is checked for responses that the client has not taken
/// yet.
pub(super) const OUTPUT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
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

    /// Closes the connection once the client has taken all responses, at once if it is evicted.
    pub(super) async fn close(&self, mut stream: E::Stream, client: &Client) {
        if !client.is_evicted.get() {
            self.output_sent(&mut stream, client).await;
        }
    }

    /// Waits until the client has taken all responses, or has been slow for too long. From then on
    /// closing the connection loses none of them, whatever the client sends.
    async fn output_sent(&self, stream: &mut E::Stream, client: &Client) {
        let (reader, _) = stream.split();
        let sent = async {
            while reader.has_unsent_output() && !reader.has_peer_closed() {
                client.has_unsent_output.set(true);
                self.environment.sleep(OUTPUT_CHECK_INTERVAL).await;
            }
        };
        // The client has stalled if this takes too long.
        let _ = self.environment.timeout(WRITE_STALL_TIMEOUT, sent).await;
        client.has_unsent_output.set(false);
    }

    /// Shuts down the sending side and discards input for a short time. Closing a connection with
    /// unread input would reset it, and the last response could be lost.
    pub(super) async fn close_after_discard(&self, mut stream: E::Stream, client: &Client) {
        self.output_sent(&mut stream, client).await;
        let discard = async {
            let mut remaining_bytes = MAX_DISCARD_BYTES;
            let mut discarded = BytesMut::new();
            stream.shutdown().await?;
            loop {
                let read = self
                    .read_buffer
                    .read(&mut stream, &mut discarded, READ_BYTES);
                let count = read.await?;
                discarded.clear();
                remaining_bytes = remaining_bytes.saturating_sub(count);
                if count == 0 {
                    break;
                }
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
