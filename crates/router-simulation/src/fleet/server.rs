//! A model of a cache server: its queue, cache, slow start and faults.

use super::{ALL_ZONES, FleetState};
use crate::discovery::read_to_end;
use crate::executor::{Node, Time};
use crate::fault_plan::{CLASSES, MILLI, SECOND, ServerPlan};
use crate::invariant_checker::ProcessStart;
use crate::network::SimulatedStream;
use crate::simulation::{Subnet, address};
use crate::wire::{
    CacheRequest, Command, DecodedFrame, Frame, FrameDecoder, SELECTED, served_reply, value_for,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// How long a key is cached, in microseconds.
const CACHE_LIFETIME: Time = 8 * SECOND;
/// The service time of a request that fails with an injected error, in microseconds.
const IMMEDIATE_ERROR_TIME: Time = 2 * MILLI;
/// The service time of a request whose origin fetch is rejected, in microseconds.
const ORIGIN_REJECTION_TIME: Time = MILLI;
/// The number of kinds of malformed replies.
const MALFORMED_KIND_COUNT: usize = 6;

/// The faults of a server. Ratios are of its requests, between 0 and 1.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// The ratio of requests that fail quickly.
    pub error_ratio: f64,
    /// The ratio of requests that are executed and then get a malformed reply.
    pub malformed_ratio: f64,
    /// The ratio of requests that are rejected with `-BUSY`.
    pub busy_ratio: f64,
    /// Whether requests are read and never answered.
    pub hangs: bool,
    /// The ratio by which requests take longer than usual.
    pub slowdown: f64,
}

/// The result of executing a request.
enum ExecutionResult {
    Served { is_miss: bool },
    Failed,
    Busy,
}

/// A connection without a request in progress.
struct IdleConnection {
    id: u32,
    reset: Rc<Notify>,
}

/// A simulated cache server.
pub struct Server {
    number: usize,
    /// The server's name on the endpoint list.
    pub name: String,
    /// The machine on which the server runs.
    pub node: Node,
    /// The address on which the server listens.
    pub address: SocketAddr,
    plan: ServerPlan,
    fleet: Rc<FleetState>,
    /// When the process started, in Unix milliseconds; 0 if it started long ago.
    pub born_ms: Cell<u64>,
    started_at: Cell<Time>,
    /// The faults that are currently injected.
    pub faults: Cell<ServerFaults>,
    /// Whether the server finishes its requests and rejects new ones.
    pub is_draining: Cell<bool>,
    /// When each execution slot becomes free.
    slots: RefCell<Vec<Time>>,
    /// The number of requests in a slot or in the queue.
    queued: Cell<usize>,
    /// When the cache entry of each key expires.
    cached_until: RefCell<BTreeMap<Vec<u8>, Time>>,
    idle_connections: RefCell<Vec<IdleConnection>>,
}

impl Server {
    /// Creates a server whose process has not been started.
    pub fn new(number: usize, node: Node, plan: ServerPlan, fleet: Rc<FleetState>) -> Rc<Server> {
        Rc::new(Server {
            number,
            name: format!("s-{number:02}"),
            node,
            address: address(Subnet::Servers, number, 6379),
            slots: RefCell::new(vec![0; plan.slots]),
            plan,
            fleet,
            born_ms: Cell::new(0),
            started_at: Cell::new(0),
            faults: Cell::default(),
            is_draining: Cell::new(false),
            queued: Cell::new(0),
            cached_until: RefCell::default(),
            idle_connections: RefCell::default(),
        })
    }

    /// The number of the server's zone.
    pub fn zone(&self) -> usize {
        self.plan.zone
    }

    /// Starts the server's process, which goes through slow start unless `born_ms` is 0. Its tasks
    /// end when the process is killed.
    pub fn start(self: &Rc<Self>, born_ms: u64) {
        let simulation = &self.fleet.simulation;
        let now = simulation.executor.now();
        self.born_ms.set(born_ms);
        self.started_at.set(now);
        self.is_draining.set(false);
        *self.slots.borrow_mut() = vec![0; self.plan.slots];
        self.queued.set(0);
        self.cached_until.borrow_mut().clear();
        self.idle_connections.borrow_mut().clear();
        if born_ms > 0 {
            let mut checker = simulation.checker.borrow_mut();
            checker.server_started(now, self.number, self.process_start());
        }
        let listener = simulation.network.listen(self.node, self.address);
        let server = self.clone();
        simulation.executor.spawn(self.node, async move {
            let executor = &server.fleet.simulation.executor;
            while let Ok(stream) = listener.accept().await {
                executor.spawn(server.node, server.clone().serve(stream));
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

    /// Ends the server's process, and its machine as well if it vanishes.
    pub fn kill(&self, vanishes: bool) {
        self.fleet.simulation.network.kill(self.node, vanishes);
    }

    /// Resets all idle connections.
    pub fn reset_idle(&self) {
        for connection in self.idle_connections.borrow_mut().drain(..) {
            connection.reset.notify_one();
        }
    }

    /// Serves the requests on one connection.
    async fn serve(self: Rc<Self>, mut stream: SimulatedStream) {
        let executor = &self.fleet.simulation.executor;
        let router = self.fleet.router_at(stream.peer());
        let mut frames = FrameDecoder::default();
        let mut is_first_request = true;
        loop {
            let reset = self.register_idle(stream.id());
            let Some(frame) = self.read_frame(&mut stream, &mut frames, &reset).await else {
                return;
            };
            self.unregister_idle(stream.id());
            if std::mem::take(&mut is_first_request) {
                executor.sleep(self.fleet.plan.handshake_time).await;
            }
            let command = Command::parse(&frame);
            if command == Command::Select {
                if stream.write_all(SELECTED).await.is_err() {
                    return;
                }
                continue;
            }
            let Command::CacheRequest(request) = command else {
                // An error means that the router has closed the connection.
                let _ = stream.write_all(b"-SYNTAX\r\n").await;
                return;
            };
            if self.faults.get().hangs {
                return read_to_end(&mut stream).await;
            }
            let result = self.execute(&request, router).await;
            let reply = self.reply(&request, &result);
            if stream.write_all(&reply).await.is_err() {
                return;
            }
        }
    }

    fn register_idle(&self, id: u32) -> Rc<Notify> {
        let reset = Rc::new(Notify::new());
        self.idle_connections.borrow_mut().push(IdleConnection {
            id,
            reset: reset.clone(),
        });
        reset
    }

    fn unregister_idle(&self, id: u32) {
        self.idle_connections
            .borrow_mut()
            .retain(|connection| connection.id != id);
    }

    /// Reads a command. Returns `None` once the connection has been closed, reset or idle for too
    /// long; the caller then drops the stream.
    async fn read_frame(
        &self,
        stream: &mut SimulatedStream,
        frames: &mut FrameDecoder,
        reset: &Notify,
    ) -> Option<Frame> {
        let executor = &self.fleet.simulation.executor;
        let mut buffer = vec![0; 4096];
        loop {
            match frames.next(executor.now()) {
                Ok(Some(DecodedFrame { frame, .. })) => return Some(frame),
                Ok(None) => {}
                Err(_) => return None,
            }
            let count = tokio::select! {
                biased;
                read = stream.read(&mut buffer) => read.unwrap_or(0),
                () = reset.notified(), if frames.buffered_bytes() == 0 => {
                    stream.reset();
                    return None;
                }
                () = executor.sleep(self.fleet.plan.idle_timeout) => 0,
            };
            if count == 0 {
                return None;
            }
            frames.feed(executor.now(), &buffer[..count]);
        }
    }

    /// The reply to a request, or a malformed reply if the fault is drawn.
    fn reply(&self, request: &CacheRequest, result: &ExecutionResult) -> Vec<u8> {
        let malformed_ratio = self.faults.get().malformed_ratio;
        if malformed_ratio > 0.0 && self.fleet.rng.borrow_mut().chance(malformed_ratio) {
            self.malformed_reply(request)
        } else {
            self.valid_reply(request, result)
        }
    }

    fn valid_reply(&self, request: &CacheRequest, result: &ExecutionResult) -> Vec<u8> {
        match result {
            ExecutionResult::Served { is_miss } => {
                let cost = self.fleet.cost(request.id);
                let size = cost.map_or(0, |cost| cost.value_size);
                let source = if *is_miss { "miss" } else { "hit" };
                served_reply(&value_for(request.id, &self.name, size), source)
            }
            ExecutionResult::Failed => b"-ERR failed\r\n".to_vec(),
            ExecutionResult::Busy => b"-BUSY\r\n".to_vec(),
        }
    }

    /// A reply that the protocol does not define, that is truncated, or that is followed by extra
    /// bytes.
    fn malformed_reply(&self, request: &CacheRequest) -> Vec<u8> {
        let valid = self.valid_reply(request, &ExecutionResult::Served { is_miss: false });
        match self.fleet.rng.borrow_mut().index(MALFORMED_KIND_COUNT) {
            0 => b"*3\r\n$99999\r\nnoise".to_vec(),
            1 => b"%what\r\n".to_vec(),
            2 => valid[..valid.len() / 2].to_vec(),
            3 => [&valid[..], &valid[..]].concat(),
            4 => [&valid[..], b"-noise"].concat(),
            _ => b"*3\r\n$3000000000\r\n".to_vec(),
        }
    }

    /// Executes a request after its last byte has been read.
    async fn execute(&self, request: &CacheRequest, router: usize) -> ExecutionResult {
        let executor = &self.fleet.simulation.executor;
        let faults = self.faults.get();
        let now = executor.now();
        let cost = self.fleet.cost(request.id);
        let work = cost.map_or(self.fleet.plan.mean_work, |cost| cost.work);
        if self.is_crashed_by_load(now, router, work) {
            return self.crash().await;
        }
        let fails = self.fleet.rng.borrow_mut().chance(faults.error_ratio);
        let is_busy = self.fleet.rng.borrow_mut().chance(faults.busy_ratio);
        if self.is_draining.get() || is_busy {
            return ExecutionResult::Busy;
        }
        if fails {
            executor.sleep(IMMEDIATE_ERROR_TIME).await;
            return ExecutionResult::Failed;
        }
        if self.is_duplicate(request, now) {
            // A duplicate gets the same reply as the first request.
            return ExecutionResult::Served { is_miss: false };
        }
        let is_miss = request.is_write || !self.is_cached(&request.key, now);
        if is_miss && !self.fetch(request).await {
            executor.sleep(ORIGIN_REJECTION_TIME).await;
            return ExecutionResult::Failed;
        }
        let Some(end) = self.reserve_slot(work, faults.slowdown) else {
            return ExecutionResult::Busy;
        };
        self.queued.set(self.queued.get() + 1);
        executor.sleep_until(end).await;
        self.queued.set(self.queued.get().saturating_sub(1));
        ExecutionResult::Served { is_miss }
    }

    /// Reports work that arrives now to the checker. Returns whether the overload crashes the
    /// server.
    fn is_crashed_by_load(&self, now: Time, router: usize, work: f64) -> bool {
        let mut checker = self.fleet.simulation.checker.borrow_mut();
        checker.work_arrived(now, self.number, router, work / self.plan.speed)
    }

    /// Kills the server's process; never returns. The kill runs from a timer because a task must
    /// not drop itself.
    async fn crash(&self) -> ExecutionResult {
        let executor = &self.fleet.simulation.executor;
        let network = self.fleet.simulation.network.clone();
        let node = self.node;
        executor.call_at(executor.now(), move || network.kill(node, false));
        std::future::pending().await
    }

    /// Whether a request with the same idempotency key has been executed within the deduplication
    /// scope.
    fn is_duplicate(&self, request: &CacheRequest, now: Time) -> bool {
        let is_zone_scoped = request.class == CLASSES[2];
        let scope = if is_zone_scoped {
            self.plan.zone
        } else {
            ALL_ZONES
        };
        let key = request.idempotency_key.as_ref();
        key.is_some_and(|key| self.fleet.is_duplicate(scope, key, now))
    }

    fn is_cached(&self, key: &[u8], now: Time) -> bool {
        let cached_until = self.cached_until.borrow();
        cached_until.get(key).is_some_and(|&until| until >= now)
    }

    /// Fetches a key from the origin, or writes it there. Returns false if the origin rejects the
    /// request.
    async fn fetch(&self, request: &CacheRequest) -> bool {
        let Some(done_at) = self.fleet.start_fetch() else {
            return false;
        };
        self.fleet.origin.wait_until(done_at).await;
        let until = self.fleet.simulation.executor.now() + CACHE_LIFETIME;
        let mut cached_until = self.cached_until.borrow_mut();
        if request.is_write {
            cached_until.remove(&request.key);
        } else {
            cached_until.insert(request.key.clone(), until);
        }
        true
    }

    /// Reserves an execution slot for work that arrives now. Returns when the work completes, or
    /// `None` if the queue is full.
    fn reserve_slot(&self, work: f64, slowdown: f64) -> Option<Time> {
        if self.queued.get() >= self.plan.slots + self.plan.queue {
            return None;
        }
        let now = self.fleet.simulation.executor.now();
        let mut slots = self.slots.borrow_mut();
        let count = slots.len() as f64;
        let slot = slots.iter_mut().min()?;
        let start = (*slot).max(now);
        let speed = self.plan.speed * self.capacity_ratio(start);
        *slot = start + (work * count / speed * (1.0 + slowdown)) as Time;
        Some(*slot)
    }

    fn capacity_ratio(&self, at: Time) -> f64 {
        if self.born_ms.get() == 0 {
            1.0
        } else {
            let age = at - self.started_at.get();
            self.process_start().capacity_ratio(age)
        }
    }
}
