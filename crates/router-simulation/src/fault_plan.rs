//! A run drawn from its seed: the fleet, the settings, what clients ask and which faults overlap. A plan is plain
//! data, so that a failing run can be shrunk.

use crate::executor::Time;
use crate::network::{DatagramConditions, NetworkConditions};
use crate::rng::SeededRng;
use std::fmt;

/// One second.
pub const SECOND: Time = 1_000_000;
/// One millisecond.
pub const MILLI: Time = 1_000;
/// Asks come from here on; before, the routers start and watch.
const OPENS: Time = SECOND / 4;
/// Asks end here.
const CLOSES: Time = 10 * SECOND;
/// By then every fault has ended, restarts that come of it included.
const FAULTS_END: Time = 6_500 * MILLI;
/// All is calm so long after the last fault: watches are back and cold servers have had their start.
const SETTLES: Time = 2_500 * MILLI;

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FaultKind {
    /// Some servers fail part of their requests at once.
    FastErrors,
    /// Some routers die and come back with the last list that they had.
    RouterCrash,
    /// Every router is restarted in turn, by SIGTERM.
    RouterRoll,
    /// The origin is several times slower.
    OriginSlow,
    /// Some servers die and start again cold.
    ServerCrash,
    /// Some servers drain, go, and come back cold.
    ServerDrain,
    /// Some servers vanish without a word and come back cold.
    ServerVanish,
    /// Some servers reset the connections that are idle.
    IdleReset,
    /// Some servers spoil part of their answers.
    Spoils,
    /// Some servers take commands and say nothing.
    Hangs,
    /// Some servers are several times slower.
    ServerSlow,
    /// Some servers turn part of their requests away.
    Full,
    /// Discovery's news is late.
    DiscoveryLate,
    /// Discovery is down.
    DiscoveryDown,
    /// Watches end again and again.
    DiscoveryFlaps,
    /// A zone is cut off from the others.
    ZoneCut,
    /// New connections to some servers do not come up.
    Deaf,
    /// The wall clocks of some routers step.
    ClockSteps,
    /// Clients leave before their answer.
    ClientsLeave,
    /// Clients write several commands at once.
    ClientsPipeline,
    /// Clients read their answers late.
    ClientsReadSlowly,
    /// Connections to some servers come up late. Drawn apart, as is the next.
    LateDials,
    /// Watches that are open say nothing any more.
    SilentWatches,
}

impl FaultKind {
    /// Those that are drawn apart from the pairs.
    pub const RARE: [FaultKind; 2] = [FaultKind::LateDials, FaultKind::SilentWatches];
    /// All others.
    pub const ALL: [FaultKind; 21] = [
        FaultKind::FastErrors,
        FaultKind::RouterCrash,
        FaultKind::RouterRoll,
        FaultKind::OriginSlow,
        FaultKind::ServerCrash,
        FaultKind::ServerDrain,
        FaultKind::ServerVanish,
        FaultKind::IdleReset,
        FaultKind::Spoils,
        FaultKind::Hangs,
        FaultKind::ServerSlow,
        FaultKind::Full,
        FaultKind::DiscoveryLate,
        FaultKind::DiscoveryDown,
        FaultKind::DiscoveryFlaps,
        FaultKind::ZoneCut,
        FaultKind::Deaf,
        FaultKind::ClockSteps,
        FaultKind::ClientsLeave,
        FaultKind::ClientsPipeline,
        FaultKind::ClientsReadSlowly,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::FastErrors => "fast-errors",
            FaultKind::RouterCrash => "router-crash",
            FaultKind::RouterRoll => "router-roll",
            FaultKind::OriginSlow => "origin-slow",
            FaultKind::ServerCrash => "server-crash",
            FaultKind::ServerDrain => "server-drain",
            FaultKind::ServerVanish => "server-vanish",
            FaultKind::IdleReset => "idle-reset",
            FaultKind::Spoils => "spoils",
            FaultKind::Hangs => "hangs",
            FaultKind::ServerSlow => "server-slow",
            FaultKind::Full => "full",
            FaultKind::DiscoveryLate => "discovery-late",
            FaultKind::DiscoveryDown => "discovery-down",
            FaultKind::DiscoveryFlaps => "discovery-flaps",
            FaultKind::ZoneCut => "zone-cut",
            FaultKind::Deaf => "deaf",
            FaultKind::ClockSteps => "clock-steps",
            FaultKind::ClientsLeave => "clients-leave",
            FaultKind::ClientsPipeline => "clients-pipeline",
            FaultKind::ClientsReadSlowly => "clients-read-slowly",
            FaultKind::LateDials => "late-dials",
            FaultKind::SilentWatches => "silent-watches",
        }
    }

    /// The fault of this name.
    pub fn named(name: &str) -> Option<FaultKind> {
        FaultKind::ALL
            .into_iter()
            .chain(FaultKind::RARE)
            .find(|kind| kind.name() == name)
    }
}

/// One fault of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: FaultKind,
    /// When it begins.
    pub at: Time,
    /// How long it lasts.
    pub duration: Time,
    /// Which routers, servers or zone.
    pub targets: Vec<usize>,
    /// How bad, from 0 to 1.
    pub size: f64,
}

/// What operators do beside the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorAction {
    /// They call a server out at every router, restart it, and call it back.
    ServerOut(usize),
    /// They drain a router and end that.
    RouterDrain(usize),
}

/// One of those.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedAction {
    /// What.
    pub action: OperatorAction,
    /// When.
    pub at: Time,
    /// How long until they take it back.
    pub duration: Time,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, at, duration) = (self.kind.name(), self.at / MILLI, self.duration / MILLI);
        write!(
            f,
            "{name} at {at} ms for {duration} ms, size {:.2}, targets {:?}",
            self.size, self.targets
        )
    }
}

/// Classes of requests, by their places in [`CLASSES`].
pub const CLASSES: [&str; 4] = ["ambil", "kirim", "zona", "sekali"];

/// One request of a client, its retries aside.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedRequest {
    /// Its number in the plan, which its id holds.
    pub number: u32,
    /// When.
    pub at: Time,
    /// At which router.
    pub router: usize,
    /// Its class, a place in [`CLASSES`].
    pub class: usize,
    /// The key.
    pub key: u64,
    /// How long its client waits for this try.
    pub timeout: Time,
    /// What it costs a core of speed 1, in microseconds.
    pub work: f64,
    /// The value's size.
    pub size: usize,
    /// Its place in a drawn order, by which faults of clients pick theirs.
    pub fault_selector: f64,
}

/// A crowd that asks one router for one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Crowd {
    /// Its reads, all for one key.
    pub requests: Vec<PlannedRequest>,
    /// Writes on that key meanwhile.
    pub writes: Vec<PlannedRequest>,
}

/// Reads of a crowd, and the connections that they come on, as many on each.
pub const CROWD_READ_COUNT: usize = 500;
/// See there.
pub const CROWD_CONNECTION_COUNT: usize = 50;

/// A cache server of the plan.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerPlan {
    /// Its zone.
    pub zone: usize,
    /// Work that it does in a microsecond when warm.
    pub speed: f64,
    /// Requests that it works on at a time, each at the same share of its speed.
    pub slots: usize,
    /// Requests that may wait beyond those.
    pub queue: usize,
}

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunPlan {
    /// Its seed.
    pub seed: u64,
    /// The zone of each router.
    pub routers: Vec<usize>,
    /// The cache servers.
    pub servers: Vec<ServerPlan>,
    /// The conditions of the network.
    pub conditions: NetworkConditions,
    /// The mean work of a read.
    pub mean_work: f64,
    /// An answer to a read is wanted within this time; its deadline is 2.5 times that.
    pub latency_objective: Time,
    /// How long servers remember a keyed request.
    pub deduplication_window: Time,
    /// The share of its capacity that a server starts with at least, as the settings have it.
    pub initial_capacity_ratio: f64,
    /// The share that servers do start with.
    pub starting_capacity_ratio: f64,
    /// When they are warm at the latest, and are.
    pub slow_start_duration: Time,
    /// See the rules.
    pub overload_multiple: f64,
    /// See the rules.
    pub overload_duration: Time,
    /// Two attempts of one request may be out together.
    pub hedging: bool,
    /// A connection that is not up after this long never will be.
    pub dial_timeout: Time,
    /// Servers close connections that have been idle for so long.
    pub idle_timeout: Time,
    /// Descriptors of a router.
    pub descriptor_limit: usize,
    /// How late discovery's news is.
    pub notice_delay: Time,
    /// What a first request on a connection waits for.
    pub handshake_time: Time,
    /// The origin's time for a fetch.
    pub origin_time: Time,
    /// Fetches that the origin works on at a time.
    pub origin_slots: usize,
    /// What clients ask, in the order of its time.
    pub requests: Vec<PlannedRequest>,
    /// Routers join identical reads.
    pub coalescing: bool,
    /// Where they do: crowds that ask for one key.
    pub crowds: Vec<Crowd>,
    /// What operators do.
    pub operator_actions: Vec<PlannedAction>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// From here on everything must be well.
    pub calm_from: Time,
}

/// How many unordered pairs of faults there are.
pub const PAIRS: u64 = (FaultKind::ALL.len() * (FaultKind::ALL.len() - 1) / 2) as u64;

/// The pair of this number.
fn pair(number: u64) -> (FaultKind, FaultKind) {
    let mut left = number % PAIRS;
    for (index, &first) in FaultKind::ALL.iter().enumerate() {
        let buffered_bytes = (FaultKind::ALL.len() - 1 - index) as u64;
        if left < buffered_bytes {
            return (first, FaultKind::ALL[index + 1 + left as usize]);
        }
        left -= buffered_bytes;
    }
    (FaultKind::ALL[0], FaultKind::ALL[1])
}

impl RunPlan {
    /// The run of this seed. Each pair of faults comes once in so many seeds as there are pairs; a third fault, and at
    /// times a fourth, is drawn. Where `allowed_faults` names faults, all are drawn from those.
    pub fn draw(seed: u64, allowed_faults: &[FaultKind]) -> RunPlan {
        let mut rng = SeededRng::new(seed, 1);
        let zones = 3;
        let routers: Vec<usize> = (0..rng.range(3, 5)).map(|i| i as usize % zones).collect();
        let servers: Vec<ServerPlan> = (0..rng.range(8, 12) as usize)
            .map(|i| ServerPlan {
                zone: i % zones,
                speed: rng.between(0.8, 1.6),
                slots: rng.range(2, 5) as usize,
                queue: rng.range(3, 8) as usize,
            })
            .collect();
        let capacity: f64 = servers.iter().map(|server| server.speed).sum();
        let rate = rng.between(44.0, 64.0);
        let mean_work = rng.between(0.25, 0.55) * capacity / rate * SECOND as f64;
        let latency_objective = (mean_work * rng.between(6.0, 9.0)) as Time;
        let initial_capacity_ratio = rng.between(0.12, 0.4);
        let mut plan = RunPlan {
            seed,
            conditions: NetworkConditions {
                latency_within_zone: rng.range(80, 340),
                latency_between_zones: rng.range(2 * MILLI, 12 * MILLI),
                jitter_ratio: rng.between(0.1, 0.4),
                loss_ratio: if rng.chance(0.3) {
                    rng.between(0.0, 0.004)
                } else {
                    0.0
                },
                split_ratio: rng.between(0.0, 0.3),
                datagrams: DatagramConditions::default(),
                receive_window: if rng.chance(0.2) {
                    rng.range(200, 8_000) as usize
                } else {
                    256 * 1024
                },
            },
            mean_work,
            latency_objective,
            deduplication_window: rng.range(latency_objective / 2, 3 * latency_objective),
            initial_capacity_ratio,
            starting_capacity_ratio: initial_capacity_ratio + rng.between(0.0, 0.1),
            slow_start_duration: rng.range(2 * SECOND, 5 * SECOND),
            overload_multiple: rng.between(2.0, 3.0),
            overload_duration: rng.range(SECOND, 2 * SECOND),
            hedging: rng.chance(0.7),
            dial_timeout: rng.range(80 * MILLI, 400 * MILLI),
            idle_timeout: rng.range(3 * SECOND, 15 * SECOND),
            descriptor_limit: 48 + 2 * rng.range(80, 160) as usize,
            notice_delay: rng.range(100 * MILLI, 900 * MILLI),
            handshake_time: rng.range(500, 6 * MILLI),
            origin_time: rng.range(20 * MILLI, 120 * MILLI),
            origin_slots: rng.range(6, 20) as usize,
            requests: Vec::new(),
            coalescing: false,
            crowds: Vec::new(),
            operator_actions: Vec::new(),
            faults: Vec::new(),
            calm_from: 0,
            routers,
            servers,
        };
        plan.draw_requests(&mut SeededRng::new(seed, 2), rate);
        plan.draw_faults(&mut SeededRng::new(seed, 3), allowed_faults);
        plan.draw_operator_actions(&mut SeededRng::new(seed, 9));
        if allowed_faults.is_empty() {
            plan.draw_rare(&mut SeededRng::new(seed, 11));
        }
        plan
    }

    /// The same run with joining on and crowds: one while all is well, one while the faults hold, with writes on its key
    /// in its midst, and one in the calm.
    pub fn draw_coalescing(seed: u64, allowed_faults: &[FaultKind]) -> RunPlan {
        let mut plan = RunPlan::draw(seed, allowed_faults);
        let mut rng = SeededRng::new(seed, 7);
        plan.coalescing = true;
        let meet = plan
            .faults
            .iter()
            .map(|fault| fault.at)
            .max()
            .unwrap_or(2 * SECOND);
        let moments = [
            OPENS + 200 * MILLI,
            meet + rng.range(0, 300 * MILLI),
            plan.calm_from + 100 * MILLI,
        ];
        let mut number = plan.requests.len() as u32;
        for (index, at) in moments.into_iter().enumerate() {
            let (router, key) = (rng.index(plan.routers.len()), rng.number());
            let spread = if index == 1 {
                plan.latency_objective
            } else {
                0
            };
            let size = if rng.chance(0.1) {
                60_000
            } else {
                rng.range(40, 900) as usize
            };
            let mut request = |plan: &RunPlan, rng: &mut SeededRng, class: usize, at: Time| {
                number += 1;
                let deadline = plan.deadline(class) as f64;
                let timeout = (deadline * rng.between(0.2, 0.95)) as Time;
                PlannedRequest {
                    number,
                    at,
                    router,
                    class,
                    key,
                    timeout,
                    work: plan.mean_work,
                    size,
                    fault_selector: rng.unit(),
                }
            };
            let chunk = CROWD_READ_COUNT / CROWD_CONNECTION_COUNT;
            let mut requests: Vec<PlannedRequest> = Vec::new();
            for _ in 0..CROWD_CONNECTION_COUNT {
                let at = at + if spread > 0 { rng.range(0, spread) } else { 0 };
                requests.extend((0..chunk).map(|_| request(&plan, &mut rng, 0, at)));
            }
            let count = if index == 1 { 3 } else { 0 };
            let writes = (0..count)
                .map(|_| {
                    let at = at + rng.range(0, spread.max(1));
                    request(&plan, &mut rng, 1, at)
                })
                .collect();
            plan.crowds.push(Crowd { requests, writes });
        }
        plan
    }

    fn draw_requests(&mut self, rng: &mut SeededRng, rate: f64) {
        let keys = rng.range(60, 300);
        let skew = rng.between(0.8, 1.2);
        let weights: Vec<f64> = (1..=keys)
            .map(|rank| 1.0 / (rank as f64 + 2.0).powf(skew))
            .collect();
        let sum: f64 = weights.iter().sum();
        let salt = rng.number();
        let mut at = OPENS as f64;
        while (at as Time) < CLOSES {
            at += rng.exponential(SECOND as f64 / rate);
            let mut left = rng.unit() * sum;
            let rank = weights.iter().position(|weight| {
                left -= weight;
                left < 0.0
            });
            let class = match rng.unit() {
                sample if sample < 0.74 => 0,
                sample if sample < 0.86 => 1,
                sample if sample < 0.92 => 2,
                _ => 3,
            };
            let deadline = self.deadline(class) as f64;
            self.requests.push(PlannedRequest {
                number: self.requests.len() as u32,
                at: at as Time,
                router: rng.index(self.routers.len()),
                class,
                key: salt
                    .wrapping_add(rank.unwrap_or(0) as u64)
                    .wrapping_mul(0x9E37_79B9_7F4A_7C15),
                timeout: (deadline * rng.between(0.5, 0.95)) as Time,
                work: self.mean_work * if class == 0 { 1.0 } else { 1.6 } * rng.between(0.5, 1.5),
                size: if rng.chance(0.03) {
                    rng.range(4_096, 60_000)
                } else {
                    rng.range(40, 900)
                } as usize,
                fault_selector: rng.unit(),
            });
        }
    }

    fn draw_faults(&mut self, rng: &mut SeededRng, allowed_faults: &[FaultKind]) {
        let pool = if allowed_faults.is_empty() {
            &FaultKind::ALL[..]
        } else {
            allowed_faults
        };
        let (first, second) = pair(self.seed);
        let mut kinds = if allowed_faults.is_empty() {
            vec![first, second]
        } else {
            vec![pool[rng.index(pool.len())]; 1]
        };
        while kinds.len() < 3 || (kinds.len() < 4 && rng.chance(0.25)) {
            kinds.push(pool[rng.index(pool.len())]);
        }
        // All hold at one moment.
        let meet = rng.range(1_500 * MILLI, 4 * SECOND);
        for kind in kinds {
            let before = rng.range(50 * MILLI, 900 * MILLI);
            let after = rng.range(50 * MILLI, 1_500 * MILLI);
            let targets = match kind {
                FaultKind::RouterCrash | FaultKind::ClockSteps => {
                    some(rng, self.routers.len(), 0.5)
                }
                FaultKind::RouterRoll => (0..self.routers.len()).collect(),
                FaultKind::ZoneCut => vec![rng.index(3)],
                _ => some(rng, self.servers.len(), 0.3),
            };
            let (at, duration) = (meet - before, before + after);
            self.faults.push(Fault {
                kind,
                at,
                duration,
                targets,
                size: rng.unit(),
            });
        }
        self.faults.sort_by_key(|fault| fault.at);
        self.calm_from = FAULTS_END + SETTLES;
    }

    /// On two runs of five connections come up late, on one of five watches fall silent, beside the faults and at their
    /// height. Drawn apart, so that the faults of a seed stay what they are.
    fn draw_rare(&mut self, rng: &mut SeededRng) {
        let begun = self
            .faults
            .iter()
            .map(|fault| fault.at)
            .max()
            .unwrap_or(2 * SECOND);
        for (chance, kind) in [(0.4, FaultKind::LateDials), (0.2, FaultKind::SilentWatches)] {
            let targets = some(rng, self.servers.len(), 0.6);
            let (before, after) = (
                rng.range(50 * MILLI, 900 * MILLI),
                rng.range(100 * MILLI, 1_500 * MILLI),
            );
            let (at, duration, size) = (begun - before, before + after, rng.unit());
            if rng.chance(chance) {
                self.faults.push(Fault {
                    kind,
                    at,
                    duration,
                    targets,
                    size,
                });
            }
        }
        self.faults.sort_by_key(|fault| fault.at);
    }

    /// On half of the runs operators call a server out and back, on a third of all they drain a router. Drawn apart, so
    /// that the faults of a seed stay what they are.
    fn draw_operator_actions(&mut self, rng: &mut SeededRng) {
        let (servers, routers) = (self.servers.len(), self.routers.len());
        for (chance, action) in [
            (0.5, OperatorAction::ServerOut(rng.index(servers))),
            (0.33, OperatorAction::RouterDrain(rng.index(routers))),
        ] {
            // A drain is over before clients that are never at rest are stopped: they would send anew what was not read.
            let (at, duration) = (
                rng.range(SECOND, 4 * SECOND),
                rng.range(600 * MILLI, 2_000 * MILLI),
            );
            if rng.chance(chance) {
                self.operator_actions.push(PlannedAction {
                    action,
                    at,
                    duration,
                });
            }
        }
    }

    /// When the run ends: long enough after the last ask for every deadline to pass.
    pub fn end_time(&self) -> Time {
        let last = self.requests.last().map_or(0, |request| request.at);
        last.max(CLOSES) + self.longest_deadline() + SECOND
    }

    /// The deadline of a class: reads wait less long.
    pub fn deadline(&self, class: usize) -> Time {
        self.latency_objective * if class == 0 { 5 } else { 6 } / 2
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Time {
        self.latency_objective * 3
    }
}

/// Some of so many, at least one, up to a share.
fn some(rng: &mut SeededRng, count: usize, share: f64) -> Vec<usize> {
    let most = ((count as f64 * share) as u64).max(1);
    let wanted = rng.range(1, most) as usize;
    let mut all: Vec<usize> = (0..count).collect();
    while all.len() > wanted {
        all.remove(rng.index(all.len()));
    }
    all
}
