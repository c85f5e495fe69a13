//! The rules that a run has to keep, their parameters, and the record of a violation.

use crate::executor::Time;
use std::collections::BTreeMap;
use std::fmt;

/// The rules of the protocol (PROTOCOL, "The rules on sockets"), and what else every run has to keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Rule 1: whatever a running router accepts gets exactly one final answer in time, and nothing goes out after it.
    Answered,
    /// An attempt tells its server at most the time that is left to the client.
    UpstreamDeadline,
    /// Nothing is sent for a client that has disconnected.
    ClientDisconnect,
    /// Rule 2: no effect happens twice.
    Effects,
    /// Rule 3: nothing new is sent to a server that drains or is gone.
    Drains,
    /// Rule 4: no server in slow start is overloaded by routers that know of its start.
    SlowStart,
    /// Service comes back once faults have ended.
    Liveness,
    /// Descriptors and memory are bounded.
    ResourceLimits,
    /// A coalesced answer goes to reads of the same key alone, from a flight that is not older than the last write
    /// before the read, and a flight is one upstream request.
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

/// A rule that was not kept.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Virtual time in microseconds.
    pub time: Time,
    /// Number of the step on the wire, from 1.
    pub step: u64,
    /// The request, if it concerns one.
    pub request: Option<u64>,
    /// What was observed.
    pub text: String,
    /// The last steps that touched the request; empty unless the trace is recorded.
    pub steps: Vec<String>,
}

/// Whether a request may run twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Any number of times.
    Idempotent,
    /// The servers of the scope drop repeats for this time, in microseconds.
    Keyed(DeduplicationScope, Time),
    /// Never.
    NotIdempotent,
}

/// Which servers drop each other's repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All.
    All,
    /// Those of one zone.
    Zone,
}

/// The parameters of the rules; times are microseconds.
#[derive(Clone, Debug)]
pub struct RuleParameters {
    /// Each class of requests by its name.
    pub classes: BTreeMap<String, Idempotency>,
    /// How long after the client's deadline a final answer may come.
    pub answer_grace: Time,
    /// How long after a router learns of a drain it may still send to the server.
    pub drain_grace: Time,
    /// An agent pushes lists to each router: what is announced counts as told at once, with or without a watch.
    pub lists_are_pushed: bool,
    /// Attempts of one request.
    pub max_attempts: usize,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// A server in slow start fails when it gets more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_duration: Time,
    /// Bytes that a connection takes without their being read.
    pub receive_window: usize,
    /// Work beyond the overload limit that random arrivals may bring, in microseconds.
    pub overload_slack: OverloadSlack,
    /// Which reads may share an answer; `None`: none may.
    pub coalescing: Option<CoalescingParameters>,
    /// Requests from this id on belong to crowds: a few upstream requests decide over all of a crowd, so these do not
    /// count toward the ratio that is served in the calm.
    pub first_crowd_request_id: u64,
}

/// The parameters of [`Rule::Coalescing`].
#[derive(Clone, Debug)]
pub struct CoalescingParameters {
    /// The class whose reads may share an answer.
    pub class: String,
    /// Flights for one key that new reads may join.
    pub max_flights_per_key: usize,
}

/// A cache server as its endpoint list names it.
#[derive(Clone, Debug)]
pub struct ServerIdentity {
    /// Name on the list.
    pub name: String,
    /// Number of its zone.
    pub zone: usize,
}

/// Work beyond the overload limit that a server withstands: requests arrive at random.
#[derive(Clone, Copy, Debug)]
pub enum OverloadSlack {
    /// So many microseconds of work.
    Work(f64),
    /// As STANDING has it, by the number N of requests of mean work that the limit allows: twice the root of N and two,
    /// or three times the root and three where N is under 30.
    Requests {
        /// Microseconds of the server's full capacity.
        mean_work: f64,
    },
}

impl OverloadSlack {
    /// The slack beyond a limit, in microseconds of work.
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
