//! Client requests and their responses, as connections, stages and the dispatcher pass them on.

use crate::memory_budget::{MemoryReservation, RequestCharge};
use crate::resp::Command;
use bytes::Bytes;
use load_balancer::{ClassId, Micros, RequestId, TenantId};
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, oneshot};

/// A request as its client sent it. The dispatcher assigns its [`RequestId`].
#[derive(Clone)]
pub struct ClientRequest {
    /// The class, by its index in the settings.
    pub class: ClassId,
    /// The tenant; `None` if there is none, or if the settings do not define it.
    pub tenant: Option<TenantId>,
    /// The position on the consistent-hash ring.
    pub key: u64,
    /// How long the client waits for the response.
    pub timeout: Micros,
    /// How long the client expects the request to take.
    pub cost_hint: Option<Micros>,
    /// Whether the client has sent the request before.
    pub retry: bool,
    /// The command for the cache server.
    pub command: Command,
    /// The connection that receives the response.
    pub connection: Rc<dyn ResponseStream>,
    /// Whether a second run of it would do harm.
    pub must_run_once: bool,
    /// The memory that it is charged for.
    pub charge: Rc<RequestCharge>,
}

/// A client connection that can receive a streamed answer.
pub trait ResponseStream {
    /// Whether no other request of this connection would be lost if its only answer broke off.
    fn awaits_one_response(&self) -> bool;

    /// Begins to stream an answer. No further command is read until the stream ends.
    fn begin_streaming(&self);

    /// Notified when a response has been written to the connection.
    fn advanced(&self) -> &Rc<Notify>;
}

/// A complete answer of a cache server.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The answer as it is sent to the client, or the beginning of a long one.
    pub bytes: Bytes,
    /// The further chunks of a long answer.
    pub rest: Vec<Bytes>,
    /// The memory of an answer, released once it is written to all its clients.
    pub memory: Option<Rc<MemoryReservation>>,
}

impl Answer {
    /// An answer so short that it is charged with its request.
    pub fn short(bytes: Bytes) -> Answer {
        Answer::whole(bytes, None)
    }

    /// An answer in one piece.
    pub fn whole(bytes: Bytes, memory: Option<MemoryReservation>) -> Answer {
        Answer {
            bytes,
            rest: Vec::new(),
            memory: memory.map(Rc::new),
        }
    }
}

/// The final response to a request.
#[derive(Debug)]
pub enum Response {
    /// Served by a cache server.
    Served(Answer),
    /// A long answer, passed on as it arrives. Used only if a single client waits for it and has no
    /// other request pending on its connection.
    Streamed(mpsc::Receiver<BodyChunk>),
    /// Rejected: the client may safely send the request again, after this time if there is one.
    Rejected(Option<Micros>),
    /// Failed: the request may have been executed.
    Failed,
}

/// One chunk of a streamed answer.
#[derive(Debug)]
pub enum BodyChunk {
    /// More follows. If none does, the answer is broken off.
    More(BodyPart),
    /// The last chunk of the answer.
    Last(Bytes),
}

/// Bytes of a streamed answer, and their memory until they are written.
#[derive(Debug)]
pub struct BodyPart {
    /// The bytes.
    pub bytes: Bytes,
    /// `None` if the bytes are charged otherwise, or are so few that every connection may hold them.
    pub memory: Option<MemoryReservation>,
}

/// A submitted request.
pub struct SubmittedRequest {
    /// Its id within this process.
    pub id: RequestId,
    /// Receives its response, exactly once.
    pub response: oneshot::Receiver<Response>,
}
