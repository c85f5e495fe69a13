//! What a seed draws: the fleet, its settings, the faults and how the router is ended.

use router_simulation::rng::SeededRng;
use std::fmt;

/// How long clients send before the router is told to stop, in milliseconds.
pub(crate) const LOAD_MS: u64 = 11_000;
/// Descriptors that the router keeps for other uses than connections.
const RESERVED_DESCRIPTORS: usize = 48;

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Open watches send nothing more; the next calls hang, then fail. Servers begin to drain meanwhile.
    Silence {
        /// Calls that are not answered.
        hanging: usize,
        /// Calls that are answered 503.
        failing: usize,
    },
    /// Open watches end.
    WatchReset,
    /// Watches end, and calls fail.
    DiscoveryDown,
    /// A server drains, and starts again under its name.
    Drain(usize),
    /// A server's process dies, and starts again under its name.
    Restart(usize),
    /// A server reads commands and never replies.
    Hang(usize),
    /// A server sends replies that are none.
    Malformed(usize),
    /// A server resets connections under requests.
    Resets(usize),
    /// A server answers the first command of a connection late.
    LateConnections(usize),
    /// Values are long, and some of them are broken off.
    LongValues,
    /// Clients leave before their answers.
    ClientsLeave,
    /// Clients write long values.
    LongWrites,
    /// Clients read their answers late, with small receive buffers.
    SlowReaders,
    /// A server neither reads nor answers nor closes, and comes back in another process.
    Vanish(usize),
    /// Values are long, and pause half-way.
    PausedValues,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug)]
pub struct PlannedFault {
    /// What.
    pub kind: FaultKind,
    /// When it begins, in milliseconds.
    pub at_ms: u64,
    /// How long it lasts, in milliseconds.
    pub duration_ms: u64,
}

/// The signals at the end of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// SIGTERM.
    Term,
    /// SIGHUP twice, then SIGTERM.
    HupHupTerm,
    /// SIGTERM twice.
    TermTerm,
    /// SIGHUP in the moment of SIGTERM.
    HupWithTerm,
    /// Another process takes over; SIGTERM comes meanwhile, and later to the other process.
    TermInTakeover,
    /// Another process takes over and is killed half-way; then SIGTERM.
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

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct SoakPlan {
    /// Draws it.
    pub seed: u64,
    /// Cache servers.
    pub servers: usize,
    /// Lists are pushed; else discovery is asked.
    pub lists_are_pushed: bool,
    /// Clients that send all the time.
    pub clients: usize,
    /// Idle clients beside them, some with half a command.
    pub idle_clients: usize,
    /// The router's memory limit, in MiB.
    pub memory_mb: usize,
    /// The router's limit of descriptors.
    pub descriptors: usize,
    /// The deadlines of reads and of writes, in milliseconds.
    pub deadlines_ms: [u64; 2],
    /// How long servers remember a write's idempotency key, in milliseconds.
    pub deduplication_window_ms: u64,
    /// How long a server takes at the most, in milliseconds.
    pub max_service_ms: u64,
    /// The faults, in the order of their beginnings.
    pub faults: Vec<PlannedFault>,
    /// How the router is ended.
    pub ending: Ending,
    /// The router's system calls fail now and then.
    pub has_failing_calls: bool,
}

impl SoakPlan {
    /// The plan of a seed.
    pub fn draw(seed: u64) -> SoakPlan {
        let rng = &mut SeededRng::new(seed, 1);
        let descriptors = rng.range(120, 260) as usize;
        let connection_capacity = (descriptors - RESERVED_DESCRIPTORS) / 2;
        let has_idle_clients = rng.chance(0.3);
        // The fields are drawn in the order in which they stand.
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
            memory_mb: [48, 64, 96][rng.index(3)],
            descriptors,
            deadlines_ms: [rng.range(400, 1_200), rng.range(600, 2_000)],
            deduplication_window_ms: rng.range(1_000, 3_000),
            max_service_ms: rng.range(5, 60),
            faults: Vec::new(),
            ending: ENDINGS[rng.index(ENDINGS.len())],
            has_failing_calls: SeededRng::new(seed, 5).chance(0.5),
        };
        plan.draw_faults(&mut SeededRng::new(seed, 2));
        plan.draw_additional_faults(&mut SeededRng::new(seed, 4));
        plan.faults.sort_by_key(|fault| fault.at_ms);
        plan
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

    /// Kinds that are drawn apart, so that the plans of seeds keep the others.
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

    /// A silence early enough that what it hides counts as told before the end, and a drain inside it.
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

    /// The longest deadline of a class, in milliseconds.
    pub fn longest_deadline_ms(&self) -> u64 {
        self.deadlines_ms.into_iter().max().unwrap_or_default()
    }
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let discovery = if self.lists_are_pushed {
            "pushed"
        } else {
            "asked"
        };
        write!(
            f,
            "seed {}: {} servers, lists {discovery}, {} clients and {} idle, {} MiB, {} descriptors, deadlines {:?} ms, \
             idempotency keys for {} ms, service {} ms, {:?}, system calls {}",
            self.seed,
            self.servers,
            self.clients,
            self.idle_clients,
            self.memory_mb,
            self.descriptors,
            self.deadlines_ms,
            self.deduplication_window_ms,
            self.max_service_ms,
            self.ending,
            if self.has_failing_calls {
                "fail"
            } else {
                "succeed"
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
