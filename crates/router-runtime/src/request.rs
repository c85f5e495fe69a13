//! A client's request and its response, as connections, stages and the dispatcher pass them on.

use crate::memory_budget::MemoryReservation;
use crate::resp::Command;
use bytes::Bytes;
use load_balancer::{ClassId, Micros, RequestId, TenantId};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// A request as its client sent it. The dispatcher gives it its [`RequestId`].
#[derive(Clone)]
pub struct ClientRequest {
    /// Its class, by its place in the settings.
    pub class: ClassId,
    /// Its tenant; `None`: none, or one that the settings do not name.
    pub tenant: Option<TenantId>,
    /// Its place on the consistent-hash ring.
    pub key: u64,
    /// How long its client waits.
    pub timeout: Micros,
    /// How long its client expects it to take.
    pub cost_hint: Option<Micros>,
    /// Whether its client has sent it before.
    pub retry: bool,
    /// The command for the cache server.
    pub command: Command,
    /// Where its response goes.
    pub connection: Rc<dyn ResponseStream>,
}

/// A client's connection, as the way of a streamed answer.
pub trait ResponseStream {
    /// Begins to stream an answer, if no other request of this connection would be lost with one that breaks off. Until
    /// its end no further command is read.
    fn begin_streaming(&self) -> bool;
}

/// The whole answer of a cache server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The answer as it goes to the client, or the beginning of a long one.
    pub bytes: Bytes,
    /// The further pieces of a long one.
    pub rest: Vec<Bytes>,
    /// The memory of a long one, given back once it is written to all its clients.
    pub memory: Option<Rc<MemoryReservation>>,
}

impl Answer {
    /// An answer that counts against no budget.
    pub fn short(bytes: Bytes) -> Answer {
        Answer {
            bytes,
            rest: Vec::new(),
            memory: None,
        }
    }
}

/// The one final response to a request.
#[derive(Debug)]
pub enum Response {
    /// Served by a cache server.
    Served(Answer),
    /// A long answer, passed on as it arrives. Only where a single client waits for it, and for nothing else on its
    /// connection.
    Streamed(mpsc::Receiver<BodyChunk>),
    /// Rejected: a retry does no harm, and the client may send it after this time.
    Rejected(Option<Micros>),
    /// Failed: it may have run.
    Failed,
}

/// One piece of a streamed answer.
#[derive(Debug)]
pub enum BodyChunk {
    /// More follows. Where none does, the answer is broken off.
    More(Bytes),
    /// The end of the answer.
    Last(Bytes),
}

/// A request that was taken.
pub struct SubmittedRequest {
    /// Names it within this process.
    pub id: RequestId,
    /// Gets its response, once.
    pub response: oneshot::Receiver<Response>,
}
