//! The interface between the stages of request processing: connections, stages, dispatcher.
//!
//! Requests are passed down by [`RequestStage`]; responses come back on
//! [`SubmittedRequest::response`]. A stage that opens shared requests for several clients is told
//! about them by [`StageEvent`]s.

use crate::request::{ClientRequest, Response, SubmittedRequest};
use bytes::Bytes;
use load_balancer::{Micros, RequestId};

/// One stage of request processing, as the stage before it sees it.
pub trait RequestStage {
    /// Submits a request. Returns `None` if a request with the same client-chosen id is pending.
    fn submit(&self, request: ClientRequest) -> Option<SubmittedRequest>;

    /// Reports that the client of a pending request has disconnected.
    fn client_disconnected(&self, id: RequestId);

    /// The current time on the load balancer's clock.
    fn now(&self) -> Micros;
}

/// An event that the dispatcher reports to a stage, in the order of occurrence.
pub enum StageEvent {
    /// A write on this key has ended.
    WriteEnded(Bytes),
    /// A further attempt of this shared request has been sent.
    Retried(RequestId),
    /// This shared request has its final response.
    Responded(RequestId, Response),
}
