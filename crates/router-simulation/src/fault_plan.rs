//! The plan of a run: the fleet, its settings, the clients' requests and the overlapping faults. A
//! plan is plain data, so that a failing one can be shrunk.

mod crowds;
mod draw;
mod fault;
mod large_fleet;

pub use crowds::{CROWD_CONNECTION_COUNT, CROWD_READ_COUNT};
pub use fault::{Fault, FaultKind, OperatorAction, PlannedAction};

use crate::executor::Time;
use crate::network::NetworkConditions;

/// One second, in microseconds.
pub const SECOND: Time = 1_000_000;
/// One millisecond, in microseconds.
pub const MILLI: Time = 1_000;
/// The number of unordered pairs of [`FaultKind::PAIRED`].
pub const FAULT_PAIR_COUNT: u64 =
    (FaultKind::PAIRED.len() * (FaultKind::PAIRED.len() - 1) / 2) as u64;
/// The names of the request classes: reads, writes deduplicated by all servers, writes deduplicated
/// by the servers of a zone, and writes that are not deduplicated.
pub const CLASSES: [&str; 4] = ["ambil", "kirim", "zona", "sekali"];

/// When clients begin to send. Before, the routers start and open their watches.
const REQUESTS_BEGIN: Time = SECOND / 4;
/// When clients stop sending.
const REQUESTS_END: Time = 10 * SECOND;

/// One request of a client, without its retries. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// The number in the plan, which the request id contains.
    pub number: u32,
    /// When the client sends it.
    pub at: Time,
    /// The number of the router that receives it.
    pub router: usize,
    /// The class, an index of [`CLASSES`].
    pub class: usize,
    /// The requested key.
    pub key: u64,
    /// How long the client waits for each try.
    pub timeout: Time,
    /// The work at a server, in microseconds at speed 1.
    pub work: f64,
    /// The size of the value in bytes.
    pub value_size: usize,
    /// A drawn number from 0 to 1. Faults of clients use it to select requests.
    pub fault_selector: f64,
}

/// Many clients that read one key at one router at the same time.
#[derive(Clone, Debug, PartialEq)]
pub struct Crowd {
    /// The reads of the key.
    pub requests: Vec<PlannedRequest>,
    /// Writes of the key during the reads.
    pub writes: Vec<PlannedRequest>,
}

/// A cache server of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlan {
    /// The zone of the server.
    pub zone: usize,
    /// The work that it does in a microsecond at full capacity.
    pub speed: f64,
    /// The number of requests that it processes at a time, each at an equal part of its speed.
    pub slots: usize,
    /// The number of requests that may wait beyond those.
    pub queue: usize,
}

/// The plan of a run. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RunPlan {
    /// The seed from which it is drawn.
    pub seed: u64,
    /// The zone of each router.
    pub routers: Vec<usize>,
    /// The cache servers.
    pub servers: Vec<ServerPlan>,
    /// The conditions of the network.
    pub conditions: NetworkConditions,
    /// The mean work of a read, in microseconds at speed 1.
    pub mean_work: f64,
    /// The latency objective. The deadline of reads is 2.5 times the objective.
    pub latency_objective: Time,
    /// How long servers remember an idempotency key.
    pub deduplication_window: Time,
    /// The lowest ratio of its capacity with which a server starts, according to the routers'
    /// settings.
    pub initial_capacity_ratio: f64,
    /// The ratio with which servers actually start.
    pub starting_capacity_ratio: f64,
    /// How long a server takes to reach its full capacity.
    pub slow_start_duration: Time,
    /// A server in slow start fails when the work of `overload_duration` exceeds this multiple of
    /// its capacity in that time.
    pub overload_multiple: f64,
    /// The time over which the work of a server in slow start is summed.
    pub overload_duration: Time,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// The routers' timeout for a connect.
    pub dial_timeout: Time,
    /// Servers close connections that have been idle for this time.
    pub idle_timeout: Time,
    /// The number of file descriptors that a router may use.
    pub descriptor_limit: usize,
    /// How long after an event the endpoint list shows it.
    pub announcement_delay: Time,
    /// The handshake time of a connection to a server, for which its first request waits.
    pub handshake_time: Time,
    /// The mean time of a fetch from the origin.
    pub origin_time: Time,
    /// The number of fetches that the origin processes at a time.
    pub origin_slots: usize,
    /// The clients' requests, in the order of their times.
    pub requests: Vec<PlannedRequest>,
    /// The ratio of the routers' system calls that fail; 0 for none.
    pub failing_calls_ratio: f64,
    /// Whether an agent pushes endpoint lists to each router.
    pub lists_are_pushed: bool,
    /// Whether routers coalesce identical reads.
    pub coalescing: bool,
    /// Crowds that read one key each, in runs with coalescing.
    pub crowds: Vec<Crowd>,
    /// The operators' actions.
    pub operator_actions: Vec<PlannedAction>,
    /// The faults, in the order of their start times.
    pub faults: Vec<Fault>,
    /// The time by which all faults are over and service has to have recovered.
    pub recovered_by: Time,
}

impl RunPlan {
    /// Returns the end of the run, which is late enough for every deadline to pass.
    pub fn end_time(&self) -> Time {
        let last = self.requests.last().map_or(0, |request| request.at);
        last.max(REQUESTS_END) + self.longest_deadline() + SECOND
    }

    /// Returns the deadline of a class. That of reads is shorter.
    pub fn deadline(&self, class: usize) -> Time {
        let half_objectives = if class == 0 { 5 } else { 6 };
        self.latency_objective * half_objectives / 2
    }

    /// Returns the longest deadline of all classes.
    pub fn longest_deadline(&self) -> Time {
        self.latency_objective * 3
    }

    /// Returns the latest start time of a fault, at which all faults overlap.
    fn latest_fault_start(&self) -> Time {
        let starts = self.faults.iter().map(|fault| fault.at);
        starts.max().unwrap_or(2 * SECOND)
    }
}
