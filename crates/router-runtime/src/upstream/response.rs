//! Reads the response to the command in flight on a connection: completely if it is short, buffered
//! or streamed if it is long.
//!
//! After a malformed response the command counts as possibly executed, and the connection is
//! closed, since later bytes cannot be matched to a command. It is also closed if bytes follow a
//! valid response.

use super::attempt::{AttemptContext, AttemptResult};
use super::connection::Connection;
use super::pool::UpstreamPools;
use super::repeated_reply::UnknownReply;
use super::slow_response::{Pause, ResponseTimes, pause_within};
use crate::environment::Environment;
use crate::memory_budget::{MemoryReservation, PressureEvent};
use crate::mutation::hooks;
use crate::request::Answer;
use crate::resp::{
    LONG_VALUE_THRESHOLD_BYTES, LoadReportText, LongValue, MissingPart, READ_BYTES, Reply,
    ReplyReader, ends_like_reply, is_long_value,
};
use load_balancer::{ConnectionUse, LoadReport, Outcome, ServerId};
use std::io;
use std::time::{Duration, Instant};

/// A value is served without its load report if the report takes longer.
pub(super) const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of a wait for more bytes of a response.
pub(super) enum ReadResult {
    /// Bytes arrived.
    Received,
    /// The attempt's deadline was extended during the wait, or something else is to be decided.
    Recheck,
    /// The attempt's deadline passed.
    TimedOut,
    /// The connection ended or failed, or the server paused for too long within a response.
    ConnectionLost,
}

/// The memory of an answer that is held until it is complete.
enum AnswerMemory {
    /// It needs none, as far as is known.
    Unknown,
    /// It has memory.
    Reserved(MemoryReservation),
    /// There is none for it, so that it is passed on as it arrives, or waits.
    Refused,
}

impl AnswerMemory {
    fn reserved(self) -> Option<MemoryReservation> {
        match self {
            AnswerMemory::Reserved(reservation) => Some(reservation),
            AnswerMemory::Unknown | AnswerMemory::Refused => None,
        }
    }
}

impl<E: Environment> UpstreamPools<E> {
    /// Reads the response to the command in flight.
    pub(super) async fn read_response(
        &self,
        server: &ServerId,
        mut connection: Connection<E>,
        context: &AttemptContext,
    ) -> AttemptResult {
        let times = ResponseTimes::new(self.environment.now(), &context.deadlines);
        let mut reader = ReplyReader::default();
        let mut response_started = false;
        let mut memory = AnswerMemory::Unknown;
        loop {
            let long_value = self.begin_long_value(&mut connection, &times, &memory);
            if let Some(long_value) = long_value {
                // Boxed, so that attempts without a long value take no memory for it.
                let rest = self.read_long_value(server, connection, long_value, times, context);
                return Box::pin(rest).await;
            }
            match reader.next(&mut connection.received) {
                Ok(Some(reply)) => {
                    return match self
                        .own_reply(server, &mut connection, reply, context)
                        .await
                    {
                        Ok(reply) => {
                            self.reply_received(server, connection, reply, memory.reserved())
                        }
                        Err(UnknownReply::TimedOut) => self.timed_out(server, connection, true),
                        Err(UnknownReply::Ambiguous) => connection_lost(true),
                    };
                }
                Ok(None) => {}
                Err(_) => return connection_lost(true),
            }
            let missing = reader.missing_part(&connection.received);
            self.reserve_answer(missing, &mut connection, &mut memory);
            let pause = match response_started {
                true => self.pause(missing, &connection, context),
                false => Pause::Unlimited,
            };
            let recheck_at = match missing {
                MissingPart::Value(size) if is_long_value(size) => Some(times.first_bytes_at()),
                _ => None,
            };
            let read_bytes = match &memory {
                AnswerMemory::Refused => READ_BYTES,
                _ => next_read_bytes(missing),
            };
            let read = connection.read(read_bytes);
            match self.read_more(read, context, pause, recheck_at).await {
                ReadResult::Received => response_started = true,
                ReadResult::Recheck => {}
                _ if reader.has_value() => {
                    let reply = reader.served_without_report(&connection.received);
                    return self.attempt_result(reply, memory.reserved());
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

    /// Takes the beginning of a value that is passed on as it arrives, once enough of it has arrived.
    fn begin_long_value(
        &self,
        connection: &mut Connection<E>,
        times: &ResponseTimes,
        memory: &AnswerMemory,
    ) -> Option<LongValue> {
        let received = &mut connection.received;
        if matches!(memory, AnswerMemory::Refused) {
            return LongValue::begin(received, READ_BYTES, 1);
        }
        let wanted_bytes = match self.environment.now() < times.first_bytes_at() {
            true => READ_BYTES,
            false if ends_like_reply(received) => READ_BYTES,
            false => 1,
        };
        LongValue::begin(received, LONG_VALUE_THRESHOLD_BYTES, wanted_bytes)
    }

    /// Reserves memory for a value that is held until it is complete, as soon as its length is known.
    /// The shortest are charged with their requests.
    fn reserve_answer(
        &self,
        missing: MissingPart,
        connection: &mut Connection<E>,
        memory: &mut AnswerMemory,
    ) {
        let MissingPart::Value(size) = missing else {
            return;
        };
        let is_held = size > READ_BYTES && !is_long_value(size);
        if !is_held || !matches!(memory, AnswerMemory::Unknown) {
            return;
        }
        *memory = match self.memory.answers.try_reserve(size) {
            Some(reservation) => {
                connection.received.reserve(size);
                AnswerMemory::Reserved(reservation)
            }
            None => {
                self.memory.pressure.record(PressureEvent::AnswerPaused);
                AnswerMemory::Refused
            }
        };
    }

    /// How long the server may pause now.
    fn pause(
        &self,
        missing: MissingPart,
        connection: &Connection<E>,
        context: &AttemptContext,
    ) -> Pause {
        let now = self.environment.now();
        let time_left = context.deadlines.deadline().saturating_duration_since(now);
        let short_pause = self.limits.connect_timeout;
        let pause = pause_within(missing, &connection.received, short_pause, time_left);
        let has_begun_value = pause == Pause::Unlimited;
        context.deadlines.has_begun_value.set(has_begun_value);
        pause
    }

    /// Returns the connection to its pool, unless bytes follow the reply.
    pub(super) fn reply_received(
        &self,
        server: &ServerId,
        connection: Connection<E>,
        reply: Reply,
        memory: Option<MemoryReservation>,
    ) -> AttemptResult {
        if connection.received.is_empty() {
            self.put_back(server, connection);
        }
        self.attempt_result(reply, memory)
    }

    /// Closes the connection, since the response may still arrive on it.
    pub(super) fn timed_out(
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

    /// Waits for `read` until the attempt's deadline, until `recheck_at`, or for as long as the server
    /// may pause.
    pub(super) async fn read_more(
        &self,
        read: impl Future<Output = io::Result<usize>>,
        context: &AttemptContext,
        pause: Pause,
        recheck_at: Option<Instant>,
    ) -> ReadResult {
        let now = self.environment.now();
        let end = context.deadlines.deadline();
        let pause_end = match pause {
            Pause::Unlimited => end,
            Pause::AtMost(pause) => end.min(now + pause),
        };
        let recheck_at = recheck_at.filter(|&at| now < at && at < pause_end);
        let read_by = recheck_at.unwrap_or(pause_end);
        match self.environment.timeout_at(read_by, read).await {
            Ok(Ok(count)) if count > 0 => ReadResult::Received,
            Err(_) if recheck_at.is_some() => ReadResult::Recheck,
            Err(_) if read_by == end && context.deadlines.deadline() > end => ReadResult::Recheck,
            Err(_) if read_by == end => ReadResult::TimedOut,
            _ => ReadResult::ConnectionLost,
        }
    }

    /// Converts a reply to the result of its attempt.
    pub(super) fn attempt_result(
        &self,
        reply: Reply,
        memory: Option<MemoryReservation>,
    ) -> AttemptResult {
        let (outcome, cache_status, answer, report) = match reply {
            Reply::Served {
                bytes,
                cache_status,
                report,
            } => {
                let answer = Answer::whole(bytes, memory);
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

/// The most to read next of a reply that is held until it is complete, in bytes.
fn next_read_bytes(missing: MissingPart) -> usize {
    match missing {
        MissingPart::Value(size) if !is_long_value(size) => READ_BYTES.max(size),
        _ => READ_BYTES,
    }
}

pub(super) fn connection_lost(response_started: bool) -> AttemptResult {
    AttemptResult {
        response_started,
        ..Outcome::ConnectionLost.into()
    }
}
