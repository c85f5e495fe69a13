//! Stand-ins for the cache servers and their origin, as PROTOCOL has them: queues, cold starts, kept keys, a memory of
//! keyed writes, and the troubles that a plan wants of them.

use crate::executor::{Executor, Node, Time};
use crate::fault_plan::{MILLI, RunPlan, SECOND, ServerPlan};
use crate::invariant_checker::{InvariantChecker, ProcessStart};
use crate::network::{Network, SimulatedStream};
use crate::rng::SeededRng;
use crate::wire::{CacheRequest, Command, FrameDecoder, value_for};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// What is wrong with a server at the moment; shares of its requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// Failed at once.
    pub errors: f64,
    /// Spoilt after they have run.
    pub spoils: f64,
    /// Turned away.
    pub full: f64,
    /// Taken, and never answered.
    pub hangs: bool,
    /// Times as long as usual, less one.
    pub slow: f64,
}

/// A cache server.
pub struct Server {
    /// Its number.
    pub index: usize,
    /// Its name on the list.
    pub name: String,
    /// Its machine.
    pub node: Node,
    /// Where it listens.
    pub address: SocketAddr,
    plan: ServerPlan,
    fleet: Rc<FleetState>,
    /// When its process started, as the list has it; 0 for long ago.
    pub born_ms: Cell<u64>,
    started: Cell<Time>,
    /// What is wrong with it.
    pub faults: Cell<ServerFaults>,
    /// It finishes what it has and wants nothing new.
    pub drains: Cell<bool>,
    slots: RefCell<Vec<Time>>,
    waiting: Cell<usize>,
    cached_keys: RefCell<BTreeMap<Vec<u8>, Time>>,
    idle: RefCell<Vec<(u32, Rc<tokio::sync::Notify>)>>,
}

/// What all servers share.
pub struct FleetState {
    executor: Executor,
    network: Network,
    checker: Rc<RefCell<InvariantChecker>>,
    rng: RefCell<SeededRng>,
    plan: Rc<RunPlan>,
    /// When each slot of the origin is free, on its own clock.
    origin: RefCell<Vec<Time>>,
    origin_clock: Cell<OriginClock>,
    origin_turns: tokio::sync::Notify,
    /// Keyed requests by zone and key: when they ran.
    executed_keys: RefCell<BTreeMap<String, Time>>,
    work_by_request: BTreeMap<u64, (f64, usize)>,
    routers: RefCell<BTreeMap<Node, usize>>,
}

/// Origin fetches beyond this many for each of its slots are turned away.
const ORIGIN_QUEUE_PER_SLOT: usize = 6;
/// How long a key is kept.
const CACHE_LIFETIME: Time = 8 * SECOND;

impl FleetState {
    /// For the servers of a plan.
    pub fn new(
        executor: Executor,
        network: Network,
        checker: Rc<RefCell<InvariantChecker>>,
        plan: Rc<RunPlan>,
    ) -> Rc<FleetState> {
        let crowds = plan
            .crowds
            .iter()
            .flat_map(|crowd| crowd.requests.iter().chain(&crowd.writes));
        let work_by_request = plan
            .requests
            .iter()
            .chain(crowds)
            .map(|request| (u64::from(request.number), (request.work, request.size)))
            .collect();
        Rc::new(FleetState {
            executor,
            network,
            checker,
            rng: RefCell::new(SeededRng::new(plan.seed, 4)),
            origin: RefCell::new(vec![0; plan.origin_slots]),
            origin_clock: Cell::default(),
            origin_turns: tokio::sync::Notify::new(),
            executed_keys: RefCell::default(),
            work_by_request,
            routers: RefCell::default(),
            plan,
        })
    }

    /// This machine is that of a router.
    pub fn router(&self, node: Node, router: usize) {
        self.routers.borrow_mut().insert(node, router);
    }

    /// From now on the origin takes so many times as long as usual, less one; also for what it has taken already.
    pub fn slow_origin(&self, slow: f64) {
        let now = self.executor.now();
        self.origin_clock.set(OriginClock {
            since: now,
            shown: self.origin_clock.get().shows(now),
            slow,
        });
        self.origin_turns.notify_waiters();
    }

    /// Waits until the origin's clock shows this.
    async fn origin_shows(&self, then: Time) {
        loop {
            let turns = self.origin_turns.notified();
            let (now, clock) = (self.executor.now(), self.origin_clock.get());
            let left = then.saturating_sub(clock.shows(now));
            if left == 0 {
                return;
            }
            tokio::select! {
                biased;
                () = turns => {}
                () = self.executor.sleep_until(now + (left as f64 * (1.0 + clock.slow)).ceil() as Time) => {}
            }
        }
    }

    /// When a fetch that begins now is there, on the origin's clock; none if the origin turns it away.
    fn fetch(&self) -> Option<Time> {
        let now = self.origin_clock.get().shows(self.executor.now());
        let time = self.plan.origin_time as f64 * self.rng.borrow_mut().between(0.6, 1.5);
        let time = time as Time;
        let mut slots = self.origin.borrow_mut();
        let slot = slots.iter_mut().min()?;
        let start = (*slot).max(now);
        if start > now + time * ORIGIN_QUEUE_PER_SLOT as Time {
            return None;
        }
        *slot = start + time;
        Some(*slot)
    }
}

/// The origin's own clock, which runs slower while the origin does.
#[derive(Clone, Copy, Debug, Default)]
struct OriginClock {
    since: Time,
    shown: Time,
    slow: f64,
}

impl OriginClock {
    fn shows(&self, now: Time) -> Time {
        self.shown + ((now - self.since) as f64 / (1.0 + self.slow)) as Time
    }
}

/// What a request comes to.
enum RequestResult {
    Served { miss: bool },
    Failed,
    Busy,
}

impl Server {
    /// A server that does not run yet.
    pub fn new(
        index: usize,
        node: Node,
        address: SocketAddr,
        plan: ServerPlan,
        fleet: Rc<FleetState>,
    ) -> Rc<Server> {
        Rc::new(Server {
            index,
            name: format!("s-{index:02}"),
            node,
            address,
            slots: RefCell::new(vec![0; plan.slots]),
            plan,
            fleet,
            born_ms: Cell::new(0),
            started: Cell::new(0),
            faults: Cell::default(),
            drains: Cell::new(false),
            waiting: Cell::new(0),
            cached_keys: RefCell::default(),
            idle: RefCell::default(),
        })
    }

    /// Starts its process: a cold one if the list is to say when.
    pub fn start(self: &Rc<Self>, born_ms: u64) {
        let now = self.fleet.executor.now();
        self.born_ms.set(born_ms);
        self.started.set(now);
        self.drains.set(false);
        *self.slots.borrow_mut() = vec![0; self.plan.slots];
        self.waiting.set(0);
        self.cached_keys.borrow_mut().clear();
        self.idle.borrow_mut().clear();
        if born_ms > 0 {
            self.fleet
                .checker
                .borrow_mut()
                .server_started(now, self.index, self.process_start());
        }
        let listener = self.fleet.network.listen(self.node, self.address);
        let server = self.clone();
        self.fleet.executor.spawn(self.node, async move {
            while let Ok(stream) = listener.accept().await {
                let work = server.clone().serve(stream);
                server.fleet.executor.spawn(server.node, work);
            }
        });
    }

    fn process_start(&self) -> ProcessStart {
        ProcessStart {
            born_ms: self.born_ms.get(),
            starting_capacity_ratio: self.fleet.plan.starting_capacity_ratio,
            slow_start_duration: self.fleet.plan.slow_start_duration,
        }
    }

    /// Ends its process.
    pub fn kill(&self, vanishes: bool) {
        self.fleet.network.kill(self.node, vanishes);
    }

    /// Resets the connections that carry nothing now.
    pub fn reset_idle(&self) {
        self.idle
            .borrow_mut()
            .drain(..)
            .for_each(|(_, reset)| reset.notify_one());
    }

    async fn serve(self: Rc<Self>, mut stream: SimulatedStream) {
        let (executor, plan) = (&self.fleet.executor, &self.fleet.plan);
        let router = self
            .fleet
            .routers
            .borrow()
            .get(&stream.peer())
            .copied()
            .unwrap_or(0);
        let (mut frames, mut buffer, mut is_new) = (FrameDecoder::default(), vec![0; 4096], true);
        loop {
            let reset = Rc::new(tokio::sync::Notify::new());
            self.idle.borrow_mut().push((stream.id(), reset.clone()));
            let frame = loop {
                match frames.next(executor.now()) {
                    Ok(Some((frame, _))) => break frame,
                    Ok(None) => {}
                    Err(_) => return,
                }
                let count = tokio::select! {
                    biased;
                    read = stream.read(&mut buffer) => read.unwrap_or(0),
                    () = reset.notified(), if frames.buffered_bytes() == 0 => return stream.reset(),
                    () = executor.sleep(plan.idle_timeout) => 0,
                };
                if count == 0 {
                    return;
                }
                frames.feed(executor.now(), &buffer[..count]);
            };
            let id = stream.id();
            self.idle.borrow_mut().retain(|idle| idle.0 != id);
            if std::mem::take(&mut is_new) {
                executor.sleep(plan.handshake_time).await;
            }
            let Command::CacheRequest(call) = Command::of(&frame) else {
                let _ = stream.write_all(b"-SYNTAX\r\n").await;
                return;
            };
            if self.faults.get().hangs {
                // It reads on, so that it hears of the end.
                while !matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {}
                return;
            }
            let done = self.work(&call, router).await;
            let spoils = self.faults.get().spoils;
            let answer = if spoils > 0.0 && self.fleet.rng.borrow_mut().chance(spoils) {
                self.malformed_answer(&call)
            } else {
                self.answer(&call, &done)
            };
            if stream.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &CacheRequest, done: &RequestResult) -> Vec<u8> {
        match done {
            RequestResult::Served { miss } => {
                let size = self
                    .fleet
                    .work_by_request
                    .get(&request_number(call.id))
                    .map_or(0, |request| request.1);
                let value = value_for(call.id, &self.name, size);
                let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
                out.extend_from_slice(&value);
                out.extend_from_slice(if *miss {
                    b"\r\n$4\r\nmiss\r\n$-1\r\n"
                } else {
                    b"\r\n$3\r\nhit\r\n$-1\r\n"
                });
                out
            }
            RequestResult::Failed => b"-ERR failed\r\n".to_vec(),
            RequestResult::Busy => b"-BUSY\r\n".to_vec(),
        }
    }

    /// Something that is no row of the protocol's table, or brings more than belongs to it.
    fn malformed_answer(&self, call: &CacheRequest) -> Vec<u8> {
        let good = self.answer(call, &RequestResult::Served { miss: false });
        match self.fleet.rng.borrow_mut().index(6) {
            0 => b"*3\r\n$99999\r\nnoise".to_vec(),
            1 => b"%what\r\n".to_vec(),
            2 => good[..good.len() / 2].to_vec(),
            3 => [&good[..], &good[..]].concat(),
            4 => [&good[..], b"-noise"].concat(),
            _ => b"*3\r\n$3000000000\r\n".to_vec(),
        }
    }

    /// One request, from its last byte to its end.
    async fn work(&self, call: &CacheRequest, router: usize) -> RequestResult {
        let (fleet, faults) = (&self.fleet, self.faults.get());
        let (executor, now) = (&fleet.executor, fleet.executor.now());
        let mean = fleet.plan.mean_work;
        let (work, _) = fleet
            .work_by_request
            .get(&request_number(call.id))
            .copied()
            .unwrap_or((mean, 0));
        if fleet
            .checker
            .borrow_mut()
            .work_arrived(now, self.index, router, work / self.plan.speed)
        {
            let (network, node) = (fleet.network.clone(), self.node);
            // A process does not end within itself.
            executor.call_at(now, move || network.kill(node, false));
            return std::future::pending().await;
        }
        let (errors, full) = {
            let mut rng = fleet.rng.borrow_mut();
            (rng.chance(faults.errors), rng.chance(faults.full))
        };
        if self.drains.get() || full {
            return RequestResult::Busy;
        }
        if errors {
            executor.sleep(2 * MILLI).await;
            return RequestResult::Failed;
        }
        if let Some(idempotency_key) = &call.idempotency_key {
            let scope = if call.class == "zona" {
                self.plan.zone
            } else {
                usize::MAX
            };
            let name = format!("{scope}/{idempotency_key}");
            let executed_keys = fleet.executed_keys.borrow().get(&name).copied();
            if executed_keys.is_some_and(|at| at + fleet.plan.deduplication_window > now) {
                // Dropped as a repeat: the receipt is the same.
                return RequestResult::Served { miss: false };
            }
            fleet.executed_keys.borrow_mut().insert(name, now);
        }
        let miss = call.is_write
            || self
                .cached_keys
                .borrow()
                .get(&call.key)
                .is_none_or(|&until| until < now);
        if miss {
            let Some(there) = fleet.fetch() else {
                executor.sleep(MILLI).await;
                return RequestResult::Failed;
            };
            fleet.origin_shows(there).await;
            let until = executor.now() + CACHE_LIFETIME;
            if call.is_write {
                self.cached_keys.borrow_mut().remove(&call.key);
            } else {
                self.cached_keys
                    .borrow_mut()
                    .insert(call.key.clone(), until);
            }
        }
        let Some(end) = self.slot(work, faults.slow) else {
            return RequestResult::Busy;
        };
        self.waiting.set(self.waiting.get() + 1);
        executor.sleep_until(end).await;
        self.waiting.set(self.waiting.get().saturating_sub(1));
        RequestResult::Served { miss }
    }

    /// When work that comes now is done; none if the queue is full.
    fn slot(&self, work: f64, slow: f64) -> Option<Time> {
        if self.waiting.get() >= self.plan.slots + self.plan.queue {
            return None;
        }
        let now = self.fleet.executor.now();
        let mut slots = self.slots.borrow_mut();
        let count = slots.len() as f64;
        let slot = slots.iter_mut().min()?;
        let start = (*slot).max(now);
        let age = start - self.started.get();
        let part = if self.born_ms.get() == 0 {
            1.0
        } else {
            self.process_start().capacity_ratio(age)
        };
        *slot = start + (work * count / (self.plan.speed * part) * (1.0 + slow)) as Time;
        Some(*slot)
    }
}

/// The number in the plan of the request that an id belongs to.
pub fn request_number(id: u64) -> u64 {
    id >> 8
}
