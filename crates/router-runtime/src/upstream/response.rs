//! The response to the one command in flight on a connection: read whole, or streamed if it is long.
//!
//! Whatever is no response may have run, and ends the connection: what follows on it cannot be told apart. So do bytes
//! behind a good response.

use super::attempt::{AttemptContext, AttemptResult, BodyConsumer};
use super::connection::Connection;
use super::pool::UpstreamPools;
use crate::environment::Environment;
use crate::memory_budget::MemoryReservation;
use crate::mutation::hooks;
use crate::request::{Answer, BodyChunk};
use crate::resp::{
    LoadReportText, LongValue, LongValueReader, READ_BYTES, Reply, ReplyReader, ValuePart,
};
use bytes::Bytes;
use load_balancer::{ConnectionUse, LoadReport, Outcome, ServerId};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// A value is served without its load report if that does not follow within this time.
const REPORT_LIMIT: Duration = Duration::from_millis(20);
/// How much of a long value is read at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// A client that takes nothing of a streamed value for this long stalls it: the server has done its work by then.
const CLIENT_STALL_LIMIT: Duration = Duration::from_millis(50);
/// A server that sends nothing of a streamed value for this long has broken it off; slow ones pause for seconds.
const SERVER_STALL_LIMIT: Duration = Duration::from_secs(10);

/// How a wait for more of a response ended.
enum ReadEnd {
    /// Bytes arrived.
    Received,
    /// The attempt's limit was extended meanwhile.
    Extended,
    /// The attempt's limit passed.
    TimedOut,
    /// The connection ended, or the server paused for too long within a response.
    Lost,
}

/// A long value on its way to its client.
struct ValueStream {
    /// When its command was written.
    sent_at: Instant,
    long: LongValue,
    pieces: mpsc::Sender<BodyChunk>,
}

/// The client of a streamed value has disconnected.
struct ClientGone;

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
            if let Some(long) = LongValue::begin(&mut connection.received) {
                match context.begin_streaming() {
                    BodyConsumer::Stream(pieces) => {
                        let value = ValueStream {
                            sent_at,
                            long,
                            pieces,
                        };
                        return self
                            .stream_response(server, connection, value, context)
                            .await;
                    }
                    BodyConsumer::Nobody => return Outcome::Cancelled.into(),
                    BodyConsumer::Buffer(abandoned) => {
                        let held = self.hold_response(server, connection, long, context);
                        return tokio::select! {
                            biased;
                            result = held => result,
                            () = abandoned.notified() => Outcome::Cancelled.into(),
                        };
                    }
                }
            }
            match reader.next(&mut connection.received) {
                Ok(Some(reply)) => return self.reply_received(server, connection, reply),
                Ok(None) => {}
                Err(_) => return connection_lost(true),
            }
            let pause = response_started.then(|| self.pause_limit(&reader));
            let read = connection.read(READ_BYTES);
            match self.read_more(read, context, pause).await {
                ReadEnd::Received => response_started = true,
                ReadEnd::Extended => {}
                _ if reader.has_value() => {
                    let reply = reader.served_without_report(&connection.received);
                    return self.result(reply);
                }
                ReadEnd::TimedOut => return self.timed_out(server, connection, response_started),
                ReadEnd::Lost => {
                    self.broken.close(connection);
                    return connection_lost(response_started);
                }
            }
        }
    }

    /// Keeps the connection if nothing stands behind the reply.
    fn reply_received(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        reply: Reply,
    ) -> AttemptResult {
        if connection.received.is_empty() {
            self.put_back(server, connection);
        }
        self.result(reply)
    }

    /// Closes the connection: its response may still arrive.
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

    /// How long a server may pause within a response: cache servers write one in a few pieces, one soon after the
    /// other.
    fn pause_limit(&self, reader: &ReplyReader) -> Duration {
        if reader.has_value() {
            REPORT_LIMIT
        } else {
            self.limits.connect_timeout
        }
    }

    /// Waits for more of a response, until the attempt's limit or for the length of a pause. `read` reads it.
    async fn read_more(
        &self,
        read: impl Future<Output = io::Result<usize>>,
        context: &AttemptContext,
        pause: Option<Duration>,
    ) -> ReadEnd {
        let end = context.limit.until();
        let read_by = pause.map_or(end, |pause| end.min(self.environment.now() + pause));
        match self.environment.timeout_at(read_by, read).await {
            Ok(Ok(count)) if count > 0 => ReadEnd::Received,
            Err(_) if read_by == end && context.limit.until() > end => ReadEnd::Extended,
            Err(_) if read_by == end => ReadEnd::TimedOut,
            _ => ReadEnd::Lost,
        }
    }

    /// Holds a long value until it is whole: others wait for it as well, or for more on its client's connection.
    async fn hold_response(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        long: LongValue,
        context: &AttemptContext,
    ) -> AttemptResult {
        let LongValue { head, mut reader } = long;
        let mut rest = Vec::new();
        let mut memory = self.answer_memory.reserve(connection.received.len());
        let reply = loop {
            match reader.next_full_chunk(&mut connection.received) {
                Ok(Some(ValuePart::Last(reply))) => break reply,
                Ok(Some(ValuePart::Bytes(piece))) => {
                    rest.push(piece);
                    continue;
                }
                Ok(None) => {}
                Err(_) => return connection_lost(true),
            }
            // Within the value the server may pause, as it may where that is streamed.
            let pause = reader.has_value().then_some(REPORT_LIMIT);
            let read = self.read_held(&mut connection, &reader, &mut memory);
            match self.read_more(read, context, pause).await {
                ReadEnd::Received | ReadEnd::Extended => {}
                _ if reader.has_value() => break reader.without_report(&connection.received),
                ReadEnd::TimedOut => return self.timed_out(server, connection, true),
                ReadEnd::Lost => {
                    self.broken.close(connection);
                    return connection_lost(true);
                }
            }
        };
        memory.complete();
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

    /// Reads more of a long value that is held, once there is memory for it.
    async fn read_held(
        &self,
        connection: &mut Connection<E>,
        reader: &LongValueReader,
        memory: &mut MemoryReservation,
    ) -> io::Result<usize> {
        while !memory.may_read_more() {
            self.answer_memory.freed().await;
        }
        let wanted = reader.next_read_bytes(&connection.received);
        let count = connection.read_at_most(wanted).await?;
        memory.add(count);
        Ok(count)
    }

    /// Streams a long value to its client, who may stall it.
    async fn stream_response(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        value: ValueStream,
        context: &AttemptContext,
    ) -> AttemptResult {
        let streaming_since = self.environment.now();
        let took = streaming_since.saturating_duration_since(value.sent_at);
        let on_stall = || context.client_stalled(took);
        let result = self.stream_value(server, connection, value, on_stall).await;
        AttemptResult {
            streaming_since: Some(streaming_since),
            ..result
        }
    }

    /// Passes a long value on as it arrives. The server waits where the client does: at most one read of the value and
    /// one piece on its way to the client are in memory.
    async fn stream_value(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        value: ValueStream,
        on_stall: impl FnOnce(),
    ) -> AttemptResult {
        let ValueStream { long, pieces, .. } = value;
        let mut reader = long.reader;
        let mut part = ValuePart::Bytes(long.head);
        let mut on_stall = Some(on_stall);
        let reply = loop {
            match part {
                ValuePart::Last(reply) => break reply,
                ValuePart::Bytes(piece) => {
                    let sent = self.send_piece(&pieces, piece, &mut on_stall).await;
                    if let Err(ClientGone) = sent {
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
                // The server may pause for long, and its connection is wanted for others.
                () = pieces.closed() => return Outcome::Cancelled.into(),
            };
        };
        let result = self.result(reply);
        if let Some(last) = &result.answer
            && pieces
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

    /// Sends a piece to the client, at the client's pace. The first stall is reported.
    async fn send_piece(
        &self,
        pieces: &mpsc::Sender<BodyChunk>,
        piece: Bytes,
        on_stall: &mut Option<impl FnOnce()>,
    ) -> Result<(), ClientGone> {
        let reserving = pieces.reserve();
        tokio::pin!(reserving);
        let reserved = self
            .environment
            .timeout(CLIENT_STALL_LIMIT, &mut reserving)
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
            .map_err(|_| ClientGone)?
            .send(BodyChunk::More(piece));
        Ok(())
    }

    /// The next part of a streamed value, or its end without a load report that does not follow; none if the value is
    /// broken off.
    async fn next_part(
        &self,
        connection: &mut Connection<E>,
        reader: &mut LongValueReader,
    ) -> Option<ValuePart> {
        loop {
            if let Some(part) = reader.next(&mut connection.received).ok()? {
                return Some(part);
            }
            let has_more = self.read_piece(connection, reader).await;
            if !has_more && reader.has_value() {
                let reply = reader.without_report(&connection.received);
                return Some(ValuePart::Last(reply));
            }
            if !has_more {
                return None;
            }
        }
    }

    /// Waits for more of a streamed value; false if none arrives.
    async fn read_piece(&self, connection: &mut Connection<E>, reader: &LongValueReader) -> bool {
        let pause = if reader.has_value() {
            REPORT_LIMIT
        } else {
            SERVER_STALL_LIMIT
        };
        let read = connection.read(PIECE_BYTES);
        let read = self.environment.timeout(pause, read).await;
        matches!(read, Ok(Ok(1..)))
    }

    /// What a reply means for its attempt.
    fn result(&self, reply: Reply) -> AttemptResult {
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

    /// The load report of a response, where one is expected and can be read.
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
