//! Draws a plan from a seed. Each part of the plan has its own stream of random numbers, so that a
//! change of one part does not change the others.

use super::fault::{Fault, FaultKind, OperatorAction, PlannedAction};
use super::{
    FAULT_PAIR_COUNT, MILLI, PlannedRequest, REQUESTS_BEGIN, REQUESTS_END, RunPlan, SECOND,
    ServerPlan,
};
use crate::executor::Time;
use crate::network::{DatagramConditions, NetworkConditions};
use crate::rng::SeededRng;
use std::ops::Range;

/// The number of zones of a run.
pub(super) const ZONE_COUNT: usize = 3;
/// The time by which every fault and every restart that follows from one has ended.
const FAULTS_END: Time = 6_500 * MILLI;
/// How long after the last fault watches are open again and servers have left slow start.
const SETTLING_TIME: Time = 2_500 * MILLI;
/// The receive window of a connection that is never full.
const LARGE_WINDOW: usize = 256 * 1024;
/// Values of pipelined requests are long where the selector of the request is above this.
const LONG_VALUE_SELECTOR: f64 = 0.85;
/// The size of a long value, in bytes.
const LONG_VALUE_SIZE: usize = 100_000;
/// The rare faults, with the ratio of the runs in which each is drawn.
const RARE_FAULT_RATIOS: [(f64, FaultKind); 2] = [
    (0.4, FaultKind::ConnectsDelayed),
    (0.2, FaultKind::SilentWatches),
];

/// The ratio of the runs with silent watches in which the calls that follow hang.
const HANGING_CALLS_RATIO: f64 = 0.3;

impl RunPlan {
    /// Draws the plan of a seed. Each pair of faults occurs once in [`FAULT_PAIR_COUNT`]
    /// consecutive seeds. A third fault, and sometimes a fourth, is drawn at random. If
    /// `allowed_faults` is not empty, all faults are drawn from it.
    pub fn draw(seed: u64, allowed_faults: &[FaultKind]) -> RunPlan {
        let rng = &mut SeededRng::new(seed, 1);
        let router_count = rng.range(3, 5) as usize;
        let routers = (0..router_count)
            .map(|number| number % ZONE_COUNT)
            .collect();
        let servers = draw_servers(rng);
        let capacity: f64 = servers.iter().map(|server| server.speed).sum();
        let rate = rng.between(44.0, 64.0);
        let mean_work = rng.between(0.25, 0.55) * capacity / rate * SECOND as f64;
        let latency_objective = (mean_work * rng.between(6.0, 9.0)) as Time;
        let initial_capacity_ratio = rng.between(0.12, 0.4);
        // The order of the fields is the order of the random draws.
        let mut plan = RunPlan {
            seed,
            routers,
            servers,
            conditions: draw_conditions(rng),
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
            announcement_delay: rng.range(100 * MILLI, 900 * MILLI),
            handshake_time: rng.range(500, 6 * MILLI),
            origin_time: rng.range(20 * MILLI, 120 * MILLI),
            origin_slots: rng.range(6, 20) as usize,
            requests: Vec::new(),
            failing_calls_ratio: 0.0,
            lists_are_pushed: false,
            coalescing: false,
            crowds: Vec::new(),
            operator_actions: Vec::new(),
            faults: Vec::new(),
            recovered_by: FAULTS_END + SETTLING_TIME,
        };
        plan.draw_requests(&mut SeededRng::new(seed, 2), rate);
        plan.draw_faults(&mut SeededRng::new(seed, 3), allowed_faults);
        plan.lengthen_pipelined_values();
        plan.draw_operator_actions(&mut SeededRng::new(seed, 9));
        if allowed_faults.is_empty() {
            plan.draw_rare_faults(&mut SeededRng::new(seed, 11));
        }
        plan
    }

    /// Draws requests at this rate, in requests per second.
    pub(super) fn draw_requests(&mut self, rng: &mut SeededRng, rate: f64) {
        let keys = KeyPopularity::draw(rng);
        let mut at = REQUESTS_BEGIN as f64;
        while (at as Time) < REQUESTS_END {
            at += rng.exponential(SECOND as f64 / rate);
            let key = keys.draw_key(rng);
            let request = self.draw_request(rng, at as Time, key);
            self.requests.push(request);
        }
    }

    fn draw_request(&self, rng: &mut SeededRng, at: Time, key: u64) -> PlannedRequest {
        let class = draw_class(rng);
        let deadline = self.deadline(class) as f64;
        let class_work = if class == 0 { 1.0 } else { 1.6 };
        // The order of the fields is the order of the random draws.
        PlannedRequest {
            number: self.requests.len() as u32,
            at,
            router: rng.index(self.routers.len()),
            class,
            key,
            timeout: (deadline * rng.between(0.5, 0.95)) as Time,
            work: self.mean_work * class_work * rng.between(0.5, 1.5),
            value_size: if rng.chance(0.03) {
                rng.range(4_096, 60_000) as usize
            } else {
                rng.range(40, 900) as usize
            },
            fault_selector: rng.unit(),
        }
    }

    fn draw_faults(&mut self, rng: &mut SeededRng, allowed: &[FaultKind]) {
        let kinds = draw_kinds(rng, self.seed, allowed);
        let overlap_at = rng.range(1_500 * MILLI, 4 * SECOND);
        for kind in kinds {
            let before = rng.range(50 * MILLI, 900 * MILLI);
            let after = rng.range(50 * MILLI, 1_500 * MILLI);
            let targets = self.draw_targets(rng, kind);
            self.faults.push(Fault {
                kind,
                at: overlap_at - before,
                duration: before + after,
                targets,
                severity: rng.unit(),
            });
        }
        self.faults.sort_by_key(|fault| fault.at);
    }

    /// Makes some values long, and so streamed, while clients pipeline.
    fn lengthen_pipelined_values(&mut self) {
        let pipelining = self
            .faults
            .iter()
            .filter(|fault| fault.kind == FaultKind::ClientsPipeline);
        let periods: Vec<Range<Time>> = pipelining.map(Fault::period).collect();
        for request in &mut self.requests {
            let is_pipelined = periods.iter().any(|period| period.contains(&request.at));
            if is_pipelined && request.class == 0 && request.fault_selector > LONG_VALUE_SELECTOR {
                request.value_size = LONG_VALUE_SIZE;
            }
        }
    }

    fn draw_targets(&self, rng: &mut SeededRng, kind: FaultKind) -> Vec<usize> {
        match kind {
            FaultKind::RouterCrash | FaultKind::ClockSteps => {
                draw_some(rng, self.routers.len(), 0.5)
            }
            FaultKind::RollingRestart => (0..self.routers.len()).collect(),
            FaultKind::ZonePartition => vec![rng.index(ZONE_COUNT)],
            _ => draw_some(rng, self.servers.len(), 0.3),
        }
    }

    /// Draws rare faults, which overlap with all others.
    fn draw_rare_faults(&mut self, rng: &mut SeededRng) {
        let overlap_at = self.latest_fault_start();
        for (ratio, kind) in RARE_FAULT_RATIOS {
            let targets = draw_some(rng, self.servers.len(), 0.6);
            let before = rng.range(50 * MILLI, 900 * MILLI);
            let after = rng.range(100 * MILLI, 1_500 * MILLI);
            let fault = Fault {
                kind,
                at: overlap_at - before,
                duration: before + after,
                targets,
                severity: rng.unit(),
            };
            if rng.chance(ratio) {
                self.faults.push(fault);
            }
        }
        self.draw_hanging_calls(rng);
        self.faults.sort_by_key(|fault| fault.at);
    }

    /// Draws hanging calls for part of the runs with silent watches.
    fn draw_hanging_calls(&mut self, rng: &mut SeededRng) {
        let is_silence = |fault: &&Fault| fault.kind == FaultKind::SilentWatches;
        let Some(silence) = self.faults.iter().find(is_silence).cloned() else {
            return;
        };
        if rng.chance(HANGING_CALLS_RATIO) {
            self.faults.push(Fault {
                kind: FaultKind::HangingCalls,
                severity: rng.unit(),
                ..silence
            });
        }
    }

    /// Draws operators' actions: in half of the runs they disable a server, in a third of the runs
    /// they drain a router.
    fn draw_operator_actions(&mut self, rng: &mut SeededRng) {
        let server = OperatorAction::DisableServer(rng.index(self.servers.len()));
        let router = OperatorAction::DrainRouter(rng.index(self.routers.len()));
        for (ratio, action) in [(0.5, server), (0.33, router)] {
            // The drain is short: a drain that lasts closes busy connections, and clients send
            // again what the router had not read.
            let planned = PlannedAction {
                action,
                at: rng.range(SECOND, 4 * SECOND),
                duration: rng.range(600 * MILLI, 2_000 * MILLI),
            };
            if rng.chance(ratio) {
                self.operator_actions.push(planned);
            }
        }
    }
}

fn draw_servers(rng: &mut SeededRng) -> Vec<ServerPlan> {
    let count = rng.range(8, 12) as usize;
    // The order of the fields is the order of the random draws.
    let server = |number| ServerPlan {
        zone: number % ZONE_COUNT,
        speed: rng.between(0.8, 1.6),
        slots: rng.range(2, 5) as usize,
        queue: rng.range(3, 8) as usize,
    };
    (0..count).map(server).collect()
}

fn draw_conditions(rng: &mut SeededRng) -> NetworkConditions {
    // The order of the fields is the order of the random draws.
    NetworkConditions {
        latency_within_zone: rng.range(80, 340),
        latency_between_zones: rng.range(2 * MILLI, 12 * MILLI),
        jitter_ratio: rng.between(0.1, 0.4),
        loss_ratio: if rng.chance(0.3) {
            rng.between(0.0, 0.004)
        } else {
            0.0
        },
        split_ratio: rng.between(0.0, 0.3),
        receive_window: if rng.chance(0.2) {
            rng.range(200, 8_000) as usize
        } else {
            LARGE_WINDOW
        },
        datagrams: DatagramConditions::default(),
    }
}

fn draw_class(rng: &mut SeededRng) -> usize {
    match rng.unit() {
        sample if sample < 0.74 => 0,
        sample if sample < 0.86 => 1,
        sample if sample < 0.92 => 2,
        _ => 3,
    }
}

/// The popularity of keys: a Zipf distribution over their rank.
struct KeyPopularity {
    weights: Vec<f64>,
    total: f64,
    salt: u64,
}

impl KeyPopularity {
    fn draw(rng: &mut SeededRng) -> KeyPopularity {
        let count = rng.range(60, 300);
        let skew = rng.between(0.8, 1.2);
        let weight = |rank: u64| 1.0 / (rank as f64 + 2.0).powf(skew);
        let weights: Vec<f64> = (1..=count).map(weight).collect();
        KeyPopularity {
            total: weights.iter().sum(),
            weights,
            salt: rng.next_u64(),
        }
    }

    fn draw_key(&self, rng: &mut SeededRng) -> u64 {
        let mut left = rng.unit() * self.total;
        let rank = self.weights.iter().position(|weight| {
            left -= weight;
            left < 0.0
        });
        self.salt
            .wrapping_add(rank.unwrap_or(0) as u64)
            .wrapping_mul(0x9E37_79B9_7F4A_7C15)
    }
}

/// Draws three or four kinds of faults: the pair of the seed, and random ones.
fn draw_kinds(rng: &mut SeededRng, seed: u64, allowed: &[FaultKind]) -> Vec<FaultKind> {
    let (pool, mut kinds) = if allowed.is_empty() {
        (&FaultKind::PAIRED[..], pair(seed).to_vec())
    } else {
        (allowed, vec![allowed[rng.index(allowed.len())]])
    };
    while kinds.len() < 3 || (kinds.len() < 4 && rng.chance(0.25)) {
        kinds.push(pool[rng.index(pool.len())]);
    }
    kinds
}

/// Returns the pair of this number.
fn pair(number: u64) -> [FaultKind; 2] {
    let mut left = number % FAULT_PAIR_COUNT;
    for (index, &first) in FaultKind::PAIRED.iter().enumerate() {
        let others = &FaultKind::PAIRED[index + 1..];
        if left < others.len() as u64 {
            return [first, others[left as usize]];
        }
        left -= others.len() as u64;
    }
    [FaultKind::PAIRED[0], FaultKind::PAIRED[1]]
}

/// Draws some of the numbers below `count`: at least one, at most `ratio` of them.
fn draw_some(rng: &mut SeededRng, count: usize, ratio: f64) -> Vec<usize> {
    let limit = ((count as f64 * ratio) as u64).max(1);
    let wanted = rng.range(1, limit) as usize;
    let mut numbers: Vec<usize> = (0..count).collect();
    while numbers.len() > wanted {
        numbers.remove(rng.index(numbers.len()));
    }
    numbers
}
