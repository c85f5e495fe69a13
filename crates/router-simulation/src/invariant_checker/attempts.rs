//! Attempts at cache servers. Each is checked against the rules when it is written. Its state then
//! follows from the server's reply or the end of the connection.

use super::connection::{ServerConnection, take_arrived};
use super::request::{Attempt, AttemptState, RequestState};
use super::rule::Rule;
use super::{InvariantChecker, answers, disconnects, effects};
use crate::executor::Time;
use crate::fault_plan::MILLI;
use crate::wire::{CacheRequest, Command, DecodedFrame, Response};

/// The low bits of a request id hold the number of the client's retry, 0 for the first try. This is
/// how many ids each request has.
const TRIES_PER_REQUEST: u64 = 256;

/// How much more time than is left to the client an attempt may pass to its server, in
/// microseconds.
const UPSTREAM_DEADLINE_SLACK: Time = 150_000;

/// A complete command that a router has written.
struct SentCommand<'a> {
    now: Time,
    connection: u32,
    router: usize,
    server: usize,
    call: &'a CacheRequest,
}

/// Returns the violation if an attempt passes its server more time than is left to the client.
fn check_upstream_deadline(
    now: Time,
    request: &RequestState,
    call: &CacheRequest,
) -> Option<String> {
    let sent = call.timeout_ms * MILLI;
    let left = request.deadline.saturating_sub(now);
    (sent > left + UPSTREAM_DEADLINE_SLACK)
        .then(|| format!("the server got {sent} us where the client has {left} us left"))
}

impl InvariantChecker {
    /// Reads the commands in bytes that a router writes to a server.
    pub(super) fn router_wrote(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ServerConnection,
        bytes: &[u8],
    ) {
        let ServerConnection { router, server, .. } = *connection;
        if connection.commands.buffered_bytes() == 0 {
            let grace = self.parameters.drain_grace;
            if let Some(text) = self.drains.check_send(now, (router, server), grace) {
                self.record_violation(Rule::Drains, now, None, text);
            }
        }
        connection.commands.feed(now, bytes);
        while let Ok(Some(DecodedFrame { frame, .. })) = connection.commands.next(now) {
            let Command::CacheRequest(call) = Command::parse(&frame) else {
                continue;
            };
            self.trace.note(now, connection_id, Some(call.id), || {
                let timeout_ms = call.timeout_ms;
                format!("router {router} sends to server {server}: d={timeout_ms}")
            });
            self.attempt_sent(&SentCommand {
                now,
                connection: connection_id,
                router,
                server,
                call: &call,
            });
            connection.current = Some(call.id);
        }
    }

    fn attempt_sent(&mut self, sent: &SentCommand<'_>) {
        let SentCommand { now, call, .. } = *sent;
        self.counts.attempts += 1;
        self.count_for_crowd(call);
        let Some(request) = self.requests.get(call.id) else {
            let text = "sent without a request of a client".into();
            self.record_violation(Rule::Answered, now, Some(call.id), text);
            return;
        };
        let is_flight = self.coalescing.is_some() && !request.is_write;
        let after_disconnect = disconnects::check_send(now, request, is_flight);
        let is_late_first_send = after_disconnect
            .as_ref()
            .is_some_and(|after_disconnect| after_disconnect.is_late_first_send);
        let mut violations = self.check_attempt(sent, request);
        violations.extend(
            after_disconnect
                .map(|after_disconnect| (Rule::ClientDisconnect, after_disconnect.text)),
        );
        let limits = effects::check_attempt_limits(request, &self.parameters);
        violations.extend(limits.into_iter().map(|text| (Rule::Effects, text)));
        self.counts.sent_after_disconnect += u64::from(is_late_first_send);
        for (rule, text) in violations {
            self.record_violation(rule, now, Some(call.id), text);
        }
        self.add_attempt(sent);
    }

    /// Checks the router, the answer, the deadline and the effect of an attempt. Client disconnects
    /// and attempt limits are checked apart.
    fn check_attempt(&self, sent: &SentCommand<'_>, request: &RequestState) -> Vec<(Rule, String)> {
        let SentCommand { now, server, .. } = *sent;
        let mut violations = Vec::new();
        let wrong_router = answers::check_router(request, sent.router);
        violations.extend(wrong_router.map(|text| (Rule::Answered, text)));
        let mut may_be_answered = false;
        if let Some(coalescing) = &self.coalescing {
            let excess_attempts = coalescing.check_attempt(now, &self.requests, request);
            violations.extend(excess_attempts.map(|text| (Rule::Coalescing, text)));
            // A flight continues for its other waiters after the first waiter has its answer.
            may_be_answered = coalescing.applies_to(&request.class);
        }
        if !may_be_answered {
            let after_answer = answers::check_unanswered(now, request, server);
            violations.extend(after_answer.map(|text| (Rule::Answered, text)));
        }
        if !may_be_answered {
            let excess_time = check_upstream_deadline(now, request, sent.call);
            violations.extend(excess_time.map(|text| (Rule::UpstreamDeadline, text)));
        }
        let repeats = effects::check_repeat(now, request, server, &self.server_zones);
        violations.extend(repeats.into_iter().map(|text| (Rule::Effects, text)));
        violations
    }

    fn count_for_crowd(&mut self, call: &CacheRequest) {
        let is_of_crowd = call.id >= self.parameters.first_crowd_request_id;
        let is_first_try = call.id.is_multiple_of(TRIES_PER_REQUEST);
        if is_of_crowd && is_first_try && !call.is_write {
            *self.crowd_attempts.entry(call.key.clone()).or_default() += 1;
        }
    }

    fn add_attempt(&mut self, sent: &SentCommand<'_>) {
        if let Some(request) = self.requests.get_mut(sent.call.id) {
            request.first_sent_at.get_or_insert(sent.now);
            request.attempts.push(Attempt {
                connection: sent.connection,
                server: sent.server,
                sent_at: sent.now,
                state: AttemptState::InFlight,
                is_connection_open: true,
            });
        }
    }

    /// Reads the replies in bytes of a server that arrive at the router's machine.
    pub(super) fn reply_arrived(
        &mut self,
        now: Time,
        connection_id: u32,
        connection: &mut ServerConnection,
        count: usize,
    ) {
        let bytes = take_arrived(&mut connection.in_transit, count);
        if connection.is_malformed {
            return;
        }
        connection.replies.feed(now, &bytes);
        loop {
            let frame = match connection.replies.next(now) {
                Ok(Some(DecodedFrame { frame, .. })) => frame,
                Ok(None) => return,
                Err(_) => {
                    connection.is_malformed = true;
                    return;
                }
            };
            let Some(id) = connection.current.take() else {
                return;
            };
            let response = Response::parse(&frame);
            let server = connection.server;
            self.trace
                .note(now, connection_id, Some(id), || match &response {
                    Response::Served(_) => format!("server {server} replies: served"),
                    response => format!("server {server} replies: {response:?}"),
                });
            self.apply_reply(now, connection_id, id, &response);
        }
    }

    fn apply_reply(&mut self, now: Time, connection_id: u32, id: u64, response: &Response) {
        let state = match response {
            Response::Rejected(_) => AttemptState::NeverRan,
            Response::Served(_) | Response::Failed => AttemptState::MayHaveRun,
        };
        if let Some(attempt) = self.requests.attempt_mut(id, connection_id) {
            attempt.state = state;
        }
        if let (Response::Served(_), Some(request)) = (response, self.requests.get_mut(id)) {
            request.served_at.get_or_insert(now);
        }
    }

    /// Records that the connection of an attempt has ended at the router. An attempt in flight may
    /// have run.
    pub(super) fn server_connection_closed(
        &mut self,
        connection_id: u32,
        connection: &ServerConnection,
    ) {
        let attempt = connection
            .current
            .and_then(|id| self.requests.attempt_mut(id, connection_id));
        if let Some(attempt) = attempt {
            attempt.is_connection_open = false;
            if attempt.state == AttemptState::InFlight {
                attempt.state = AttemptState::MayHaveRun;
            }
        }
    }
}
