//! Rule 1: every request that a running router accepts gets exactly one final answer in time.
//!
//! The client's deadline counts from when the last byte of its request is at the router's machine.
//! Time in which an answer waits for earlier answers on the connection, or for a client that reads
//! slowly, is not charged to the router.

use super::InvariantChecker;
use super::connection::{ClientConnection, Connection, Expected};
use super::effects;
use super::request::{DEADLINE_UNKNOWN, RequestState};
use super::rule::Rule;
use crate::executor::Time;
use crate::wire::{self, CacheRequest, Command, DecodedFrame, Response};

/// A complete answer of a router.
struct WrittenAnswer {
    /// When its first byte was written.
    began_at: Time,
    response: Response,
}

/// Returns the violation if a router sends a request that another router received.
pub(super) fn check_router(request: &RequestState, router: usize) -> Option<String> {
    (request.router != router)
        .then(|| "sent by a router that did not receive the request".to_string())
}

/// Returns the violation if a request is sent to a server after its final answer.
pub(super) fn check_unanswered(now: Time, request: &RequestState, server: usize) -> Option<String> {
    let answered_at = request.answered_at?;
    let late = now - answered_at;
    Some(format!(
        "sent to server {server} {late} us after the final answer"
    ))
}

impl InvariantChecker {
    /// Reads the commands in bytes that a client writes.
    pub(super) fn client_wrote(
        &mut self,
        now: Time,
        id: u32,
        connection: &mut ClientConnection,
        bytes: &[u8],
    ) {
        if !connection.client_wrote(now, bytes) {
            return;
        }
        loop {
            match connection.commands.next(now) {
                Ok(Some(DecodedFrame { frame, .. })) => {
                    let expected =
                        self.command_written(now, id, connection, &Command::parse(&frame));
                    connection.expected.push_back(expected);
                }
                Ok(None) => return,
                Err(_) => {
                    connection.is_malformed = true;
                    connection.expected.push_back(Expected::ErrorOrClose);
                    return;
                }
            }
        }
    }

    /// Records a complete command of a client and returns the answer that it expects.
    fn command_written(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ClientConnection,
        command: &Command,
    ) -> Expected {
        match command {
            Command::CacheRequest(call) if self.add_request(connection_id, connection, call) => {
                connection.command_written(call.id);
                self.trace.note(now, connection_id, Some(call.id), || {
                    format!("client sends: {call:?}")
                });
                Expected::Answer(call.id)
            }
            Command::Ping => Expected::Pong,
            Command::CacheRequest(_) | Command::Select | Command::Other => Expected::ErrorOrClose,
        }
    }

    /// Adds a request. Returns false if its class is unknown or its id is in use.
    fn add_request(
        &mut self,
        connection_id: u32,
        connection: &ClientConnection,
        call: &CacheRequest,
    ) -> bool {
        let Some(&idempotency) = self.parameters.classes.get(&call.class) else {
            return false;
        };
        if self.requests.contains(call.id) {
            return false;
        }
        let request = RequestState {
            router: connection.router,
            connection: connection_id,
            class: call.class.clone(),
            key: call.key.clone(),
            is_write: call.is_write,
            idempotency,
            timeout: call.timeout_ms * 1_000,
            deadline: DEADLINE_UNKNOWN,
            arrived_at: None,
            first_sent_at: None,
            served_at: None,
            answered_at: None,
            disconnected_at: None,
            is_abandoned: false,
            attempts: Vec::new(),
        };
        if let Some(coalescing) = &mut self.coalescing {
            coalescing.add(call.id, &request);
        }
        self.requests.insert(call.id, request);
        true
    }

    /// Records that bytes of a client arrive at the router's machine.
    pub(super) fn commands_arrived(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ClientConnection,
        count: usize,
    ) {
        for id in connection.commands_arrived(count) {
            if !connection.is_closing && self.requests.arrived(id, now) {
                self.counts.accepted += 1;
                self.trace.note(now, connection_id, Some(id), || {
                    "last byte arrives at the router's machine".into()
                });
            }
        }
    }

    /// Reads the answers in bytes that a router writes to a client.
    pub(super) fn router_answered(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ClientConnection,
        bytes: &[u8],
    ) {
        connection.router_wrote(now, bytes);
        loop {
            match connection.answers.next(now) {
                Ok(Some(DecodedFrame { frame, began_at })) => {
                    let response = Response::parse(&frame);
                    let answer = WrittenAnswer { began_at, response };
                    self.answer_written(now, connection_id, connection, &answer);
                }
                Ok(None) => return,
                Err(_) => {
                    if !connection.is_malformed {
                        let text = "malformed RESP2 in an answer".into();
                        self.record_violation(Rule::Answered, now, None, text);
                    }
                    connection.is_malformed = true;
                    return;
                }
            }
        }
    }

    fn answer_written(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ClientConnection,
        answer: &WrittenAnswer,
    ) {
        let expected = connection.expected.pop_front();
        let id = match expected {
            Some(Expected::Answer(id)) => Some(id),
            _ => None,
        };
        self.trace
            .note(now, connection_id, id, || match &answer.response {
                Response::Served(value) => format!("router answers: served, {} bytes", value.len()),
                response => format!("router answers: {response:?}"),
            });
        if let Some(id) = id {
            self.check_answer(now, id, connection.writable_since, answer);
        } else if expected.is_none() {
            let text = format!("unexpected answer on connection {connection_id}");
            self.record_violation(Rule::Answered, now, None, text);
        }
        connection.writable_since = now;
        // The deadline of the next request may have passed while its answer waited for this one.
        if let Some(&Expected::Answer(next)) = connection.expected.front()
            && self.requests.is_past_grace(next, now)
        {
            self.requests.extend_grace(next, now);
        }
    }

    fn check_answer(&mut self, now: Time, id: u64, writable_since: Time, answer: &WrittenAnswer) {
        let Some(request) = self.requests.answered(id, now) else {
            return;
        };
        let deadline = request.deadline;
        let false_rejection = effects::check_rejection(request);
        let late = answer.began_at.saturating_sub(deadline.max(writable_since));
        self.count_after_faults(id, deadline, &answer.response);
        if late > self.parameters.answer_grace {
            let text = format!("answered {late} us after the deadline");
            self.record_violation(Rule::Answered, now, Some(id), text);
        }
        match &answer.response {
            Response::Served(value) => self.check_value(now, id, value),
            Response::Rejected(_) => {
                self.counts.rejected += 1;
                if let Some(text) = false_rejection {
                    self.record_violation(Rule::Effects, now, Some(id), text);
                }
            }
            Response::Failed => self.counts.failed += 1,
        }
    }

    fn count_after_faults(&mut self, id: u64, deadline: Time, response: &Response) {
        let is_of_crowd = id >= self.parameters.first_crowd_request_id;
        if let Some(service) = &mut self.after_faults
            && deadline >= service.since
            && !is_of_crowd
        {
            service.accepted += 1;
            service.served += u64::from(matches!(response, Response::Served(_)));
        }
    }

    /// Checks that a value was made for the request that it answers, or for a read that shares its
    /// flight.
    fn check_value(&mut self, now: Time, id: u64, value: &[u8]) {
        self.counts.served += 1;
        match wire::request_id_of_value(value) {
            Some(own) if own == id => {}
            Some(first) if self.coalescing.is_some() => self.check_shared_value(now, id, first),
            _ => {
                let text = "served with the value of another request".into();
                self.record_violation(Rule::Answered, now, Some(id), text);
            }
        }
    }

    fn check_shared_value(&mut self, now: Time, id: u64, first: u64) {
        self.counts.coalesced += 1;
        let requests = self.requests.get(id).zip(self.requests.get(first));
        let violations = match (&self.coalescing, requests) {
            (Some(coalescing), Some((reader, first))) => {
                coalescing.check_shared_answer(&self.requests, reader, first)
            }
            _ => vec!["served with the value of an unknown request".to_string()],
        };
        for text in violations {
            self.record_violation(Rule::Coalescing, now, Some(id), text);
        }
    }

    /// Records a violation for each request that is past its deadline and the grace without an
    /// answer.
    pub(super) fn check_overdue(&mut self, now: Time) {
        while let Some(id) = self.requests.take_overdue(now) {
            let window = self.parameters.receive_window;
            let connection = self
                .requests
                .get(id)
                .and_then(|request| self.connections.get(&request.connection));
            let is_delayed = match connection {
                Some(Connection::Client(connection)) => connection.delays_answer(id, window),
                _ => false,
            };
            if !is_delayed {
                self.requests.abandon(id);
                let text = "no answer within the deadline and the grace".into();
                self.record_violation(Rule::Answered, now, Some(id), text);
            }
        }
    }

    /// Records that either end closes a client's connection.
    pub(super) fn client_connection_closed(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ClientConnection,
        is_by_router: bool,
    ) {
        let was_closing = std::mem::replace(&mut connection.is_closing, true);
        let may_lose = is_by_router && !was_closing && !connection.is_malformed;
        // An incomplete long value counts as a failed answer: the client sees that it is truncated.
        let has_begun = connection.answers.has_begun_long_value();
        let truncated = connection.expected.front().copied().filter(|_| has_begun);
        for id in connection.expected_answers() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            // A request that is in transit when the router closes the connection is sent again by
            // its client.
            let was_accepted = request.arrived_at.is_some_and(|at| at < now);
            let was_sent = !request.attempts.is_empty();
            let is_truncated = truncated == Some(Expected::Answer(id));
            let is_lost =
                may_lose && !request.is_abandoned && !is_truncated && (was_accepted || was_sent);
            self.requests.abandon(id);
            if is_lost {
                let text =
                    format!("the router closed connection {connection_id} before the answer");
                self.record_violation(Rule::Answered, now, Some(id), text);
            }
        }
    }

    /// Records that a client's disconnect arrives at the router's machine. Its pending requests
    /// need no answer from here on.
    pub(super) fn client_disconnected(&mut self, now: Time, connection: &ClientConnection) {
        for id in connection.expected_answers() {
            if let Some(request) = self.requests.get_mut(id)
                && request.answered_at.is_none()
            {
                request.disconnected_at.get_or_insert(now);
                self.counts.disconnected_unsent += u64::from(request.attempts.is_empty());
            }
        }
    }
}
