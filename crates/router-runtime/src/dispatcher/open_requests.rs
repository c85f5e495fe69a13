//! The requests that are open: each until it has its response and its last attempt has ended.
//!
//! Each request gets one final response: its sink is taken by the first.

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

/// Who gets the final response.
pub enum ResponseSink {
    /// A client.
    Client(oneshot::Sender<Response>),
    /// A client; the end of its write is a [`StageEvent`].
    Write(oneshot::Sender<Response>),
    /// The stage that has opened a shared request, by a [`StageEvent`].
    Stage,
}

/// A request that is open.
pub struct OpenRequest {
    /// What its attempts send.
    pub command: Rc<Command>,
    /// Its deadline.
    pub expires: Micros,
    /// The end of attempts without a timeout of their own, for a shared request: it moves with the clients that join.
    pub shared_attempt_deadline: Option<Rc<Cell<Instant>>>,
    /// Taken by the final response.
    pub sink: Option<ResponseSink>,
    /// The connection of its client; of a shared one, that of the client that opened it.
    pub connection: Rc<dyn ResponseStream>,
    /// Told when nobody waits for the response any more.
    pub abandoned: Rc<Notify>,
    /// One for each attempt so far, `None` once it has ended. Sending on it cancels the attempt.
    pub attempts: Vec<Option<oneshot::Sender<()>>>,
}

impl OpenRequest {
    /// Whether a stage has opened it for several clients, and waits for its response.
    pub fn is_shared(&self) -> bool {
        matches!(self.sink, Some(ResponseSink::Stage))
    }

    /// Adds an attempt, with what cancels it; `None`: it has ended already.
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

/// All open requests of this process, and the events that stages have still to take.
#[derive(Default)]
pub struct OpenRequests {
    /// No client chooses these names, so that a fast hash is safe.
    requests: FxHashMap<RequestId, OpenRequest>,
    /// Ids of clients' requests that wait for their response.
    client_ids: HashSet<Rc<[u8]>>,
    last_id: u32,
    stage_events: VecDeque<StageEvent>,
}

impl OpenRequests {
    /// A new name for a request.
    pub fn next_id(&mut self) -> RequestId {
        self.last_id = self.last_id.wrapping_add(1);
        RequestId(self.last_id)
    }

    /// Claims a client's id until the response; `None` if it is in use. The id is copied: a part of the command would
    /// keep all that was read with it.
    pub fn claim_client_id(&mut self, id: &[u8]) -> Option<Rc<[u8]>> {
        if self.client_ids.contains(id) {
            return None;
        }
        let id: Rc<[u8]> = id.into();
        self.client_ids.insert(id.clone());
        Some(id)
    }

    /// Frees a client's id.
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

    /// An open request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// Takes the sink of a request: from here on it waits for nothing.
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

    /// Nobody waits for a request any more; whether somebody did.
    pub fn abandon(&mut self, id: RequestId) -> bool {
        let is_pending = self.take_sink(id).is_some();
        if let Some(request) = self.requests.get(&id).filter(|_| is_pending) {
            request.abandoned.notify_waiters();
        }
        is_pending
    }

    /// The one place where a request gets its final response.
    pub fn respond(&mut self, id: RequestId, response: Response) {
        match self.take_sink(id) {
            Some(ResponseSink::Client(client) | ResponseSink::Write(client)) => {
                // A client that disconnects at this moment is noticed by its connection.
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

    /// Removes a request that is over.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self.requests.get(&id).is_some_and(OpenRequest::is_finished);
        if hooks::is_removed(is_finished) {
            self.requests.remove(&id);
        }
    }

    /// The requests that wait for their response, in the order of their ids.
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

    /// A further attempt of a shared request is sent.
    pub fn shared_retried(&mut self, id: RequestId) {
        self.stage_events.push_back(StageEvent::Retried(id));
    }

    /// The next event for the stage.
    pub fn pop_stage_event(&mut self) -> Option<StageEvent> {
        self.stage_events.pop_front()
    }

    /// Whether the stage has events to take.
    pub fn has_stage_events(&self) -> bool {
        !self.stage_events.is_empty()
    }

    /// How many clients' ids wait for their response.
    pub fn unanswered_count(&self) -> usize {
        self.client_ids.len()
    }

    /// How many requests are open.
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
