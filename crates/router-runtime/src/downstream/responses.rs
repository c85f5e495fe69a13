//! Writes the responses of one connection in the order of its commands.

use super::client::Client;
use super::close_log::CloseReason;
use super::connections::ClientConnections;
use crate::environment::{Environment, Stream};
use crate::memory_budget::RequestCharge;
use crate::metrics::{RequestEnd, RouterMetrics};
use crate::mutation::hooks;
use crate::request::{Answer, BodyChunk, BodyPart, Response};
use bytes::Bytes;
use load_balancer::{ClassId, RequestId};
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::sync::{mpsc, oneshot};

/// A client that reads nothing of its response for this long is disconnected; slow clients pause
/// for seconds.
pub(super) const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A response in the queue of its connection, which is in command order.
pub(super) struct QueuedResponse {
    /// The response.
    pub response: PendingResponse,
    /// The memory of its request, released once the response is written.
    pub charge: Rc<RequestCharge>,
}

/// The response to one command.
pub(super) enum PendingResponse {
    /// A response that is known.
    Ready(Bytes),
    /// The last response on the connection: the input after its command cannot be parsed or need
    /// not be read.
    Last(Bytes),
    /// A response that is still awaited.
    Awaited(AwaitedResponse),
}

/// The awaited response to a submitted request.
pub(super) struct AwaitedResponse {
    /// Counts the request in the metrics.
    pub record: RequestRecord,
    /// Receives the response.
    pub response: oneshot::Receiver<Response>,
}

/// Counts a submitted request in the metrics when it ends. If this is dropped without an end, the
/// client has disconnected.
pub(super) struct RequestRecord {
    id: RequestId,
    class: ClassId,
    metrics: Rc<RouterMetrics>,
    end: Option<RequestEnd>,
}

impl RequestRecord {
    /// Counts a request that begins.
    pub fn begin(id: RequestId, class: ClassId, metrics: Rc<RouterMetrics>) -> Self {
        metrics.request_started();
        RequestRecord {
            id,
            class,
            metrics,
            end: None,
        }
    }
}

impl Drop for RequestRecord {
    fn drop(&mut self) {
        self.metrics.request_ended(self.class.0, self.end);
    }
}

impl<E: Environment> ClientConnections<E> {
    /// Writes responses in the order of the commands, until the channel is closed. An error ends
    /// the connection.
    pub(super) async fn write_responses(
        &self,
        mut writer: <E::Stream as Stream>::Writer<'_>,
        mut responses: mpsc::Receiver<QueuedResponse>,
        client: &Client,
    ) -> Result<(), CloseReason> {
        while let Some(queued) = responses.recv().await {
            let QueuedResponse {
                response,
                charge: _charge,
            } = queued;
            let answer = match response {
                PendingResponse::Ready(bytes) | PendingResponse::Last(bytes) => {
                    Answer::short(bytes)
                }
                PendingResponse::Awaited(awaited) => {
                    self.await_response(&mut writer, awaited, client).await?
                }
            };
            // The memory is released once the answer is written.
            let Answer {
                bytes,
                rest,
                memory: _memory,
            } = answer;
            let bytes = hooks::response_bytes(bytes);
            self.write(&mut writer, &bytes, client).await?;
            for chunk in rest {
                self.write(&mut writer, &chunk, client).await?;
            }
            client.response_written(self.environment.now());
        }
        Ok(())
    }

    /// Waits for a response and returns it. Writes a streamed one except for its last chunk, which
    /// is returned.
    async fn await_response(
        &self,
        writer: &mut <E::Stream as Stream>::Writer<'_>,
        awaited: AwaitedResponse,
        client: &Client,
    ) -> Result<Answer, CloseReason> {
        let AwaitedResponse {
            mut record,
            response,
        } = awaited;
        // The sender is never dropped without a response; if it were, the client must not wait
        // forever.
        let response = response.await.unwrap_or(Response::Failed);
        client.pending_requests.borrow_mut().remove(&record.id);
        let (end, answer) = match response {
            Response::Served(answer) => (RequestEnd::Served, Ok(answer)),
            Response::Rejected(Some(after)) => {
                let after_ms = after.0.div_ceil(1_000);
                let line = Bytes::from(format!("-BUSY {after_ms}\r\n"));
                (RequestEnd::Rejected, Ok(Answer::short(line)))
            }
            Response::Rejected(None) => {
                let line = Bytes::from_static(b"-BUSY\r\n");
                (RequestEnd::Rejected, Ok(Answer::short(line)))
            }
            Response::Failed => {
                let line = Bytes::from_static(b"-ERR failed\r\n");
                (RequestEnd::Failed, Ok(Answer::short(line)))
            }
            Response::Streamed(mut chunks) => {
                match self.stream(writer, &mut chunks, client).await {
                    Ok(last) => (RequestEnd::Served, Ok(Answer::short(last))),
                    // Closing the connection tells the client that the answer is incomplete. No other
                    // request waits on it.
                    Err(reason) => (RequestEnd::Failed, Err(reason)),
                }
            }
        };
        record.end = Some(end);
        answer
    }

    /// Writes all bytes, at the pace of the client.
    async fn write(
        &self,
        writer: &mut <E::Stream as Stream>::Writer<'_>,
        bytes: &[u8],
        client: &Client,
    ) -> Result<(), CloseReason> {
        let mut written = 0;
        while written < bytes.len() {
            let write = poll_fn(|context| {
                let write = Pin::new(&mut *writer).poll_write(context, &bytes[written..]);
                client.is_output_blocked.set(write.is_pending());
                write
            });
            match self.environment.timeout(WRITE_STALL_TIMEOUT, write).await {
                Ok(Ok(count)) if count > 0 => written += count,
                _ => return Err(CloseReason::ClientStalled),
            }
        }
        Ok(())
    }

    /// Writes a streamed answer except for its last chunk, which is returned.
    async fn stream(
        &self,
        writer: &mut <E::Stream as Stream>::Writer<'_>,
        chunks: &mut mpsc::Receiver<BodyChunk>,
        client: &Client,
    ) -> Result<Bytes, CloseReason> {
        while let Some(chunk) = chunks.recv().await {
            match chunk {
                BodyChunk::Last(bytes) => return Ok(bytes),
                BodyChunk::More(part) => {
                    let BodyPart {
                        bytes,
                        memory: _memory,
                    } = part;
                    self.write(writer, &bytes, client).await?;
                }
            }
        }
        Err(CloseReason::AnswerBrokenOff)
    }
}
