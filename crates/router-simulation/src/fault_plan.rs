//! The plan of a run: the fleet, the settings, what clients send and which faults overlap. A plan is plain data, so that
//! one that fails can be shrunk.

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
/// How many unordered pairs of faults there are.
pub const FAULT_PAIR_COUNT: u64 =
    (FaultKind::PAIRED.len() * (FaultKind::PAIRED.len() - 1) / 2) as u64;
/// Classes of requests: reads, and writes whose repeats all servers drop, those of a zone, or none.
pub const CLASSES: [&str; 4] = ["ambil", "kirim", "zona", "sekali"];

/// When clients begin to send; before, the routers start and watch.
const REQUESTS_BEGIN: Time = SECOND / 4;
/// When clients cease to send.
const REQUESTS_END: Time = 10 * SECOND;

/// One request of a client, its retries aside; times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Its number in the plan, which its id holds.
    pub number: u32,
    /// When it is sent.
    pub at: Time,
    /// The number of the router that gets it.
    pub router: usize,
    /// Its class, an index of [`CLASSES`].
    pub class: usize,
    /// The key.
    pub key: u64,
    /// How long its client waits for a try.
    pub timeout: Time,
    /// Microseconds of a core of speed 1.
    pub work: f64,
    /// Bytes of the value.
    pub value_size: usize,
    /// From 0 to 1: faults of clients pick the requests that they concern by it.
    pub fault_selector: f64,
}

/// A crowd that reads one key at one router.
#[derive(Clone, Debug, PartialEq)]
pub struct Crowd {
    /// Its reads.
    pub requests: Vec<PlannedRequest>,
    /// Writes of the key meanwhile.
    pub writes: Vec<PlannedRequest>,
}

/// A cache server of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlan {
    /// Its zone.
    pub zone: usize,
    /// Work that it does in a microsecond at full capacity.
    pub speed: f64,
    /// Requests that it works on at a time, each at the same part of its speed.
    pub slots: usize,
    /// Requests that may wait beyond those.
    pub queue: usize,
}

/// A plan; times in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct RunPlan {
    /// The seed that it is drawn from.
    pub seed: u64,
    /// The zone of each router.
    pub routers: Vec<usize>,
    /// The cache servers.
    pub servers: Vec<ServerPlan>,
    /// The conditions of the network.
    pub conditions: NetworkConditions,
    /// The mean work of a read, in microseconds of a core of speed 1.
    pub mean_work: f64,
    /// An answer to a read is wanted within this time; its deadline is 2.5 times that.
    pub latency_objective: Time,
    /// How long servers remember an idempotency key.
    pub deduplication_window: Time,
    /// The ratio of its capacity that a server starts with at least, as the settings have it.
    pub initial_capacity_ratio: f64,
    /// The ratio that servers do start with.
    pub starting_capacity_ratio: f64,
    /// How long until a server has its full capacity.
    pub slow_start_duration: Time,
    /// A server in slow start fails when it gets more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... within this time.
    pub overload_duration: Time,
    /// Two attempts of one request may be in flight together.
    pub hedging: bool,
    /// A router gives up a connect after this time.
    pub dial_timeout: Time,
    /// Servers close connections that have been idle for this time.
    pub idle_timeout: Time,
    /// Descriptors of a router.
    pub descriptor_limit: usize,
    /// How long after an event the list shows it.
    pub announcement_delay: Time,
    /// What the first request on a connection to a server waits for.
    pub handshake_time: Time,
    /// The mean time of a fetch from the origin.
    pub origin_time: Time,
    /// Fetches that the origin works on at a time.
    pub origin_slots: usize,
    /// What clients send, in the order of its time.
    pub requests: Vec<PlannedRequest>,
    /// The ratio of the routers' system calls that begin to fail; 0: none.
    pub failing_calls_ratio: f64,
    /// An agent pushes lists to each router.
    pub lists_are_pushed: bool,
    /// Routers coalesce identical reads.
    pub coalescing: bool,
    /// Where they do: crowds that read one key.
    pub crowds: Vec<Crowd>,
    /// What operators do.
    pub operator_actions: Vec<PlannedAction>,
    /// The faults, in the order of their beginnings.
    pub faults: Vec<Fault>,
    /// From when on all faults are over and service has to be back.
    pub recovered_by: Time,
}

impl RunPlan {
    /// When the run ends: long enough after the last request for every deadline to pass.
    pub fn end_time(&self) -> Time {
        let last = self.requests.last().map_or(0, |request| request.at);
        last.max(REQUESTS_END) + self.longest_deadline() + SECOND
    }

    /// The deadline of a class: that of reads is shorter.
    pub fn deadline(&self, class: usize) -> Time {
        let half_objectives = if class == 0 { 5 } else { 6 };
        self.latency_objective * half_objectives / 2
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Time {
        self.latency_objective * 3
    }

    /// The latest beginning of a fault: all of them hold then.
    fn latest_fault_start(&self) -> Time {
        let beginnings = self.faults.iter().map(|fault| fault.at);
        beginnings.max().unwrap_or(2 * SECOND)
    }
}
