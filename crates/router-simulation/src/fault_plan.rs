//! A day drawn from its seed: the fleet, the settings, what clients ask and which faults overlap. A plan is plain
//! data, so that a failing day can be shrunk.

use crate::executor::Time;
use crate::net::{DatagramWeather, Weather};
use crate::rng::Dice;
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
pub enum Kind {
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

impl Kind {
    /// Those that are drawn apart from the pairs.
    pub const RARE: [Kind; 2] = [Kind::LateDials, Kind::SilentWatches];
    /// All others.
    pub const ALL: [Kind; 21] = [
        Kind::FastErrors,
        Kind::RouterCrash,
        Kind::RouterRoll,
        Kind::OriginSlow,
        Kind::ServerCrash,
        Kind::ServerDrain,
        Kind::ServerVanish,
        Kind::IdleReset,
        Kind::Spoils,
        Kind::Hangs,
        Kind::ServerSlow,
        Kind::Full,
        Kind::DiscoveryLate,
        Kind::DiscoveryDown,
        Kind::DiscoveryFlaps,
        Kind::ZoneCut,
        Kind::Deaf,
        Kind::ClockSteps,
        Kind::ClientsLeave,
        Kind::ClientsPipeline,
        Kind::ClientsReadSlowly,
    ];

    /// Its name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Kind::FastErrors => "fast-errors",
            Kind::RouterCrash => "router-crash",
            Kind::RouterRoll => "router-roll",
            Kind::OriginSlow => "origin-slow",
            Kind::ServerCrash => "server-crash",
            Kind::ServerDrain => "server-drain",
            Kind::ServerVanish => "server-vanish",
            Kind::IdleReset => "idle-reset",
            Kind::Spoils => "spoils",
            Kind::Hangs => "hangs",
            Kind::ServerSlow => "server-slow",
            Kind::Full => "full",
            Kind::DiscoveryLate => "discovery-late",
            Kind::DiscoveryDown => "discovery-down",
            Kind::DiscoveryFlaps => "discovery-flaps",
            Kind::ZoneCut => "zone-cut",
            Kind::Deaf => "deaf",
            Kind::ClockSteps => "clock-steps",
            Kind::ClientsLeave => "clients-leave",
            Kind::ClientsPipeline => "clients-pipeline",
            Kind::ClientsReadSlowly => "clients-read-slowly",
            Kind::LateDials => "late-dials",
            Kind::SilentWatches => "silent-watches",
        }
    }

    /// The fault of this name.
    pub fn named(name: &str) -> Option<Kind> {
        Kind::ALL
            .into_iter()
            .chain(Kind::RARE)
            .find(|kind| kind.name() == name)
    }
}

/// One fault of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// What.
    pub kind: Kind,
    /// When it begins.
    pub at: Time,
    /// How long it lasts.
    pub length: Time,
    /// Which routers, servers or zone.
    pub targets: Vec<usize>,
    /// How bad, from 0 to 1.
    pub size: f64,
}

/// What operators do beside the faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// They call a server out at every router, restart it, and call it back.
    ServerOut(usize),
    /// They drain a router and end that.
    RouterDrain(usize),
}

/// One of those.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Acted {
    /// What.
    pub act: Act,
    /// When.
    pub at: Time,
    /// How long until they take it back.
    pub length: Time,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, at, length) = (self.kind.name(), self.at / MILLI, self.length / MILLI);
        write!(
            f,
            "{name} at {at} ms for {length} ms, size {:.2}, targets {:?}",
            self.size, self.targets
        )
    }
}

/// Classes of requests, by their places in [`CLASSES`].
pub const CLASSES: [&str; 4] = ["ambil", "kirim", "zona", "sekali"];

/// One request of a client, its retries aside.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
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
    pub wait: Time,
    /// What it costs a core of speed 1, in microseconds.
    pub work: f64,
    /// The value's size.
    pub size: usize,
    /// Its place in a drawn order, by which faults of clients pick theirs.
    pub lot: f64,
}

/// A crowd that asks one router for one key.
#[derive(Clone, Debug, PartialEq)]
pub struct Burst {
    /// Its reads, all for one key.
    pub asks: Vec<Ask>,
    /// Writes on that key meanwhile.
    pub writes: Vec<Ask>,
}

/// Reads of a crowd, and the connections that they come on, as many on each.
pub const CROWD: usize = 500;
/// See there.
pub const CROWD_CONNECTIONS: usize = 50;

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

/// A day.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// The zone of each router.
    pub routers: Vec<usize>,
    /// The cache servers.
    pub servers: Vec<ServerPlan>,
    /// The network's weather.
    pub weather: Weather,
    /// The mean work of a read.
    pub mean_work: f64,
    /// An answer to a read is wanted within this time; its deadline is 2.5 times that.
    pub latency_objective: Time,
    /// How long servers remember a keyed request.
    pub memory: Time,
    /// The share of its capacity that a server starts with at least, as the settings have it.
    pub initial_capacity_ratio: f64,
    /// The share that servers do start with.
    pub cold_from: f64,
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
    pub conn_idle: Time,
    /// Descriptors of a router.
    pub sockets: usize,
    /// How late discovery's news is.
    pub notice: Time,
    /// What a first request on a connection waits for.
    pub handshake: Time,
    /// The origin's time for a fetch.
    pub origin_time: Time,
    /// Fetches that the origin works on at a time.
    pub origin_slots: usize,
    /// What clients ask, in the order of its time.
    pub asks: Vec<Ask>,
    /// Routers join identical reads.
    pub joining: bool,
    /// Where they do: crowds that ask for one key.
    pub bursts: Vec<Burst>,
    /// What operators do.
    pub acts: Vec<Acted>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// From here on everything must be well.
    pub calm_from: Time,
}

/// How many unordered pairs of faults there are.
pub const PAIRS: u64 = (Kind::ALL.len() * (Kind::ALL.len() - 1) / 2) as u64;

/// The pair of this number.
fn pair(number: u64) -> (Kind, Kind) {
    let mut left = number % PAIRS;
    for (place, &first) in Kind::ALL.iter().enumerate() {
        let rest = (Kind::ALL.len() - 1 - place) as u64;
        if left < rest {
            return (first, Kind::ALL[place + 1 + left as usize]);
        }
        left -= rest;
    }
    (Kind::ALL[0], Kind::ALL[1])
}

impl Plan {
    /// The day of this seed. Each pair of faults comes once in so many seeds as there are pairs; a third fault, and at
    /// times a fourth, is drawn. Where `only` names faults, all are drawn from those.
    pub fn draw(seed: u64, only: &[Kind]) -> Plan {
        let mut dice = Dice::new(seed, 1);
        let zones = 3;
        let routers: Vec<usize> = (0..dice.range(3, 5)).map(|i| i as usize % zones).collect();
        let servers: Vec<ServerPlan> = (0..dice.range(8, 12) as usize)
            .map(|i| ServerPlan {
                zone: i % zones,
                speed: dice.between(0.8, 1.6),
                slots: dice.range(2, 5) as usize,
                queue: dice.range(3, 8) as usize,
            })
            .collect();
        let capacity: f64 = servers.iter().map(|server| server.speed).sum();
        let rate = dice.between(44.0, 64.0);
        let mean_work = dice.between(0.25, 0.55) * capacity / rate * SECOND as f64;
        let latency_objective = (mean_work * dice.between(6.0, 9.0)) as Time;
        let initial_capacity_ratio = dice.between(0.12, 0.4);
        let mut plan = Plan {
            seed,
            weather: Weather {
                near: dice.range(80, 340),
                far: dice.range(2 * MILLI, 12 * MILLI),
                jitter: dice.between(0.1, 0.4),
                loss: if dice.chance(0.3) {
                    dice.between(0.0, 0.004)
                } else {
                    0.0
                },
                split: dice.between(0.0, 0.3),
                datagrams: DatagramWeather::default(),
                window: if dice.chance(0.2) {
                    dice.range(200, 8_000) as usize
                } else {
                    256 * 1024
                },
            },
            mean_work,
            latency_objective,
            memory: dice.range(latency_objective / 2, 3 * latency_objective),
            initial_capacity_ratio,
            cold_from: initial_capacity_ratio + dice.between(0.0, 0.1),
            slow_start_duration: dice.range(2 * SECOND, 5 * SECOND),
            overload_multiple: dice.between(2.0, 3.0),
            overload_duration: dice.range(SECOND, 2 * SECOND),
            hedging: dice.chance(0.7),
            dial_timeout: dice.range(80 * MILLI, 400 * MILLI),
            conn_idle: dice.range(3 * SECOND, 15 * SECOND),
            sockets: 48 + 2 * dice.range(80, 160) as usize,
            notice: dice.range(100 * MILLI, 900 * MILLI),
            handshake: dice.range(500, 6 * MILLI),
            origin_time: dice.range(20 * MILLI, 120 * MILLI),
            origin_slots: dice.range(6, 20) as usize,
            asks: Vec::new(),
            joining: false,
            bursts: Vec::new(),
            acts: Vec::new(),
            faults: Vec::new(),
            calm_from: 0,
            routers,
            servers,
        };
        plan.draw_asks(&mut Dice::new(seed, 2), rate);
        plan.draw_faults(&mut Dice::new(seed, 3), only);
        plan.draw_acts(&mut Dice::new(seed, 9));
        if only.is_empty() {
            plan.draw_rare(&mut Dice::new(seed, 11));
        }
        plan
    }

    /// The same day with joining on and crowds: one while all is well, one while the faults hold, with writes on its key
    /// in its midst, and one in the calm.
    pub fn draw_joining(seed: u64, only: &[Kind]) -> Plan {
        let mut plan = Plan::draw(seed, only);
        let mut dice = Dice::new(seed, 7);
        plan.joining = true;
        let meet = plan
            .faults
            .iter()
            .map(|fault| fault.at)
            .max()
            .unwrap_or(2 * SECOND);
        let moments = [
            OPENS + 200 * MILLI,
            meet + dice.range(0, 300 * MILLI),
            plan.calm_from + 100 * MILLI,
        ];
        let mut number = plan.asks.len() as u32;
        for (place, at) in moments.into_iter().enumerate() {
            let (router, key) = (dice.place(plan.routers.len()), dice.number());
            let spread = if place == 1 {
                plan.latency_objective
            } else {
                0
            };
            let size = if dice.chance(0.1) {
                60_000
            } else {
                dice.range(40, 900) as usize
            };
            let mut ask = |plan: &Plan, dice: &mut Dice, class: usize, at: Time| {
                number += 1;
                let deadline = plan.deadline(class) as f64;
                let wait = (deadline * dice.between(0.2, 0.95)) as Time;
                Ask {
                    number,
                    at,
                    router,
                    class,
                    key,
                    wait,
                    work: plan.mean_work,
                    size,
                    lot: dice.unit(),
                }
            };
            let chunk = CROWD / CROWD_CONNECTIONS;
            let mut asks: Vec<Ask> = Vec::new();
            for _ in 0..CROWD_CONNECTIONS {
                let at = at + if spread > 0 { dice.range(0, spread) } else { 0 };
                asks.extend((0..chunk).map(|_| ask(&plan, &mut dice, 0, at)));
            }
            let count = if place == 1 { 3 } else { 0 };
            let writes = (0..count)
                .map(|_| {
                    let at = at + dice.range(0, spread.max(1));
                    ask(&plan, &mut dice, 1, at)
                })
                .collect();
            plan.bursts.push(Burst { asks, writes });
        }
        plan
    }

    fn draw_asks(&mut self, dice: &mut Dice, rate: f64) {
        let keys = dice.range(60, 300);
        let skew = dice.between(0.8, 1.2);
        let weights: Vec<f64> = (1..=keys)
            .map(|rank| 1.0 / (rank as f64 + 2.0).powf(skew))
            .collect();
        let sum: f64 = weights.iter().sum();
        let salt = dice.number();
        let mut at = OPENS as f64;
        while (at as Time) < CLOSES {
            at += dice.exponential(SECOND as f64 / rate);
            let mut left = dice.unit() * sum;
            let rank = weights.iter().position(|weight| {
                left -= weight;
                left < 0.0
            });
            let class = match dice.unit() {
                lot if lot < 0.74 => 0,
                lot if lot < 0.86 => 1,
                lot if lot < 0.92 => 2,
                _ => 3,
            };
            let deadline = self.deadline(class) as f64;
            self.asks.push(Ask {
                number: self.asks.len() as u32,
                at: at as Time,
                router: dice.place(self.routers.len()),
                class,
                key: salt
                    .wrapping_add(rank.unwrap_or(0) as u64)
                    .wrapping_mul(0x9E37_79B9_7F4A_7C15),
                wait: (deadline * dice.between(0.5, 0.95)) as Time,
                work: self.mean_work * if class == 0 { 1.0 } else { 1.6 } * dice.between(0.5, 1.5),
                size: if dice.chance(0.03) {
                    dice.range(4_096, 60_000)
                } else {
                    dice.range(40, 900)
                } as usize,
                lot: dice.unit(),
            });
        }
    }

    fn draw_faults(&mut self, dice: &mut Dice, only: &[Kind]) {
        let pool = if only.is_empty() {
            &Kind::ALL[..]
        } else {
            only
        };
        let (first, second) = pair(self.seed);
        let mut kinds = if only.is_empty() {
            vec![first, second]
        } else {
            vec![pool[dice.place(pool.len())]; 1]
        };
        while kinds.len() < 3 || (kinds.len() < 4 && dice.chance(0.25)) {
            kinds.push(pool[dice.place(pool.len())]);
        }
        // All hold at one moment.
        let meet = dice.range(1_500 * MILLI, 4 * SECOND);
        for kind in kinds {
            let before = dice.range(50 * MILLI, 900 * MILLI);
            let after = dice.range(50 * MILLI, 1_500 * MILLI);
            let targets = match kind {
                Kind::RouterCrash | Kind::ClockSteps => some(dice, self.routers.len(), 0.5),
                Kind::RouterRoll => (0..self.routers.len()).collect(),
                Kind::ZoneCut => vec![dice.place(3)],
                _ => some(dice, self.servers.len(), 0.3),
            };
            let (at, length) = (meet - before, before + after);
            self.faults.push(Fault {
                kind,
                at,
                length,
                targets,
                size: dice.unit(),
            });
        }
        self.faults.sort_by_key(|fault| fault.at);
        self.calm_from = FAULTS_END + SETTLES;
    }

    /// On two days of five connections come up late, on one of five watches fall silent, beside the faults and at their
    /// height. Drawn apart, so that the faults of a seed stay what they are.
    fn draw_rare(&mut self, dice: &mut Dice) {
        let begun = self
            .faults
            .iter()
            .map(|fault| fault.at)
            .max()
            .unwrap_or(2 * SECOND);
        for (chance, kind) in [(0.4, Kind::LateDials), (0.2, Kind::SilentWatches)] {
            let targets = some(dice, self.servers.len(), 0.6);
            let (before, after) = (
                dice.range(50 * MILLI, 900 * MILLI),
                dice.range(100 * MILLI, 1_500 * MILLI),
            );
            let (at, length, size) = (begun - before, before + after, dice.unit());
            if dice.chance(chance) {
                self.faults.push(Fault {
                    kind,
                    at,
                    length,
                    targets,
                    size,
                });
            }
        }
        self.faults.sort_by_key(|fault| fault.at);
    }

    /// On half of the days operators call a server out and back, on a third of all they drain a router. Drawn apart, so
    /// that the faults of a seed stay what they are.
    fn draw_acts(&mut self, dice: &mut Dice) {
        let (servers, routers) = (self.servers.len(), self.routers.len());
        for (chance, act) in [
            (0.5, Act::ServerOut(dice.place(servers))),
            (0.33, Act::RouterDrain(dice.place(routers))),
        ] {
            // A drain is over before clients that are never at rest are stopped: they would send anew what was not read.
            let (at, length) = (
                dice.range(SECOND, 4 * SECOND),
                dice.range(600 * MILLI, 2_000 * MILLI),
            );
            if dice.chance(chance) {
                self.acts.push(Acted { act, at, length });
            }
        }
    }

    /// When the day ends: long enough after the last ask for every deadline to pass.
    pub fn ends(&self) -> Time {
        let last = self.asks.last().map_or(0, |ask| ask.at);
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
fn some(dice: &mut Dice, count: usize, share: f64) -> Vec<usize> {
    let most = ((count as f64 * share) as u64).max(1);
    let wanted = dice.range(1, most) as usize;
    let mut all: Vec<usize> = (0..count).collect();
    while all.len() > wanted {
        all.remove(dice.place(all.len()));
    }
    all
}
