//! The rules that a run has to keep, their parameters, and the record of a violation.

use crate::executor::Time;
use std::collections::BTreeMap;
use std::fmt;

/// The rules of the protocol (PROTOCOL, "The rules on sockets") and the other conditions that every
/// run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Rule 1: every request that a running router accepts gets exactly one final answer in time,
    /// and nothing is sent after it.
    Answered,
    /// An attempt passes its server at most the time that is left to the client.
    UpstreamDeadline,
    /// Nothing is sent for a client that has disconnected.
    ClientDisconnect,
    /// Rule 2: no request takes effect twice.
    Effects,
    /// Rule 3: nothing new is sent to a server that drains or is removed.
    Drains,
    /// Rule 4: no server in slow start is overloaded by routers that know of its start.
    SlowStart,
    /// Service recovers once the faults have ended.
    Liveness,
    /// The use of file descriptors and memory is bounded.
    ResourceLimits,
    /// A coalesced answer goes only to reads of the same key, from a flight that is not older than
    /// the last write before the read, and a flight is one upstream request.
    Coalescing,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Rule::Answered => "rule 1, every request answered once and in time",
            Rule::UpstreamDeadline => "deadlines, servers are told what is left",
            Rule::ClientDisconnect => "departures, nothing is sent for who has left",
            Rule::Effects => "rule 2, no effect twice",
            Rule::Drains => "rule 3, drains kept",
            Rule::SlowStart => "rule 4, no cold server pushed over",
            Rule::Liveness => "liveness, all settles once faults end",
            Rule::ResourceLimits => "bounds on what is held",
            Rule::Coalescing => "joining, only what may be shared is",
        })
    }
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Virtual time in microseconds.
    pub time: Time,
    /// The number of the step on the wire, from 1.
    pub step: u64,
    /// The id of the request, if the violation concerns one.
    pub request: Option<u64>,
    /// What was observed.
    pub text: String,
    /// The last steps of the request. Empty unless the trace is recorded.
    pub steps: Vec<String>,
}

/// Tells whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// The servers of the scope drop repeats for this time, in microseconds.
    Keyed(DeduplicationScope, Time),
    /// It may run once.
    NotIdempotent,
}

/// The servers that share a record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
}

/// The parameters of the rules. Times are in microseconds.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// The classes of requests, by name.
    pub classes: BTreeMap<String, Idempotency>,
    /// How long after the client's deadline a final answer may come.
    pub answer_grace: Time,
    /// How long a router may still send to a server after it learns of a drain.
    pub drain_grace: Time,
    /// An agent pushes lists to each router: what is announced counts as known at once, with or
    /// without a watch.
    pub lists_are_pushed: bool,
    /// The maximum number of attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// A server in slow start fails when the work of `overload_duration` exceeds this multiple of
    /// its capacity in that time.
    pub overload_multiple: f64,
    /// The time over which the work of a server in slow start is summed.
    pub overload_duration: Time,
    /// The receive window of a connection, in bytes.
    pub receive_window: usize,
    /// Work beyond the overload limit that random arrivals may bring.
    pub overload_slack: OverloadSlack,
    /// The reads that may share an answer; `None` if none may.
    pub coalescing: Option<CoalescingParameters>,
    /// Requests from this id on belong to crowds. They do not count in
    /// [`ServiceAfterFaults`](super::ServiceAfterFaults), since a few upstream requests decide over
    /// a whole crowd.
    pub first_crowd_request_id: u64,
}

/// The parameters of [`Rule::Coalescing`].
#[derive(Clone, Debug)]
pub struct CoalescingParameters {
    /// The class whose reads may share an answer.
    pub class: String,
    /// The number of flights for one key that new reads may join.
    pub max_flights_per_key: usize,
}

/// A cache server, as the endpoint list identifies it.
#[derive(Clone, Debug)]
pub struct ServerIdentity {
    /// The name on the list.
    pub name: String,
    /// The number of its zone.
    pub zone: usize,
}

/// Work beyond the overload limit that a server withstands, since requests arrive at random.
#[derive(Clone, Copy, Debug)]
pub enum OverloadSlack {
    /// This many microseconds of work.
    Work(f64),
    /// The allowance of STANDING, by the number N of mean requests that the limit allows: `2 *
    /// sqrt(N) + 2` requests, or `3 * sqrt(N) + 3` where N is under 30.
    Requests {
        /// The mean work of a request, in microseconds at the server's full capacity.
        mean_work: f64,
    },
}

impl OverloadSlack {
    /// Returns the slack beyond a limit, in microseconds of work.
    pub(super) fn beyond(self, limit: f64) -> f64 {
        match self {
            OverloadSlack::Work(work) => work,
            OverloadSlack::Requests { mean_work } => {
                let count = limit / mean_work;
                let factor = if count < 30.0 { 3.0 } else { 2.0 };
                (factor * count.sqrt() + factor) * mean_work
            }
        }
    }
}
