//! The interface between the stages that a request passes: connection, stages, dispatcher.
//!
//! Requests go down by [`RequestStage`]; responses come back on [`SubmittedRequest::response`]. A stage that opens
//! requests of its own for several clients learns of them by [`StageEvent`].

use crate::request::{ClientRequest, Response, SubmittedRequest};
use bytes::Bytes;
use load_balancer::{Micros, RequestId};

/// One stage on the way of a request, as the stage before it sees it.
pub trait RequestStage {
    /// Takes a request. `None` if a request of the same client's id is pending.
    fn submit(&self, request: ClientRequest) -> Option<SubmittedRequest>;

    /// The client of a pending request has disconnected.
    fn client_disconnected(&self, id: RequestId);

    /// Now, on the decision library's clock.
    fn now(&self) -> Micros;
}

/// What a stage learns from the dispatcher, in the order in which it happened.
pub enum StageEvent {
    /// A write on this key has ended.
    WriteEnded(Bytes),
    /// A further attempt of this shared request has been sent.
    Retried(RequestId),
    /// This shared request has its final response.
    Responded(RequestId, Response),
}
