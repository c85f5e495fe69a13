//! Methods of the dispatcher for request stages, beyond
//! [`RequestStage`](crate::stage::RequestStage): ids for requests that a stage holds, and shared
//! requests that several clients wait for.

use super::Dispatcher;
use super::open_requests::ResponseSink;
use crate::environment::Environment;
use crate::request::{ClientRequest, Response, SubmittedRequest};
use crate::stage::StageEvent;
use load_balancer::{Event, Micros, RequestId, TenantId};
use std::rc::Rc;
use tokio::sync::oneshot;

impl<E: Environment> Dispatcher<E> {
    /// Submits a write whose end is reported as a [`StageEvent`]. Returns `None` if a request with
    /// the same client-chosen id is pending.
    pub fn submit_write(self: &Rc<Self>, request: ClientRequest) -> Option<SubmittedRequest> {
        self.open_for_client(request, ResponseSink::Write)
    }

    /// Allocates an id for a request that a stage opens or holds.
    pub fn next_id(&self) -> RequestId {
        self.state.borrow_mut().requests.next_id()
    }

    /// Claims a client-chosen id for a request that a stage holds; `None` if the id is in use.
    pub fn claim_client_id(&self, id: &[u8]) -> Option<Rc<[u8]>> {
        self.state.borrow_mut().requests.claim_client_id(id)
    }

    /// Releases a client-chosen id that a stage has claimed.
    pub fn release_client_id(&self, id: &[u8]) {
        self.state.borrow_mut().requests.release_client_id(id);
    }

    /// Submits a request under an id and a client-chosen id that a stage has obtained for it.
    pub fn submit_claimed(
        self: &Rc<Self>,
        id: RequestId,
        request: ClientRequest,
        response: oneshot::Sender<Response>,
    ) {
        self.open(id, request, ResponseSink::Client(response));
    }

    /// Opens a request that several clients may share; its response is reported to the stage as a
    /// [`StageEvent`].
    pub fn open_shared(self: &Rc<Self>, id: RequestId, request: ClientRequest) {
        self.open(id, request, ResponseSink::Stage);
    }

    /// Records that one more client waits for a shared request, until `expires`.
    pub fn join_shared(self: &Rc<Self>, id: RequestId, tenant: Option<TenantId>, expires: Micros) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(id) {
            request.expires = request.expires.max(expires);
            if let Some(end) = &request.shared_attempt_deadline {
                // An attempt in flight is not cut short when the client with the latest deadline
                // leaves.
                end.set(end.get().max(self.clock.to_instant(request.expires)));
            }
        }
        self.handle(Event::Coalesced {
            id,
            tenant,
            expires,
        });
    }

    /// Shortens a shared request to `expires`, as the client with the latest deadline has left.
    pub fn shorten_shared(self: &Rc<Self>, id: RequestId, expires: Micros) {
        if let Some(request) = self.state.borrow_mut().requests.get_mut(id) {
            request.expires = expires;
        }
        self.handle(Event::DeadlineShortened { id, expires });
    }

    /// Abandons a shared request that no client waits for. With `may_cancel`, its attempts are
    /// cancelled too.
    pub fn withdraw_shared(self: &Rc<Self>, id: RequestId, may_cancel: bool) {
        self.abandon(id);
        if !may_cancel {
            return;
        }
        let mut state = self.state.borrow_mut();
        let Some(request) = state.requests.get_mut(id) else {
            return;
        };
        for cancel in request.attempts.iter_mut().filter_map(Option::take) {
            let _ = cancel.send(());
        }
    }

    /// Sets the listener that is called when there are [`StageEvent`]s.
    pub fn on_stage_events(&self, listener: impl Fn() + 'static) {
        *self.stage_listener.borrow_mut() = Some(Rc::new(listener));
    }

    /// Removes and returns the next event for the stage.
    pub fn next_stage_event(&self) -> Option<StageEvent> {
        self.state.borrow_mut().requests.pop_stage_event()
    }
}
