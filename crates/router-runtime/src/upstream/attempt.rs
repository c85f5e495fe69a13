//! One attempt: takes a connection, sends one command on it, and turns the response into an
//! [`Outcome`].

use super::connection::Connection;
use super::pool::UpstreamPools;
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::request::{Answer, BodyChunk};
use crate::resp::Command;
use load_balancer::{
    AttemptNumber, CacheStatus, ConnectionUse, LoadReport, Micros, Outcome, RequestId, ServerId,
};
use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant};
use tokio::io::AsyncWrite;
use tokio::sync::{Notify, mpsc};

/// The deadlines of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptDeadlines {
    /// The command has to be written completely by then; otherwise it counts as not executed.
    pub write_deadline: Option<Instant>,
    /// The attempt has to end by then, unless `extended_deadline` is later.
    pub deadline: Instant,
    /// A later deadline, which may move while the attempt is in flight.
    pub extended_deadline: Option<Rc<Cell<Instant>>>,
    /// The deadline of the request, until which a value that has begun to arrive is read.
    pub request_deadline: Instant,
    /// A value has begun to arrive: its server is slow, but has not failed.
    pub has_begun_value: Cell<bool>,
}

impl AttemptDeadlines {
    /// The deadline in force now.
    pub fn deadline(&self) -> Instant {
        let deadline = match self.has_begun_value.get() {
            true => self.deadline.max(self.request_deadline),
            false => self.deadline,
        };
        self.extended_deadline
            .as_ref()
            .map_or(deadline, |extended| extended.get().max(deadline))
    }

    fn write_deadline(&self) -> Instant {
        let deadline = self.deadline();
        self.write_deadline
            .map_or(deadline, |write_deadline| write_deadline.min(deadline))
    }
}

/// Result of an attempt, with the answer if it served the request.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the cache had the value, if the server reported it.
    pub cache_status: Option<CacheStatus>,
    /// The answer; `None` if there is none or it was streamed to the client.
    pub answer: Option<Answer>,
    /// Whether bytes of a response arrived, which shows that the connection was alive.
    pub response_started: bool,
    /// Whether the attempt used a new or a pooled connection.
    pub connection_use: ConnectionUse,
    /// The server's load report.
    pub load: Option<LoadReport>,
    /// When streaming of the answer began, if it was streamed. The time that the rest takes depends
    /// on the client.
    pub streaming_since: Option<Instant>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            cache_status: None,
            answer: None,
            response_started: false,
            connection_use: ConnectionUse::Unknown,
            load: None,
            streaming_since: None,
        }
    }
}

/// What to do with a long value.
pub enum BodyConsumer {
    /// Stream it to one client, chunk by chunk.
    Stream(mpsc::Sender<BodyChunk>),
    /// Buffer it: several clients wait for it, or one client that waits for other values as well.
    Buffer(BufferedBody),
    /// Discard it: no client waits for it.
    Discard,
}

/// Events that concern a long value that is buffered.
#[derive(Clone)]
pub struct BufferedBody {
    /// Notified when no client waits for the value any more.
    pub abandoned: Rc<Notify>,
    /// Notified when another response on the client's connection has been written, so that the value
    /// may perhaps be streamed.
    pub advanced: Rc<Notify>,
}

/// The component that an attempt is made for. It knows whether the attempt is still needed.
pub trait AttemptOwner {
    /// Whether new attempts may be sent to a server now.
    fn is_accepting(&self, server: &ServerId) -> bool;

    /// Whether an attempt is still wanted: its request is pending, and it was not cancelled.
    fn is_wanted(&self, id: RequestId, attempt: AttemptNumber) -> bool;

    /// Called when a long value begins to arrive, and while it is buffered. If it is to be streamed,
    /// the request has its response from then on.
    fn begin_streaming(self: Rc<Self>, id: RequestId, attempt: AttemptNumber) -> BodyConsumer;

    /// Called when the client reads a streamed value too slowly. The attempt counts as ended, since
    /// the rest of its time depends on the client and not on the server. `time_to_first_byte` is
    /// the time from the command to the beginning of the value.
    fn client_stalled(
        self: Rc<Self>,
        id: RequestId,
        attempt: AttemptNumber,
        time_to_first_byte: Duration,
    );
}

/// Owner, identity and deadlines of an attempt.
#[derive(Clone)]
pub struct AttemptContext {
    /// The component that it is made for.
    pub owner: Rc<dyn AttemptOwner>,
    /// Id of its request.
    pub id: RequestId,
    /// Its number among the attempts of the request.
    pub attempt: AttemptNumber,
    /// Its deadlines.
    pub deadlines: AttemptDeadlines,
    /// Whether the command is written completely. From then on the server may execute it.
    pub is_sent: Rc<Cell<bool>>,
}

impl AttemptContext {
    /// Whether the attempt is still wanted.
    pub fn is_wanted(&self) -> bool {
        self.owner.is_wanted(self.id, self.attempt)
    }

    /// Reports that a long value has begun to arrive, or goes on to arrive while it is buffered.
    pub fn begin_streaming(&self) -> BodyConsumer {
        self.owner.clone().begin_streaming(self.id, self.attempt)
    }

    /// Reports that the client has stalled a streamed value that had begun to arrive after
    /// `time_to_first_byte`.
    pub fn client_stalled(&self, time_to_first_byte: Duration) {
        self.owner
            .clone()
            .client_stalled(self.id, self.attempt, time_to_first_byte);
    }
}

impl<E: Environment> UpstreamPools<E> {
    /// Makes an attempt. It ends by its deadline, unless its answer is being streamed by then.
    pub async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        command: Rc<Command>,
        context: AttemptContext,
    ) -> AttemptResult {
        let (connection, connection_use) = match self.take_idle(&server) {
            Some(idle) => {
                let idle_time = Micros(self.elapsed_since(idle.idle_since).as_micros() as u64);
                (idle.connection, ConnectionUse::Reused(idle_time))
            }
            None => match self.connect(&server, &context).await {
                Ok(connection) => (connection, ConnectionUse::New),
                // No connection was opened, so the result carries no information about new ones.
                Err(Outcome::NotSent) => return Outcome::NotSent.into(),
                Err(outcome) => {
                    return AttemptResult {
                        connection_use: ConnectionUse::New,
                        ..outcome.into()
                    };
                }
            },
        };
        if !self.may_send(&server, &connection, &context) {
            self.put_back(&server, connection);
            return Outcome::NotSent.into();
        }
        AttemptResult {
            connection_use,
            ..self.exchange(&server, connection, &command, &context).await
        }
    }

    /// Whether to send the command after the wait for a connection: the attempt is still wanted,
    /// the connection still leads to a server that accepts requests, and there is time left.
    fn may_send(
        &self,
        server: &ServerId,
        connection: &Connection<E>,
        context: &AttemptContext,
    ) -> bool {
        self.is_current(server, connection)
            && context.owner.is_accepting(server)
            && context.is_wanted()
            && self.environment.now() <= context.deadlines.write_deadline()
    }

    /// Sends the command on a connection and reads its response.
    async fn exchange(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        command: &Command,
        context: &AttemptContext,
    ) -> AttemptResult {
        connection.is_used = true;
        let written = self.write_command(&mut connection, command, context).await;
        if let Err(outcome) = written {
            return outcome.into();
        }
        context.is_sent.set(true);
        self.metrics().attempt_written();
        self.read_response(server, connection, context).await
    }

    /// Writes a command completely. An error is the outcome of the attempt.
    async fn write_command(
        &self,
        connection: &mut Connection<E>,
        command: &Command,
        context: &AttemptContext,
    ) -> Result<(), Outcome> {
        let wait_ms = context
            .deadlines
            .deadline()
            .saturating_duration_since(self.environment.now())
            .as_millis()
            .max(1);
        let encoded = command.encode(hooks::remaining_time(wait_ms as u64));
        self.write(connection, &encoded.head, context).await?;
        if encoded.long_value.is_empty() {
            return Ok(());
        }
        for chunk in &encoded.long_value {
            self.write(connection, chunk, context).await?;
        }
        self.write(connection, b"\r\n", context).await
    }

    /// Writes bytes while the attempt is wanted. A server does not execute a command that is
    /// abandoned before its last byte.
    async fn write(
        &self,
        connection: &mut Connection<E>,
        bytes: &[u8],
        context: &AttemptContext,
    ) -> Result<(), Outcome> {
        let mut written = 0;
        while written < bytes.len() {
            // Checked at each poll, since a long value may wait a long time until the connection is
            // writable.
            let write = poll_fn(|cx| match context.is_wanted() {
                true => Pin::new(&mut connection.stream)
                    .poll_write(cx, &bytes[written..])
                    .map(Some),
                false => Poll::Ready(None),
            });
            let write_deadline = context.deadlines.write_deadline();
            match self.environment.timeout_at(write_deadline, write).await {
                Ok(Some(Ok(count))) if count > 0 => written += count,
                Ok(None) => return Err(Outcome::NotSent),
                _ => return Err(Outcome::Unreachable),
            }
        }
        Ok(())
    }
}
