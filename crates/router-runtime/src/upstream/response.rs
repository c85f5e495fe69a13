//! Reads the response to the command in flight on a connection: completely if it is short, buffered
//! or streamed if it is long.
//!
//! After a malformed response the command counts as possibly executed, and the connection is
//! closed, since later bytes cannot be matched to a command. It is also closed if bytes follow a
//! valid response.

use super::attempt::{AttemptContext, AttemptResult, BodyConsumer};
use super::connection::Connection;
use super::pool::UpstreamPools;
use super::repeated_reply::UnknownReply;
use crate::environment::Environment;
use crate::memory_budget::MemoryReservation;
use crate::mutation::hooks;
use crate::request::{Answer, BodyChunk};
use crate::resp::{
    Digest, LoadReportText, LongValue, LongValueReader, READ_BYTES, Reply, ReplyReader, ValuePart,
};
use bytes::Bytes;
use load_balancer::{ConnectionUse, LoadReport, Outcome, ServerId};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A value is served without its load report if the report takes longer.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(20);
/// Size of one read of a long value that is streamed.
const STREAM_READ_BYTES: usize = 16 * 1024;
/// A client that reads nothing of a streamed value for this long has stalled it; the attempt is
/// then recorded as ended, since the delay is not the server's.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(50);
/// A server that sends nothing of a streamed value for this long has failed. Slow servers pause for
/// seconds.
const SERVER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How often an answer that waits for memory is checked.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Result of a wait for more bytes of a response.
pub(super) enum ReadResult {
    /// Bytes arrived.
    Received,
    /// The attempt's deadline was extended during the wait.
    DeadlineExtended,
    /// The attempt's deadline passed.
    TimedOut,
    /// The connection ended or failed, or the server paused for too long within a response.
    ConnectionLost,
}

/// A long value that is streamed to its client.
struct ValueStream {
    /// When its command was sent.
    sent_at: Instant,
    long_value: LongValue,
    chunks: mpsc::Sender<BodyChunk>,
}

/// The client of a streamed value has disconnected.
struct ClientDisconnected;

impl<E: Environment> UpstreamPools<E> {
    /// Reads the response to the command in flight.
    pub(super) async fn read_response(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        context: &AttemptContext,
    ) -> AttemptResult {
        let sent_at = self.environment.now();
        let mut reader = ReplyReader::default();
        let mut response_started = false;
        loop {
            if let Some(long_value) = LongValue::begin(&mut connection.received) {
                match context.begin_streaming() {
                    BodyConsumer::Stream(chunks) => {
                        let value = ValueStream {
                            sent_at,
                            long_value,
                            chunks,
                        };
                        return self
                            .stream_response(server, connection, value, context)
                            .await;
                    }
                    BodyConsumer::Discard => return Outcome::Cancelled.into(),
                    BodyConsumer::Buffer(abandoned) => {
                        let buffered =
                            self.buffer_response(server, connection, long_value, context);
                        return tokio::select! {
                            biased;
                            result = buffered => result,
                            () = abandoned.notified() => Outcome::Cancelled.into(),
                        };
                    }
                }
            }
            match reader.next(&mut connection.received) {
                Ok(Some(reply)) => {
                    return match self
                        .own_reply(server, &mut connection, reply, context)
                        .await
                    {
                        Ok(reply) => self.reply_received(server, connection, reply),
                        Err(UnknownReply::TimedOut) => self.timed_out(server, connection, true),
                        Err(UnknownReply::Ambiguous) => connection_lost(true),
                    };
                }
                Ok(None) => {}
                Err(_) => return connection_lost(true),
            }
            let pause = response_started.then(|| self.pause_timeout(&reader));
            let read = connection.read(READ_BYTES);
            match self.read_more(read, context, pause).await {
                ReadResult::Received => response_started = true,
                ReadResult::DeadlineExtended => {}
                _ if reader.has_value() => {
                    let reply = reader.served_without_report(&connection.received);
                    return self.attempt_result(reply);
                }
                ReadResult::TimedOut => {
                    return self.timed_out(server, connection, response_started);
                }
                ReadResult::ConnectionLost => {
                    self.broken.close(connection);
                    return connection_lost(response_started);
                }
            }
        }
    }

    /// Returns the connection to its pool, unless bytes follow the reply.
    fn reply_received(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        reply: Reply,
    ) -> AttemptResult {
        if connection.received.is_empty() {
            self.put_back(server, connection);
        }
        self.attempt_result(reply)
    }

    /// Closes the connection, since the response may still arrive on it.
    fn timed_out(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        response_started: bool,
    ) -> AttemptResult {
        hooks::timed_out_connection(connection, |connection| self.put_back(server, connection));
        AttemptResult {
            response_started,
            ..Outcome::TimedOut.into()
        }
    }

    /// How long a server may pause within a response. Cache servers write a response in a few
    /// pieces in quick succession.
    fn pause_timeout(&self, reader: &ReplyReader) -> Duration {
        if reader.has_value() {
            LOAD_REPORT_TIMEOUT
        } else {
            self.limits.connect_timeout
        }
    }

    /// Waits for `read` until the attempt's deadline, or for at most `pause`.
    pub(super) async fn read_more(
        &self,
        read: impl Future<Output = io::Result<usize>>,
        context: &AttemptContext,
        pause: Option<Duration>,
    ) -> ReadResult {
        let end = context.deadlines.deadline();
        let read_by = pause.map_or(end, |pause| end.min(self.environment.now() + pause));
        match self.environment.timeout_at(read_by, read).await {
            Ok(Ok(count)) if count > 0 => ReadResult::Received,
            Err(_) if read_by == end && context.deadlines.deadline() > end => {
                ReadResult::DeadlineExtended
            }
            Err(_) if read_by == end => ReadResult::TimedOut,
            _ => ReadResult::ConnectionLost,
        }
    }

    /// Buffers a long value until it is complete: several clients wait for it, or its client waits
    /// for other responses as well.
    async fn buffer_response(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        long_value: LongValue,
        context: &AttemptContext,
    ) -> AttemptResult {
        let LongValue { head, mut reader } = long_value;
        let mut rest = Vec::new();
        let mut memory = self.memory.answers.reserve(connection.received.len());
        let mut digest = Digest::of(&head);
        let reply = loop {
            match reader.next_full_chunk(&mut connection.received) {
                Ok(Some(ValuePart::Last(reply))) => break reply,
                Ok(Some(ValuePart::Bytes(chunk))) => {
                    digest.add(&chunk);
                    rest.push(memory.hold(&chunk));
                    continue;
                }
                Ok(None) => {}
                Err(_) => return connection_lost(true),
            }
            // Within the value the server may pause until the attempt's deadline.
            let pause = reader.has_value().then_some(LOAD_REPORT_TIMEOUT);
            let read = self.read_buffered(&mut connection, &reader, &mut memory);
            match self.read_more(read, context, pause).await {
                ReadResult::Received | ReadResult::DeadlineExtended => {}
                _ if reader.has_value() => break reader.without_report(&connection.received),
                ReadResult::TimedOut => return self.timed_out(server, connection, true),
                ReadResult::ConnectionLost => {
                    self.broken.close(connection);
                    return connection_lost(true);
                }
            }
        };
        memory.complete();
        reply.add_to(&mut digest);
        let read_by = context.deadlines.deadline();
        if !self
            .is_own_long_reply(server, &mut connection, context, digest, read_by)
            .await
        {
            return connection_lost(true);
        }
        let result = self.reply_received(server, connection, reply);
        let answer = result.answer.map(|last| {
            rest.push(last.bytes);
            Answer {
                bytes: head,
                rest,
                memory: Some(Rc::new(memory)),
            }
        });
        AttemptResult { answer, ..result }
    }

    /// Reads more of a buffered value, once there is memory for it.
    async fn read_buffered(
        &self,
        connection: &mut Connection<E>,
        reader: &LongValueReader,
        memory: &mut MemoryReservation,
    ) -> io::Result<usize> {
        while !memory.may_read_more() {
            self.memory.reclaim_for(memory);
            // Another process of the router frees memory without a notification.
            let _ = self
                .environment
                .timeout(MEMORY_CHECK_INTERVAL, self.memory.answers.freed())
                .await;
        }
        let wanted = reader.next_read_bytes(&connection.received);
        let count = connection.read_at_most(wanted).await?;
        memory.add(count);
        Ok(count)
    }

    /// Streams a long value to its client, and reports a stall by the client.
    async fn stream_response(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        value: ValueStream,
        context: &AttemptContext,
    ) -> AttemptResult {
        let streaming_since = self.environment.now();
        let result = self.stream_value(server, connection, value, context).await;
        AttemptResult {
            streaming_since: Some(streaming_since),
            ..result
        }
    }

    /// Forwards a long value as it arrives, with back-pressure: at most one read of the value and
    /// one chunk on its way to the client are in memory.
    async fn stream_value(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        value: ValueStream,
        context: &AttemptContext,
    ) -> AttemptResult {
        let ValueStream {
            sent_at,
            long_value,
            chunks,
        } = value;
        let time_to_first_byte = self.elapsed_since(sent_at);
        let mut reader = long_value.reader;
        let mut digest = Digest::default();
        let mut part = ValuePart::Bytes(long_value.head);
        let mut on_stall = Some(|| context.client_stalled(time_to_first_byte));
        let reply = loop {
            match part {
                ValuePart::Last(reply) => break reply,
                ValuePart::Bytes(chunk) => {
                    digest.add(&chunk);
                    let sent = self.send_chunk(&chunks, chunk, &mut on_stall).await;
                    if let Err(ClientDisconnected) = sent {
                        return Outcome::Cancelled.into();
                    }
                }
            }
            part = tokio::select! {
                biased;
                next = self.next_part(&mut connection, &mut reader) => match next {
                    Some(part) => part,
                    None => return connection_lost(true),
                },
                // The server may pause for seconds; do not hold its connection for a client that
                // has disconnected.
                () = chunks.closed() => return Outcome::Cancelled.into(),
            };
        };
        reply.add_to(&mut digest);
        // A client sees that the value is not its own if the end is missing.
        let read_by = self.environment.now() + self.limits.connect_timeout;
        if !self
            .is_own_long_reply(server, &mut connection, context, digest, read_by)
            .await
        {
            return connection_lost(true);
        }
        let result = self.attempt_result(reply);
        if let Some(last) = &result.answer
            && chunks
                .send(BodyChunk::Last(last.bytes.clone()))
                .await
                .is_err()
        {
            return Outcome::Cancelled.into();
        }
        if connection.received.is_empty() {
            self.put_back(server, connection);
        }
        AttemptResult {
            answer: None,
            ..result
        }
    }

    /// Sends a chunk to the client at the client's pace. Calls `on_stall` at the first stall.
    async fn send_chunk(
        &self,
        chunks: &mpsc::Sender<BodyChunk>,
        chunk: Bytes,
        on_stall: &mut Option<impl FnOnce()>,
    ) -> Result<(), ClientDisconnected> {
        let reserving = chunks.reserve();
        tokio::pin!(reserving);
        let reserved = self
            .environment
            .timeout(CLIENT_STALL_TIMEOUT, &mut reserving)
            .await;
        let reserved = match reserved {
            Ok(reserved) => reserved,
            Err(_) => {
                if let Some(on_stall) = on_stall.take() {
                    on_stall();
                }
                reserving.await
            }
        };
        reserved
            .map_err(|_| ClientDisconnected)?
            .send(BodyChunk::More(chunk));
        Ok(())
    }

    /// The next part of a streamed value. If the load report does not follow the value, its end is
    /// returned without one; `None` if the value is cut off.
    async fn next_part(
        &self,
        connection: &mut Connection<E>,
        reader: &mut LongValueReader,
    ) -> Option<ValuePart> {
        loop {
            if let Some(part) = reader.next(&mut connection.received).ok()? {
                return Some(part);
            }
            let has_more = self.read_chunk(connection, reader).await;
            if !has_more && reader.has_value() {
                let reply = reader.without_report(&connection.received);
                return Some(ValuePart::Last(reply));
            }
            if !has_more {
                return None;
            }
        }
    }

    /// Waits for more bytes of a streamed value; false if none arrive.
    async fn read_chunk(&self, connection: &mut Connection<E>, reader: &LongValueReader) -> bool {
        let pause = if reader.has_value() {
            LOAD_REPORT_TIMEOUT
        } else {
            SERVER_STALL_TIMEOUT
        };
        let read = connection.read(STREAM_READ_BYTES);
        let read = self.environment.timeout(pause, read).await;
        matches!(read, Ok(Ok(1..)))
    }

    /// Converts a reply to the result of its attempt.
    fn attempt_result(&self, reply: Reply) -> AttemptResult {
        let (outcome, cache_status, answer, report) = match reply {
            Reply::Served {
                bytes,
                cache_status,
                report,
            } => {
                let answer = Answer::short(bytes);
                (Outcome::Success, cache_status, Some(answer), report)
            }
            Reply::Failed(report) => (Outcome::Failure, None, None, report),
            Reply::Busy(report) => (Outcome::Overloaded, None, None, report),
        };
        AttemptResult {
            outcome,
            cache_status,
            answer,
            response_started: true,
            connection_use: ConnectionUse::Unknown,
            load: self.load_report(report),
            streaming_since: None,
        }
    }

    /// The load report of a response; `None` if none is expected or it is malformed.
    fn load_report(&self, report: LoadReportText) -> Option<LoadReport> {
        let report = report.filter(|_| !self.report_format.is_empty())?;
        let text = std::str::from_utf8(&report).ok()?;
        self.report_format.read_pairs(text)
    }
}

fn connection_lost(response_started: bool) -> AttemptResult {
    AttemptResult {
        response_started,
        ..Outcome::ConnectionLost.into()
    }
}
