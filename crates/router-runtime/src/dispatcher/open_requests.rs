//! The open requests. A request is open until it has its response and its last attempt has ended.
//!
//! The first response takes the request's sink, so that each request gets exactly one.

use super::forwarded_ids::ForwardedIds;
use crate::memory_budget::RequestCharge;
use crate::mutation::hooks;
use crate::request::{Response, ResponseStream};
use crate::resp::Command;
use crate::stage::StageEvent;
use load_balancer::{AttemptNumber, Micros, RequestId};
use rustc_hash::FxHashMap;
use std::cell::Cell;
use std::collections::{HashSet, VecDeque};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::{Notify, oneshot};

/// The recipient of a final response.
pub enum ResponseSink {
    /// The client.
    Client(oneshot::Sender<Response>),
    /// The client; the end of its write is also reported as a [`StageEvent`].
    Write(oneshot::Sender<Response>),
    /// The stage that opened a shared request, by a [`StageEvent`].
    Stage,
}

/// An open request.
pub struct OpenRequest {
    /// The command that its attempts send.
    pub command: Rc<Command>,
    /// Its deadline.
    pub expires: Micros,
    /// For a shared request, the deadline of attempts without a timeout of their own. It moves as
    /// clients join.
    pub shared_attempt_deadline: Option<Rc<Cell<Instant>>>,
    /// The recipient of the final response; `None` once the request has it or is abandoned.
    pub sink: Option<ResponseSink>,
    /// The connection of its client; for a shared request, that of the client that opened it.
    pub connection: Rc<dyn ResponseStream>,
    /// The memory that it is charged for.
    pub charge: Rc<RequestCharge>,
    /// Whether a second run of it would do harm.
    pub must_run_once: bool,
    /// Whether an attempt has ended that may have run.
    pub may_have_run: bool,
    /// Notified when no client waits for the response any more.
    pub abandoned: Rc<Notify>,
    /// The cancellation channel of each attempt so far; `None` once the attempt has ended.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl OpenRequest {
    /// Whether a stage has opened it for several clients and waits for its response.
    pub fn is_shared(&self) -> bool {
        matches!(self.sink, Some(ResponseSink::Stage))
    }

    /// Adds an attempt with its cancellation channel; `None` if the attempt has already ended.
    pub fn add_attempt(&mut self, cancel: Option<oneshot::Sender<()>>) -> AttemptNumber {
        let number = AttemptNumber(self.attempts.len() as u32);
        self.attempts.push(cancel);
        number
    }

    /// Whether this attempt is in flight: it has neither ended nor been cancelled.
    pub fn has_in_flight(&self, attempt: usize) -> bool {
        self.attempts.get(attempt).is_some_and(Option::is_some)
    }

    fn is_finished(&self) -> bool {
        self.sink.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

/// All open requests of this process, and the events not yet taken by the stages.
#[derive(Default)]
pub struct OpenRequests {
    /// Clients do not choose these ids, so that a fast unkeyed hash is safe.
    requests: FxHashMap<RequestId, OpenRequest>,
    /// Client-chosen ids of the requests that wait for their response.
    client_ids: HashSet<Rc<[u8]>>,
    forwarded_ids: ForwardedIds,
    last_id: u32,
    stage_events: VecDeque<StageEvent>,
}

impl OpenRequests {
    /// Allocates a request id.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id = self.last_id.wrapping_add(1);
        RequestId(self.last_id)
    }

    /// Claims a client-chosen id until the response; `None` if the id is in use. The id is copied,
    /// as a slice of the command would keep the whole read buffer in memory.
    pub fn claim_client_id(&mut self, id: &[u8]) -> Option<Rc<[u8]>> {
        if self.client_ids.contains(id) {
            return None;
        }
        let id: Rc<[u8]> = id.into();
        self.client_ids.insert(id.clone());
        Some(id)
    }

    /// Whether a request of this id that must not run twice may have run. One that is pending is
    /// told by [`OpenRequests::claim_client_id`].
    pub fn may_have_run(&self, now: Instant, client_id: &[u8]) -> bool {
        !self.client_ids.contains(client_id) && self.forwarded_ids.contains(now, client_id)
    }

    /// Records that an attempt of a request begins.
    pub fn attempt_begins(&mut self, now: Instant, id: RequestId) {
        if let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| request.must_run_once)
        {
            self.forwarded_ids.insert(now, request.command.id());
        }
    }

    /// Records that an attempt of a request has ended.
    pub fn attempt_ended(&mut self, id: RequestId, attempt: AttemptNumber, never_ran: bool) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.attempts[attempt.0 as usize] = None;
        request.may_have_run |= !never_ran;
        let is_in_flight = request.attempts.iter().any(Option::is_some);
        if request.must_run_once && !request.may_have_run && !is_in_flight {
            self.forwarded_ids.remove(request.command.id());
        }
    }

    /// Releases a client-chosen id.
    pub fn release_client_id(&mut self, id: &[u8]) {
        self.client_ids.remove(id);
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: OpenRequest) {
        self.requests.insert(id, request);
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// An open request, mutable.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Takes the sink of a request, which then waits for no response any more.
    pub fn take_sink(&mut self, id: RequestId) -> Option<ResponseSink> {
        let request = self.requests.get_mut(&id)?;
        let sink = request.sink.take()?;
        if !matches!(sink, ResponseSink::Stage) {
            self.client_ids.remove(&request.command.id()[..]);
        }
        if matches!(sink, ResponseSink::Write(_)) {
            let key = request.command.key().clone();
            self.stage_events.push_back(StageEvent::WriteEnded(key));
        }
        Some(sink)
    }

    /// Abandons a request; returns whether it still waited for its response.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        let is_pending = self.take_sink(id).is_some();
        if let Some(request) = self.requests.get(&id).filter(|_| is_pending) {
            request.abandoned.notify_waiters();
        }
        is_pending
    }

    /// The only function that sends a request its final response.
    pub fn respond(&mut self, id: RequestId, response: Response) {
        match self.take_sink(id) {
            Some(ResponseSink::Client(client) | ResponseSink::Write(client)) => {
                // If the client has just disconnected, its connection notices that.
                let _ = client.send(response);
            }
            Some(ResponseSink::Stage) => {
                self.stage_events
                    .push_back(StageEvent::Responded(id, response));
            }
            None => {}
        }
        if self.requests.get(&id).is_some_and(OpenRequest::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Removes a request if it has its response and no attempt is in flight.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self.requests.get(&id).is_some_and(OpenRequest::is_finished);
        if hooks::may_remove_request(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// The requests that wait for their response, ordered by id.
    pub fn unanswered(&self) -> Vec<RequestId> {
        let mut unanswered: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.sink.is_some())
            .map(|(&id, _)| id)
            .collect();
        unanswered.sort_unstable();
        unanswered
    }

    /// Reports to the stage that a further attempt of a shared request is sent.
    pub fn shared_retried(&mut self, id: RequestId) {
        self.stage_events.push_back(StageEvent::Retried(id));
    }

    /// Removes and returns the next event for the stage.
    pub fn pop_stage_event(&mut self) -> Option<StageEvent> {
        self.stage_events.pop_front()
    }

    /// Whether there are events for the stage.
    pub fn has_stage_events(&self) -> bool {
        !self.stage_events.is_empty()
    }

    /// The number of client-chosen ids that wait for their response.
    pub fn unanswered_count(&self) -> usize {
        self.client_ids.len()
    }

    /// The number of open requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
