//! Attempts: started when the load balancer asks for them, and ended exactly once each.

use super::open_requests::OpenRequest;
use super::{Dispatcher, State};
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::request::Response;
use crate::upstream::{
    AttemptContext, AttemptDeadlines, AttemptOwner, AttemptResult, BodyConsumer, BufferedBody,
};
use load_balancer::{
    AttemptEnd, AttemptNumber, Availability, Event, Micros, Outcome, RequestId, ServerId,
};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};

/// The parameters of an attempt that the load balancer asks for.
pub(super) struct AttemptParams {
    /// The request.
    pub id: RequestId,
    /// The cache server.
    pub server: ServerId,
    /// How long the attempt may take; `None` means until the request's deadline.
    pub timeout: Option<Micros>,
    /// The time within which its last byte must be written; later, it is not sent.
    pub write_within: Option<Micros>,
}

/// An attempt in flight.
struct InFlightAttempt {
    id: RequestId,
    number: AttemptNumber,
    started: Micros,
    cancelled: oneshot::Receiver<()>,
    /// Whether its last byte has been written.
    is_sent: Rc<Cell<bool>>,
}

/// An attempt that has ended.
struct EndedAttempt {
    id: RequestId,
    number: AttemptNumber,
    never_ran: bool,
}

impl<E: Environment> Dispatcher<E> {
    /// Starts an attempt, unless the request already has its response or has no time left.
    pub(super) fn send(self: &Rc<Self>, state: &mut State, params: AttemptParams) {
        let Some(request) = state.requests.get_mut(params.id) else {
            return;
        };
        let started = self.clock.now();
        let deadline = attempt_deadline(request, &params, started);
        if request.sink.is_none() || deadline <= started {
            state.events.push_back(not_sent_event(request, params.id));
            return;
        }
        let deadlines = AttemptDeadlines {
            write_deadline: params
                .write_within
                .map(|within| self.clock.to_instant(started.plus(within))),
            deadline: self.clock.to_instant(deadline),
            extended_deadline: match params.timeout {
                Some(_) => None,
                None => request.shared_attempt_deadline.clone(),
            },
            request_deadline: self.clock.to_instant(request.expires),
            has_begun_value: Cell::new(false),
        };
        if request.attempts.is_empty() {
            request.charge.add_attempt();
        }
        let (cancel, cancelled) = oneshot::channel();
        let number = request.add_attempt(Some(cancel));
        let command = request.command.clone();
        if number.0 > 0 && request.is_shared() {
            state.requests.shared_retried(params.id);
        }
        state
            .requests
            .attempt_begins(self.environment.now(), params.id);
        let is_sent = Rc::new(Cell::new(false));
        let context = AttemptContext {
            owner: self.clone(),
            id: params.id,
            attempt: number,
            deadlines,
            is_sent: is_sent.clone(),
        };
        let attempt = || {
            let upstream = self.upstream.clone();
            upstream.attempt(params.server.clone(), command.clone(), context.clone())
        };
        hooks::duplicate_attempt(&self.environment, attempt);
        let in_flight = InFlightAttempt {
            id: params.id,
            number,
            started,
            cancelled,
            is_sent,
        };
        // Boxed, as a task holds its future twice while it starts.
        self.run_attempt(Box::pin(attempt()), in_flight);
    }

    /// Spawns the task of an attempt. It ends with the attempt, when the attempt is cancelled, or
    /// at the latest at the attempt's limit.
    fn run_attempt(
        self: &Rc<Self>,
        attempt: impl Future<Output = AttemptResult> + 'static,
        in_flight: InFlightAttempt,
    ) {
        let dispatcher = self.clone();
        self.environment.spawn(async move {
            let result = tokio::select! {
                biased;
                result = attempt => result,
                // After `client_stalled` the attempt is recorded as ended; the task only forwards
                // the rest.
                Ok(()) = in_flight.cancelled => match in_flight.is_sent.get() {
                    true => Outcome::Cancelled.into(),
                    false => Outcome::NotSent.into(),
                },
            };
            let end = result.streaming_since.map_or_else(
                || dispatcher.clock.now(),
                |since| dispatcher.clock.to_micros(since),
            );
            let elapsed = end.since(in_flight.started);
            dispatcher.attempt_ended(in_flight.id, in_flight.number, result, elapsed);
        });
    }

    /// The only function that ends an attempt in flight. The first attempt that is served gives the
    /// request its response.
    fn attempt_ended(
        self: &Rc<Self>,
        id: RequestId,
        number: AttemptNumber,
        result: AttemptResult,
        elapsed: Micros,
    ) {
        let AttemptResult {
            outcome,
            cache_status,
            answer,
            response_started,
            connection_use,
            load,
            streaming_since: _,
        } = result;
        let ended = EndedAttempt {
            id,
            number,
            never_ran: outcome.never_ran(),
        };
        let is_answered = self.record_attempt_end(&ended, answer.map(Response::Served));
        self.upstream
            .metrics()
            .attempt_ended(outcome, connection_use, cache_status);
        self.handle(Event::AttemptEnded(AttemptEnd {
            id,
            attempt: number,
            outcome,
            is_answered,
            elapsed,
            cache_status,
            response_started,
            connection_use,
            load,
        }));
        self.remove_if_finished(id);
    }

    /// Marks an attempt as ended and forwards its response; returns whether the request has its
    /// response.
    fn record_attempt_end(&self, ended: &EndedAttempt, response: Option<Response>) -> bool {
        let mut state = self.state.borrow_mut();
        if let Some(response) = response {
            state.requests.respond(ended.id, response);
        }
        state
            .requests
            .attempt_ended(ended.id, ended.number, ended.never_ran);
        let request = state.requests.get(ended.id);
        request.is_none_or(|request| request.sink.is_none())
    }
}

impl<E: Environment> AttemptOwner for Dispatcher<E> {
    fn is_accepting(&self, server: &ServerId) -> bool {
        self.availability(server) == Some(Availability::Accepting)
    }

    fn is_wanted(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let state = self.state.borrow();
        let is_wanted = state.requests.get(id).is_some_and(|request| {
            request.sink.is_some() && request.has_in_flight(attempt.0 as usize)
        });
        hooks::is_attempt_wanted(is_wanted)
    }

    fn begin_streaming(self: Rc<Self>, id: RequestId, attempt: AttemptNumber) -> BodyConsumer {
        let chunks = {
            let mut state = self.state.borrow_mut();
            let Some(request) = state
                .requests
                .get(id)
                .filter(|request| request.sink.is_some())
            else {
                return BodyConsumer::Discard;
            };
            let connection = &request.connection;
            if request.is_shared() || !connection.awaits_one_response() {
                return BodyConsumer::Buffer(BufferedBody {
                    abandoned: request.abandoned.clone(),
                    advanced: connection.advanced().clone(),
                });
            }
            connection.begin_streaming();
            // The channel holds one chunk, so that the server is read at the client's pace.
            let (chunks, body) = mpsc::channel(1);
            state.requests.respond(id, Response::Streamed(body));
            chunks
        };
        self.handle(Event::StreamStarted { id, attempt });
        BodyConsumer::Stream(chunks)
    }

    fn client_stalled(self: Rc<Self>, id: RequestId, attempt: AttemptNumber, took: Duration) {
        let result = AttemptResult {
            response_started: true,
            ..Outcome::Success.into()
        };
        let elapsed = Micros(took.as_micros() as u64);
        self.attempt_ended(id, attempt, result, elapsed);
    }
}

/// The deadline of an attempt that starts now.
fn attempt_deadline(request: &OpenRequest, params: &AttemptParams, started: Micros) -> Micros {
    match params.timeout {
        Some(timeout) => started.plus(timeout).min(request.expires),
        None => request.expires,
    }
}

/// Records an attempt that is not started, and returns the event of its end.
fn not_sent_event(request: &mut OpenRequest, id: RequestId) -> Event {
    let number = request.add_attempt(None);
    Event::AttemptEnded(AttemptEnd {
        is_answered: request.sink.is_none(),
        ..AttemptEnd::new(id, number, Outcome::NotSent, Micros(0))
    })
}
