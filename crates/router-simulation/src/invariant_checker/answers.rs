//! Rule 1: whatever a running router accepts gets exactly one final answer in time.
//!
//! A client's time counts from when the last byte of its request is at the router's machine. Time for which an answer
//! waits for those before it on the connection, or for a client that reads slowly, is not the router's.

use super::InvariantChecker;
use super::connection::{ClientConnection, Connection, Expected};
use super::effects;
use super::request::{DEADLINE_UNKNOWN, RequestState};
use super::rule::Rule;
use crate::executor::Time;
use crate::wire::{self, CacheRequest, Command, DecodedFrame, Response};

/// A whole answer of a router.
struct WrittenAnswer {
    /// When its first byte was written.
    began_at: Time,
    response: Response,
}

/// What is wrong with sending on a request, whoever its client.
pub(super) fn check_router(request: &RequestState, router: usize) -> Option<String> {
    (request.router != router).then(|| "sent on by another router than was asked".to_string())
}

/// What is wrong with sending a request to a server after its final answer.
pub(super) fn check_unanswered(now: Time, request: &RequestState, server: usize) -> Option<String> {
    let answered_at = request.answered_at?;
    let late = now - answered_at;
    Some(format!(
        "sent to server {server} {late} us after its final answer"
    ))
}

impl InvariantChecker {
    /// A client writes bytes.
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

    /// A client has written a whole command: what it expects for it.
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
                    format!("client asks: {call:?}")
                });
                Expected::Answer(call.id)
            }
            Command::Ping => Expected::Pong,
            Command::CacheRequest(_) | Command::Other => Expected::ErrorOrClose,
        }
    }

    /// Adds a request; false if its class is unknown or its id is in use.
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

    /// Bytes of a client are at the router's machine.
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
                    "its last byte is at the router's machine".into()
                });
            }
        }
    }

    /// A router writes bytes to a client.
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
                        let text = "an answer that is no RESP2".into();
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
            let text = format!("an answer that nobody waits for, on connection {connection_id}");
            self.record_violation(Rule::Answered, now, None, text);
        }
        connection.writable_since = now;
        // The next one's time may have passed while it waited for this one.
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
            let text = format!("answered {late} us after its time was up");
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

    /// A value has to be made for the request that it serves, or for one that it shares a flight with.
    fn check_value(&mut self, now: Time, id: u64, value: &[u8]) {
        self.counts.served += 1;
        match wire::request_id_of_value(value) {
            Some(own) if own == id => {}
            Some(first) if self.coalescing.is_some() => self.check_shared_value(now, id, first),
            _ => {
                let text = "served with a value that was not made for it".into();
                self.record_violation(Rule::Answered, now, Some(id), text);
            }
        }
    }

    fn check_shared_value(&mut self, now: Time, id: u64, first: u64) {
        self.counts.coalesced += 1;
        let requests = self.requests.get(id).zip(self.requests.get(first));
        let problems = match (&self.coalescing, requests) {
            (Some(coalescing), Some((reader, first))) => {
                coalescing.check_shared_answer(&self.requests, reader, first)
            }
            _ => vec!["served with a value that nobody asked for".to_string()],
        };
        for text in problems {
            self.record_violation(Rule::Coalescing, now, Some(id), text);
        }
    }

    /// Finds the requests whose time is up without an answer.
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
                let text = "no answer when its time was up".into();
                self.record_violation(Rule::Answered, now, Some(id), text);
            }
        }
    }

    /// One end closes a client's connection.
    pub(super) fn client_connection_closed(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ClientConnection,
        is_by_router: bool,
    ) {
        let was_closing = std::mem::replace(&mut connection.is_closing, true);
        let may_lose = is_by_router && !was_closing && !connection.is_malformed;
        // A long value that is broken off has failed: its client sees that it is not whole.
        let begun = connection.answers.has_begun_long_value();
        let broken_off = connection.expected.front().copied().filter(|_| begun);
        for id in connection.expected_answers() {
            let Some(request) = self.requests.get(id) else {
                continue;
            };
            // What crosses the router's close in transit is sent once more by its client.
            let was_accepted = request.arrived_at.is_some_and(|at| at < now);
            let was_sent = !request.attempts.is_empty();
            let is_broken_off = broken_off == Some(Expected::Answer(id));
            let is_lost =
                may_lose && !request.is_abandoned && !is_broken_off && (was_accepted || was_sent);
            self.requests.abandon(id);
            if is_lost {
                let text =
                    format!("lost: the router ended connection {connection_id} without its answer");
                self.record_violation(Rule::Answered, now, Some(id), text);
            }
        }
    }

    /// A client's disconnect is at the router's machine: nobody waits for its requests from here on.
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
