//! Reads long values: buffered until they are complete, or streamed to their client.

use super::attempt::{AttemptContext, AttemptResult, BodyConsumer, BufferedBody};
use super::connection::Connection;
use super::pool::UpstreamPools;
use super::response::{LOAD_REPORT_TIMEOUT, ReadResult, connection_lost};
use super::slow_response::{Pause, ResponseTimes};
use crate::environment::Environment;
use crate::memory_budget::{MemoryReservation, PressureEvent};
use crate::request::{Answer, BodyChunk, BodyPart};
use crate::resp::{Digest, LongValue, LongValueReader, Reply, ValuePart};
use bytes::Bytes;
use load_balancer::{Outcome, ServerId};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Size of one read of a long value that is streamed.
const STREAM_READ_BYTES: usize = 16 * 1024;
/// Size of one read, for whatever value, if there is no memory for more. Every connection may hold a few
/// of these.
const MIN_STREAM_READ_BYTES: usize = 2 * 1024;
/// A client that reads nothing of a streamed value for this long has stalled it; the attempt is
/// then recorded as ended, since the delay is not the server's.
const CLIENT_STALL_TIMEOUT: Duration = Duration::from_millis(50);
/// A server that sends nothing of a streamed value for this long has failed. Slow servers pause for
/// seconds.
const SERVER_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// How often an answer that waits for memory is checked.
const MEMORY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A long value of which a part has arrived.
struct PartialValue {
    times: ResponseTimes,
    /// What has been taken off the connection's buffer.
    held: Vec<Bytes>,
    /// The digest of the held chunks.
    digest: Digest,
    reader: LongValueReader,
}

/// A long value that has been buffered completely.
struct BufferedValue {
    value: PartialValue,
    /// The end of the reply.
    reply: Reply,
    memory: MemoryReservation,
}

/// Why a value is no longer buffered.
enum BufferingEnd {
    /// It is complete; this is its end.
    Complete(Reply),
    /// It is streamed from now on.
    Stream(mpsc::Sender<BodyChunk>),
    /// The attempt has ended.
    Ended(AttemptResult),
    /// The attempt's deadline passed.
    TimedOut,
    /// The connection ended or failed.
    ConnectionLost,
}

/// The client of a streamed value has disconnected.
struct ClientDisconnected;

impl PartialValue {
    fn new(long_value: LongValue, times: ResponseTimes) -> PartialValue {
        PartialValue {
            times,
            digest: Digest::of(&long_value.head),
            held: vec![long_value.head],
            reader: long_value.reader,
        }
    }
}

impl<E: Environment> UpstreamPools<E> {
    /// Reads a long value that has begun to arrive.
    pub(super) async fn read_long_value(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        long_value: LongValue,
        times: ResponseTimes,
        context: &AttemptContext,
    ) -> AttemptResult {
        context.deadlines.has_begun_value.set(true);
        let value = PartialValue::new(long_value, times);
        match context.begin_streaming() {
            BodyConsumer::Stream(chunks) => {
                self.stream_response(server, connection, value, chunks, context)
                    .await
            }
            BodyConsumer::Discard => Outcome::Cancelled.into(),
            BodyConsumer::Buffer(body) => {
                self.buffer_response(server, connection, value, &body, context)
                    .await
            }
        }
    }

    /// Buffers a long value while several clients wait for it, or its client waits for other
    /// responses as well.
    async fn buffer_response(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        mut value: PartialValue,
        body: &BufferedBody,
        context: &AttemptContext,
    ) -> AttemptResult {
        let mut memory = self.memory.answers.reserve(connection.received.len());
        let buffering = self.buffer_value(&mut connection, &mut value, &mut memory, body, context);
        let end = tokio::select! {
            biased;
            end = buffering => end,
            () = body.abandoned.notified() => BufferingEnd::Ended(Outcome::Cancelled.into()),
        };
        match end {
            BufferingEnd::Complete(reply) => {
                memory.complete();
                let value = BufferedValue {
                    value,
                    reply,
                    memory,
                };
                self.buffered_value_received(server, connection, value, context)
                    .await
            }
            BufferingEnd::Stream(chunks) => {
                drop(memory);
                self.stream_response(server, connection, value, chunks, context)
                    .await
            }
            BufferingEnd::Ended(result) => result,
            BufferingEnd::TimedOut => self.timed_out(server, connection, true),
            BufferingEnd::ConnectionLost => {
                self.broken.close(connection);
                connection_lost(true)
            }
        }
    }

    /// Buffers a value until it is complete, or is streamed.
    async fn buffer_value(
        &self,
        connection: &mut Connection<E>,
        value: &mut PartialValue,
        memory: &mut MemoryReservation,
        body: &BufferedBody,
        context: &AttemptContext,
    ) -> BufferingEnd {
        loop {
            match value.reader.next_full_chunk(&mut connection.received) {
                Ok(Some(ValuePart::Last(reply))) => return BufferingEnd::Complete(reply),
                Ok(Some(ValuePart::Bytes(chunk))) => {
                    value.digest.add(&chunk);
                    value.held.push(memory.hold(&chunk));
                    continue;
                }
                Ok(None) => {}
                Err(_) => return BufferingEnd::Ended(connection_lost(true)),
            }
            // Created first, so that a response that is written meanwhile is not missed.
            let advanced = body.advanced.notified();
            match context.begin_streaming() {
                BodyConsumer::Stream(chunks) => return BufferingEnd::Stream(chunks),
                BodyConsumer::Discard => return BufferingEnd::Ended(Outcome::Cancelled.into()),
                BodyConsumer::Buffer(_) => {}
            }
            // Within the value the server may pause until the attempt's deadline.
            let pause = match value.reader.has_value() {
                true => Pause::AtMost(LOAD_REPORT_TIMEOUT),
                false => Pause::Unlimited,
            };
            let read = self.read_buffered(connection, &value.reader, memory);
            let read = self.read_more(read, context, pause, None);
            let result = tokio::select! {
                biased;
                result = read => result,
                () = advanced => ReadResult::Recheck,
            };
            match result {
                ReadResult::Received | ReadResult::Recheck => {}
                _ if value.reader.has_value() => {
                    let reply = value.reader.without_report(&connection.received);
                    return BufferingEnd::Complete(reply);
                }
                ReadResult::TimedOut => return BufferingEnd::TimedOut,
                ReadResult::ConnectionLost => return BufferingEnd::ConnectionLost,
            }
        }
    }

    /// The result of an attempt whose value has been buffered completely.
    async fn buffered_value_received(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        buffered: BufferedValue,
        context: &AttemptContext,
    ) -> AttemptResult {
        let BufferedValue {
            value,
            reply,
            memory,
        } = buffered;
        let mut digest = value.digest;
        reply.add_to(&mut digest);
        let read_by = context.deadlines.deadline();
        if !self
            .is_own_long_reply(server, &mut connection, context, digest, read_by)
            .await
        {
            return connection_lost(true);
        }
        let result = self.reply_received(server, connection, reply, None);
        let answer = result.answer.map(|last| {
            let mut rest = value.held;
            let head = rest.remove(0);
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
        if !memory.may_read_more() {
            self.memory.pressure.record(PressureEvent::AnswerPaused);
        }
        while !memory.may_read_more() {
            self.memory.reclaim_for(memory);
            // Another process of the router frees memory without a notification.
            let _ = self
                .environment
                .timeout(MEMORY_CHECK_INTERVAL, self.memory.answers.freed())
                .await;
        }
        let wanted = reader.next_read_bytes(&connection.received);
        // Others may use the memory up during the wait for bytes.
        let limit = || match memory.may_read_more() {
            true => wanted,
            false => wanted.min(MIN_STREAM_READ_BYTES),
        };
        let count = connection.read_up_to(limit).await?;
        memory.add(count);
        Ok(count)
    }

    /// Streams a long value to its client, and reports a stall by the client.
    async fn stream_response(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        value: PartialValue,
        chunks: mpsc::Sender<BodyChunk>,
        context: &AttemptContext,
    ) -> AttemptResult {
        let streaming_since = self.environment.now();
        let result = self
            .stream_value(server, connection, value, chunks, context)
            .await;
        AttemptResult {
            streaming_since: Some(streaming_since),
            ..result
        }
    }

    /// Forwards what is held of a long value, and the rest as it arrives, with back-pressure: at most
    /// one read of the value and one chunk on its way to the client are in memory besides.
    async fn stream_value(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        value: PartialValue,
        chunks: mpsc::Sender<BodyChunk>,
        context: &AttemptContext,
    ) -> AttemptResult {
        let PartialValue {
            times,
            held,
            mut digest,
            mut reader,
        } = value;
        let time_to_first_byte = self.elapsed_since(times.sent_at);
        let mut on_stall = Some(|| context.client_stalled(time_to_first_byte));
        for bytes in held {
            let part = BodyPart {
                bytes,
                memory: None,
            };
            let sent = self.send_part(&chunks, part, &mut on_stall).await;
            if let Err(ClientDisconnected) = sent {
                return Outcome::Cancelled.into();
            }
        }
        let reply = loop {
            let next = tokio::select! {
                biased;
                next = self.next_part(&mut connection, &mut reader) => next,
                // The server may pause for seconds; do not hold its connection for a client that
                // has disconnected.
                () = chunks.closed() => return Outcome::Cancelled.into(),
            };
            match next {
                None => return connection_lost(true),
                Some(ValuePart::Last(reply)) => break reply,
                Some(ValuePart::Bytes(bytes)) => {
                    digest.add(&bytes);
                    let memory = self.memory.answers.try_reserve(bytes.len());
                    let part = BodyPart { bytes, memory };
                    let sent = self.send_part(&chunks, part, &mut on_stall).await;
                    if let Err(ClientDisconnected) = sent {
                        return Outcome::Cancelled.into();
                    }
                }
            }
        };
        reply.add_to(&mut digest);
        // A client sees that the value is not its own if the end is missing. The server may be as slow
        // with the guard as with the value.
        let read_by = self.environment.now() + SERVER_STALL_TIMEOUT;
        if !self
            .is_own_long_reply(server, &mut connection, context, digest, read_by)
            .await
        {
            return connection_lost(true);
        }
        let result = self.attempt_result(reply, None);
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

    /// Sends a part to the client at the client's pace. Calls `on_stall` at the first stall.
    async fn send_part(
        &self,
        chunks: &mpsc::Sender<BodyChunk>,
        part: BodyPart,
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
            .send(BodyChunk::More(part));
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
        let answers = &self.memory.answers;
        let read = connection.read_up_to(|| match answers.has_room(STREAM_READ_BYTES) {
            true => STREAM_READ_BYTES,
            false => MIN_STREAM_READ_BYTES,
        });
        let read = self.environment.timeout(pause, read).await;
        matches!(read, Ok(Ok(1..)))
    }
}
