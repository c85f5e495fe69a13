//! One attempt: a connection, one command on it, and its response as an [`Outcome`].

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

/// How long an attempt may take.
#[derive(Clone, Debug)]
pub struct AttemptLimit {
    /// Its last byte is written by then, or none of it counts.
    pub write_by: Option<Instant>,
    /// It has ended by then ...
    pub until: Instant,
    /// ... or by then, if that is later: it may move while the attempt is in flight.
    pub extended_until: Option<Rc<Cell<Instant>>>,
}

impl AttemptLimit {
    /// By when the attempt ends, as it stands now.
    pub fn until(&self) -> Instant {
        self.extended_until
            .as_ref()
            .map_or(self.until, |extended| extended.get().max(self.until))
    }

    fn write_by(&self) -> Instant {
        let until = self.until();
        self.write_by.map_or(until, |write_by| write_by.min(until))
    }
}

/// How an attempt ended, and the answer if it served the request.
pub struct AttemptResult {
    /// How it ended.
    pub outcome: Outcome,
    /// How the read went, where the server said it.
    pub cache_status: Option<CacheStatus>,
    /// The answer; `None` also for one that was streamed.
    pub answer: Option<Answer>,
    /// Bytes of a response arrived: the connection was alive, whatever the outcome.
    pub response_started: bool,
    /// The connection that the attempt went out on.
    pub connection_use: ConnectionUse,
    /// The server's load report.
    pub load: Option<LoadReport>,
    /// When the answer began to be streamed: how long the rest takes depends on the client.
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

/// Who receives a long value.
pub enum BodyConsumer {
    /// A client, piece by piece.
    Stream(mpsc::Sender<BodyChunk>),
    /// Several clients, or one that waits for more than this value; once it is whole. Told when nobody waits any more.
    Buffer(Rc<Notify>),
    /// Nobody waits for it.
    Nobody,
}

/// Whom an attempt is made for, and who knows whether it is still wanted.
pub trait AttemptOwner {
    /// Whether new attempts may go to a server now.
    fn is_accepting(&self, server: &ServerId) -> bool;

    /// Whether an attempt is still wanted: its request waits for a response, and it was not cancelled.
    fn is_wanted(&self, id: RequestId, attempt: AttemptNumber) -> bool;

    /// A long value has begun to arrive: from here on the request has its response.
    fn begin_streaming(self: Rc<Self>, id: RequestId, attempt: AttemptNumber) -> BodyConsumer;

    /// The client takes a streamed value so slowly that the server has done its work: the attempt counts as ended. The
    /// value had begun to arrive after `took`.
    fn client_stalled(self: Rc<Self>, id: RequestId, attempt: AttemptNumber, took: Duration);
}

/// Whose an attempt is, and how long it may take.
#[derive(Clone)]
pub struct AttemptContext {
    /// Whom it is made for.
    pub owner: Rc<dyn AttemptOwner>,
    /// Its request.
    pub id: RequestId,
    /// Its number among the attempts of the request.
    pub attempt: AttemptNumber,
    /// How long it may take.
    pub limit: AttemptLimit,
    /// Its last byte has been written: from then on it may run.
    pub is_sent: Rc<Cell<bool>>,
}

impl AttemptContext {
    /// Whether it is still wanted.
    pub fn is_wanted(&self) -> bool {
        self.owner.is_wanted(self.id, self.attempt)
    }

    /// A long value has begun to arrive.
    pub fn begin_streaming(&self) -> BodyConsumer {
        self.owner.clone().begin_streaming(self.id, self.attempt)
    }

    /// The client stalls a streamed value that had begun to arrive after `took`.
    pub fn client_stalled(&self, took: Duration) {
        self.owner
            .clone()
            .client_stalled(self.id, self.attempt, took);
    }
}

impl<E: Environment> UpstreamPools<E> {
    /// Makes an attempt, from its connection to its outcome. It takes no longer than its limit.
    pub async fn attempt(
        self: Rc<Self>,
        server: ServerId,
        command: Rc<Command>,
        context: AttemptContext,
    ) -> AttemptResult {
        let (connection, connection_use) = match self.take_idle(&server) {
            Some(idle) => {
                let idle_time = Micros(self.age(idle.since).as_micros() as u64);
                (idle.connection, ConnectionUse::Reused(idle_time))
            }
            None => match self.connect(&server, &context).await {
                Ok(connection) => (connection, ConnectionUse::New),
                // No connection was attempted: that tells nothing of new connections.
                Err(Outcome::NotSent) => return Outcome::NotSent.into(),
                Err(outcome) => {
                    return AttemptResult {
                        connection_use: ConnectionUse::New,
                        ..outcome.into()
                    };
                }
            },
        };
        if !self.may_begin(&server, &connection, &context) {
            self.put_back(&server, connection);
            return Outcome::NotSent.into();
        }
        AttemptResult {
            connection_use,
            ..self.exchange(&server, connection, &command, &context).await
        }
    }

    /// Whether the attempt's first byte may be written, after the wait for its connection: the request still wants it,
    /// the server still accepts requests where this connection leads, and there is time left.
    fn may_begin(
        &self,
        server: &ServerId,
        connection: &Connection<E>,
        context: &AttemptContext,
    ) -> bool {
        self.is_current(server, connection)
            && context.owner.is_accepting(server)
            && context.is_wanted()
            && self.environment.now() <= context.limit.write_by()
    }

    /// One command and its response on a connection.
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

    /// Writes a command whole. An error is the outcome of the attempt.
    async fn write_command(
        &self,
        connection: &mut Connection<E>,
        command: &Command,
        context: &AttemptContext,
    ) -> Result<(), Outcome> {
        let wait_ms = context
            .limit
            .until()
            .saturating_duration_since(self.environment.now())
            .as_millis()
            .max(1);
        let encoded = command.encode(hooks::told_time(wait_ms as u64));
        self.write(connection, &encoded.head, context).await?;
        if encoded.long_value.is_empty() {
            return Ok(());
        }
        for piece in &encoded.long_value {
            self.write(connection, piece, context).await?;
        }
        self.write(connection, b"\r\n", context).await
    }

    /// Writes bytes while the attempt is wanted. A command that is given up before its last byte does not run.
    async fn write(
        &self,
        connection: &mut Connection<E>,
        bytes: &[u8],
        context: &AttemptContext,
    ) -> Result<(), Outcome> {
        let mut written = 0;
        while written < bytes.len() {
            // Checked whenever the connection is writable: a long value may wait for that for long.
            let write = poll_fn(|cx| match context.is_wanted() {
                true => Pin::new(&mut connection.stream)
                    .poll_write(cx, &bytes[written..])
                    .map(Some),
                false => Poll::Ready(None),
            });
            let write_by = context.limit.write_by();
            match self.environment.timeout_at(write_by, write).await {
                Ok(Some(Ok(count))) if count > 0 => written += count,
                Ok(None) => return Err(Outcome::NotSent),
                _ => return Err(Outcome::Unreachable),
            }
        }
        Ok(())
    }
}
