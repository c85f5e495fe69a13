//! Requests, and how their attempts end.

use crate::ids::{AttemptNumber, ClassId, RequestId, TenantId};
use crate::load_report::LoadReport;
use crate::time::Micros;

/// A new request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// The tenant that sends it.
    pub tenant: Option<TenantId>,
    /// The cache key.
    pub key: Option<u64>,
    /// When the client gives up on this try.
    pub expires: Micros,
    /// Rough cost, as time on a standard core.
    pub cost_hint: Option<Micros>,
    /// Whether the client marks it as a retry.
    pub retry: bool,
    /// Whether it is a write.
    pub write: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Success,
    /// The server answered with an error; it may have run.
    Failure,
    /// The server rejected it unread; it never ran.
    Overloaded,
    /// No answer in time; it may have run or run still.
    TimedOut,
    /// No connection, or the command was not written whole; it never ran.
    Unreachable,
    /// The connection broke; it may have run.
    ConnectionLost,
    /// Cancelled by the router; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
    /// The server lacks the key and fetches nothing; it never ran.
    Miss,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(
            self,
            Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent | Outcome::Miss
        )
    }
}

/// How a server came by its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheStatus {
    /// It had the object.
    Hit,
    /// It lacked the object.
    Miss,
    /// It lacked the object and has told another request to fetch it.
    MissPending,
}

/// The connection of an attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionUse {
    /// The embedding program cannot tell.
    #[default]
    Unknown,
    /// It was opened for this attempt, whose time includes the handshake.
    New,
    /// It had carried others, and had been idle for so long since the last.
    Reused(Micros),
}

/// The end of an attempt; each gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// Its attempt.
    pub attempt: AttemptNumber,
    /// How it ended.
    pub outcome: Outcome,
    /// Whether the client has its final answer by now.
    pub complete: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// How the server came by the answer.
    pub cache_status: Option<CacheStatus>,
    /// Part of a response came back: whatever the outcome, the connection was alive. False where that is not known.
    pub response_started: bool,
    /// Its connection.
    pub connection_use: ConnectionUse,
    /// The server's load report, where answers carry one.
    pub load: Option<LoadReport>,
}

impl AttemptEnd {
    /// An end of which no more is known: the client has no answer yet, the cache status and the connection are
    /// unknown, no response had started and no load report came.
    pub fn new(id: RequestId, attempt: AttemptNumber, outcome: Outcome, elapsed: Micros) -> Self {
        AttemptEnd {
            id,
            attempt,
            outcome,
            complete: false,
            elapsed,
            cache_status: None,
            response_started: false,
            connection_use: ConnectionUse::Unknown,
            load: None,
        }
    }
}
