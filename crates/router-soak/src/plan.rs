//! Plan of a run, drawn from a seed: servers, clients, settings, faults and how the router is shut
//! down.

use crate::recorder::zone_of;
use router_simulation::rng::SeededRng;
use std::fmt;

/// Time from the start of the load to the shutdown signal, in milliseconds.
pub(crate) const LOAD_MS: u64 = 11_000;
/// Descriptors that the router reserves for other uses than client and server connections.
const RESERVED_DESCRIPTORS: usize = 48;
/// Seeds below this have no crowd: CI plays them six at a time, in the debug build.
const FIRST_CROWD_SEED: u64 = 100;
/// Seeds below this have no faults of the fleet's membership: they would change the plans of known seeds.
const FIRST_MEMBERSHIP_SEED: u64 = 200;
/// Largest step of a wall clock, in milliseconds.
const MAX_CLOCK_STEP_MS: u64 = 3_600_000;
/// Number of servers that may come up at the addresses of others.
const SPARE_SERVERS: usize = 2;
/// Ratio of runs with a crowd.
const CROWD_RATIO: f64 = 0.25;
/// Memory limit of a run with a crowd, in MiB.
const CROWD_MEMORY_MB: usize = 32;
/// Descriptor limit of a run with a crowd.
const CROWD_DESCRIPTORS: usize = 1_024;

/// Kind of a fault. The plan's text contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Open watches stay open but send nothing more; of the next calls some hang and some fail. A
    /// separate `Drain` fault begins meanwhile.
    Silence {
        /// Number of calls that are not answered.
        hanging: usize,
        /// Number of calls that are answered with status 503.
        failing: usize,
    },
    /// Discovery closes open watches.
    WatchReset,
    /// Discovery closes open watches, and calls fail.
    DiscoveryDown,
    /// A server drains, and restarts under the same name.
    Drain(usize),
    /// The process of a server is killed, and restarts under the same name.
    Restart(usize),
    /// A server reads commands and does not reply.
    Hang(usize),
    /// A server sends malformed replies.
    Malformed(usize),
    /// A server resets connections with requests in flight.
    Resets(usize),
    /// A server delays the answer to the first command of each connection.
    LateConnections(usize),
    /// Servers send long values, some of them truncated.
    LongValues,
    /// Clients disconnect before they have their answers.
    ClientsLeave,
    /// Clients write long values.
    LongWrites,
    /// Clients read their answers late and use small receive buffers.
    SlowReaders,
    /// A server stops reading, answering and closing connections, and then restarts as another
    /// process.
    Vanish(usize),
    /// Servers send long values with a pause in the middle.
    PausedValues,
    /// The wall clock of the router's machine is stepped to this offset in milliseconds, those of the servers'
    /// machines to the opposite one.
    StepClocks(i64),
    /// A server drains, leaves the list, and comes back later under the same name.
    Remove(usize),
    /// An operator excludes a server, and includes it again.
    Exclude(usize),
    /// The process of a server is killed, and a spare one comes up at its address while it is still listed. The
    /// spare one drains and leaves.
    ReuseAddress {
        /// The server that is killed.
        server: usize,
        /// Number of the spare server.
        spare: usize,
        /// How long the killed one stays listed, in milliseconds.
        stale_ms: u64,
    },
    /// SIGHUP, with another address of discovery.
    Reload,
    /// Another process takes over; the old one gets SIGTERM, and is killed at the earliest time.
    Replace,
    /// The router is killed, and starts again with the list of its first start.
    Kill,
}

/// Fault with its start time and duration.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// Kind and target of the fault.
    pub kind: FaultKind,
    /// Start time, in milliseconds from the start of the load.
    pub at_ms: u64,
    /// Duration, in milliseconds.
    pub duration_ms: u64,
}

/// How a run shuts the router down. The plan's text contains the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM.
    Term,
    /// SIGHUP twice, then SIGTERM.
    HupHupTerm,
    /// SIGTERM twice.
    TermTerm,
    /// SIGTERM, immediately followed by SIGHUP.
    HupWithTerm,
    /// A successor takes over; the old process gets SIGTERM meanwhile, and the successor later.
    TermInTakeover,
    /// A successor starts to take over and is killed; then the old process gets SIGTERM.
    SuccessorKilled,
}

const ENDINGS: [Ending; 6] = [
    Ending::Term,
    Ending::HupHupTerm,
    Ending::TermTerm,
    Ending::HupWithTerm,
    Ending::TermInTakeover,
    Ending::SuccessorKilled,
];

/// Plan of a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of cache servers.
    pub servers: usize,
    /// Whether endpoint lists are pushed; otherwise the router subscribes to them.
    pub lists_are_pushed: bool,
    /// Number of clients that send requests continuously.
    pub clients: usize,
    /// Number of additional idle clients, some of which have sent an incomplete command.
    pub idle_clients: usize,
    /// Number of clients that stop within commands or write slowly.
    pub crowd: usize,
    /// Memory limit of the router, in MiB.
    pub memory_mb: usize,
    /// Descriptor limit of the router.
    pub descriptors: usize,
    /// Longest deadlines of reads and of writes, in milliseconds.
    pub deadlines_ms: [u64; 2],
    /// Deduplication window of the servers for idempotency keys, in milliseconds.
    pub deduplication_window_ms: u64,
    /// Longest service time of a server, in milliseconds.
    pub max_service_ms: u64,
    /// Faults, in the order of their start times.
    pub faults: Vec<PlannedFault>,
    /// How the router is shut down.
    pub ending: Ending,
    /// Whether some system calls of the router fail.
    pub has_failing_calls: bool,
}

impl SoakPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> SoakPlan {
        let rng = &mut SeededRng::new(seed, 1);
        let descriptors = rng.range(120, 260) as usize;
        let connection_capacity = (descriptors - RESERVED_DESCRIPTORS) / 2;
        let has_idle_clients = rng.chance(0.3);
        // Fields are drawn in the order in which they are written here. Another order changes the
        // plans of all seeds.
        let mut plan = SoakPlan {
            seed,
            servers: rng.range(3, 6) as usize,
            lists_are_pushed: rng.chance(0.5),
            clients: rng.range(6, 14) as usize,
            idle_clients: if has_idle_clients {
                connection_capacity + 10
            } else {
                0
            },
            crowd: 0,
            memory_mb: [48, 64, 96][rng.index(3)],
            descriptors,
            deadlines_ms: [rng.range(400, 1_200), rng.range(600, 2_000)],
            deduplication_window_ms: rng.range(1_000, 3_000),
            max_service_ms: rng.range(5, 60),
            faults: Vec::new(),
            ending: ENDINGS[rng.index(ENDINGS.len())],
            has_failing_calls: SeededRng::new(seed, 5).chance(0.5),
        };
        plan.draw_crowd(&mut SeededRng::new(seed, 6));
        plan.draw_faults(&mut SeededRng::new(seed, 2));
        plan.draw_additional_faults(&mut SeededRng::new(seed, 4));
        if plan.has_membership_faults() {
            plan.draw_membership_faults(&mut SeededRng::new(seed, 7));
        }
        plan.faults.sort_by_key(|fault| fault.at_ms);
        plan
    }

    /// Some runs have a crowd, with the least memory and the descriptors of the operators' pages.
    fn draw_crowd(&mut self, rng: &mut SeededRng) {
        if self.seed >= FIRST_CROWD_SEED && rng.chance(CROWD_RATIO) {
            self.crowd = rng.range(100, 330) as usize;
            self.idle_clients = 0;
            self.memory_mb = CROWD_MEMORY_MB;
            self.descriptors = CROWD_DESCRIPTORS;
        }
    }

    fn draw_faults(&mut self, rng: &mut SeededRng) {
        let count = rng.range(3, 6);
        for _ in 0..count {
            let kind = self.draw_kind(rng);
            self.faults.push(PlannedFault {
                kind,
                at_ms: rng.range(500, LOAD_MS - 1_000),
                duration_ms: rng.range(300, 3_000),
            });
        }
        if rng.chance(0.5) {
            self.draw_silence(rng);
        }
    }

    /// Draws these kinds with a generator of their own, so that the other faults of a seed stay the
    /// same.
    fn draw_additional_faults(&mut self, rng: &mut SeededRng) {
        for _ in 0..rng.range(1, 3) {
            let server = rng.index(self.servers);
            let kinds = [
                FaultKind::LongWrites,
                FaultKind::SlowReaders,
                FaultKind::Vanish(server),
                FaultKind::PausedValues,
            ];
            self.faults.push(PlannedFault {
                kind: kinds[rng.index(kinds.len())],
                at_ms: rng.range(500, LOAD_MS - 1_000),
                duration_ms: rng.range(300, 3_000),
            });
        }
    }

    /// Draws steps of the clocks and changes of the fleet and of the router's processes.
    fn draw_membership_faults(&mut self, rng: &mut SeededRng) {
        let step_ms = [1_000, 60_000, MAX_CLOCK_STEP_MS][rng.index(3)] as i64;
        let step_ms = if rng.chance(0.5) { step_ms } else { -step_ms };
        let spare = self.servers;
        let (first, second) = (
            self.draw_neighbor(rng, spare),
            self.draw_neighbor(rng, spare + 1),
        );
        let process_fault = [FaultKind::Replace, FaultKind::Kill, FaultKind::Reload][rng.index(3)];
        // The checker can't tell the watches of two processes apart, of which one may be silent.
        let has_silence = |fault: &PlannedFault| matches!(fault.kind, FaultKind::Silence { .. });
        let process_fault = match process_fault {
            FaultKind::Replace if self.faults.iter().any(has_silence) => FaultKind::Kill,
            process_fault => process_fault,
        };
        let reuse = |server, spare, stale_ms| FaultKind::ReuseAddress {
            server,
            spare,
            stale_ms,
        };
        let kinds = [
            (FaultKind::StepClocks(step_ms), rng.range(0, 3_000)),
            (FaultKind::StepClocks(0), rng.range(3_000, 8_000)),
            (
                reuse(first, spare, rng.range(0, 2_000)),
                rng.range(500, 4_000),
            ),
            (
                FaultKind::Exclude(rng.index(self.servers)),
                rng.range(500, 6_000),
            ),
            (
                FaultKind::Remove(rng.index(self.servers)),
                rng.range(500, 6_000),
            ),
            (process_fault, rng.range(1_000, 5_000)),
        ];
        for (kind, at_ms) in kinds {
            self.faults.push(PlannedFault {
                kind,
                at_ms,
                duration_ms: rng.range(500, 3_000),
            });
        }
        if rng.chance(0.5) {
            let kind = reuse(second, spare + 1, rng.range(0, 8_000));
            self.faults.push(PlannedFault {
                kind,
                at_ms: rng.range(2_000, 6_000),
                duration_ms: rng.range(500, 2_000),
            });
        }
    }

    /// Draws a server in the zone of a spare one.
    fn draw_neighbor(&self, rng: &mut SeededRng, spare: usize) -> usize {
        let is_neighbor = |&server: &usize| zone_of(server) == zone_of(spare);
        let neighbors: Vec<usize> = (0..self.servers).filter(is_neighbor).collect();
        neighbors[rng.index(neighbors.len())]
    }

    fn draw_kind(&self, rng: &mut SeededRng) -> FaultKind {
        let server = rng.index(self.servers);
        match rng.index(10) {
            0 => FaultKind::WatchReset,
            1 => FaultKind::DiscoveryDown,
            2 => FaultKind::Drain(server),
            3 => FaultKind::Restart(server),
            4 => FaultKind::Hang(server),
            5 => FaultKind::Malformed(server),
            6 => FaultKind::Resets(server),
            7 => FaultKind::LateConnections(server),
            8 => FaultKind::LongValues,
            _ => FaultKind::ClientsLeave,
        }
    }

    /// Adds a silence and a drain during it. The silence is early enough that the checker deems the
    /// router to know of hidden changes before the run ends.
    fn draw_silence(&mut self, rng: &mut SeededRng) {
        let at_ms = rng.range(700, 2_500);
        let (hanging, failing) = (rng.index(3), rng.index(2));
        self.faults.push(PlannedFault {
            kind: FaultKind::Silence { hanging, failing },
            at_ms,
            duration_ms: 0,
        });
        self.faults.push(PlannedFault {
            kind: FaultKind::Drain(rng.index(self.servers)),
            at_ms: at_ms + rng.range(100, 2_500),
            duration_ms: 12_000,
        });
    }

    /// Whether it has steps of the clocks, and changes of the fleet and of the router's processes.
    pub fn has_membership_faults(&self) -> bool {
        self.seed >= FIRST_MEMBERSHIP_SEED
    }

    /// Number of cache servers, with those that come up at the addresses of others.
    pub fn all_servers(&self) -> usize {
        self.servers + SPARE_SERVERS
    }

    /// Longest deadline of any class, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u64 {
        self.deadlines_ms.into_iter().max().unwrap_or_default()
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let discovery = if self.lists_are_pushed {
            "pushed"
        } else {
            "by subscription"
        };
        write!(
            f,
            "seed {}: {} servers, endpoint lists {discovery}, {} clients, {} idle clients and a crowd of {}, {} MiB, {} descriptors, deadlines {:?} ms, \
             deduplication window {} ms, service time {} ms, {:?}, system calls {}",
            self.seed,
            self.servers,
            self.clients,
            self.idle_clients,
            self.crowd,
            self.memory_mb,
            self.descriptors,
            self.deadlines_ms,
            self.deduplication_window_ms,
            self.max_service_ms,
            self.ending,
            if self.has_failing_calls {
                "fail at times"
            } else {
                "do not fail"
            }
        )?;
        for fault in &self.faults {
            let PlannedFault {
                kind,
                at_ms,
                duration_ms,
            } = fault;
            write!(f, "; {kind:?} at {at_ms} for {duration_ms} ms")?;
        }
        Ok(())
    }
}
