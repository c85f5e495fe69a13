//! The cache servers of the list, each with its idle connections, and the slots for connections to all of them.

use super::connection::{Connection, ServerProcess};
use crate::environment::{Environment, Stream};
use crate::memory_budget::MemoryBudget;
use crate::metrics::RouterMetrics;
use crate::mutation::hooks;
use bytes::BytesMut;
use load_balancer::{EndpointState, LoadReportFormat, ServerId};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Idle connections are closed after this share of the time at which a cache server closes them. A command written just
/// as the server closes ends as a reset, and may have run.
const IDLE_LIFETIME_RATIO: f64 = 0.8;
/// A connection rests this long and one round trip before its next command: what a server writes behind its response
/// arrives by then, and is not taken for the next response, which names no request.
const SETTLE_TIME: Duration = Duration::from_millis(7);
/// How often idle connections are looked through.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What the settings and the descriptors allow.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// How long connecting may take.
    pub connect_timeout: Duration,
    /// After how long cache servers close idle connections.
    pub server_idle_timeout: Duration,
    /// Connections to all cache servers together.
    pub max_connections: usize,
}

/// One server of the list.
struct Pool<E: Environment> {
    process: ServerProcess,
    /// The most recently used last.
    idle: Vec<IdleUpstreamConnection<E>>,
}

/// An idle connection.
pub(super) struct IdleUpstreamConnection<E: Environment> {
    /// The connection.
    pub connection: Connection<E>,
    /// When it was last used, or opened.
    pub idle_since: Instant,
}

impl<E: Environment> Pool<E> {
    fn new(process: ServerProcess) -> Self {
        Pool {
            process,
            idle: Vec::new(),
        }
    }

    /// Whether a connection leads to the process that the list names. A response of the previous process may come after
    /// the list has named the new one.
    fn is_current(&self, connection: &Connection<E>) -> bool {
        let is_same_process =
            hooks::is_same_process(self.process.started_ms == connection.process.started_ms);
        self.process.addr == connection.process.addr && is_same_process
    }
}

/// The cache servers of the list, each with its idle connections.
pub struct UpstreamPools<E: Environment> {
    pub(super) environment: E,
    /// By name, so that iteration is deterministic.
    pools: RefCell<BTreeMap<ServerId, Pool<E>>>,
    pub(super) limits: UpstreamLimits,
    /// What load reports hold.
    pub(super) report_format: LoadReportFormat,
    /// Memory for long answers that are held until they are whole.
    pub(super) answer_memory: Rc<MemoryBudget>,
    slots: Arc<Semaphore>,
    /// Slots that are left to another process of this router.
    ceded_slots: Cell<usize>,
    metrics: Rc<RouterMetrics>,
    /// Closes connections that broke.
    pub(super) broken: hooks::BrokenConnections<Connection<E>>,
}

impl<E: Environment> UpstreamPools<E> {
    /// Pools without servers.
    pub fn new(
        limits: UpstreamLimits,
        report_format: LoadReportFormat,
        answer_memory: Rc<MemoryBudget>,
        metrics: Rc<RouterMetrics>,
        environment: E,
    ) -> Rc<Self> {
        let slots = Arc::new(Semaphore::new(limits.max_connections));
        Rc::new(UpstreamPools {
            environment,
            pools: RefCell::default(),
            limits,
            report_format,
            answer_memory,
            slots,
            ceded_slots: Cell::new(0),
            metrics,
            broken: hooks::BrokenConnections::new(),
        })
    }

    /// Where attempts and connections are counted.
    pub fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// How many connections are idle.
    pub fn idle_count(&self) -> usize {
        let pools = self.pools.borrow();
        pools.values().map(|pool| pool.idle.len()).sum()
    }

    /// How many servers the list has.
    pub fn listed_count(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Takes one entry of the list. A new address or a new process closes the idle connections to the old one.
    pub fn set_server(
        &self,
        server: &ServerId,
        addr: SocketAddr,
        state: EndpointState,
        started_ms: u64,
    ) {
        let mut pools = self.pools.borrow_mut();
        if state == EndpointState::Removed {
            pools.remove(server);
            return;
        }
        let process = ServerProcess { addr, started_ms };
        let pool = pools
            .entry(server.clone())
            .or_insert_with(|| Pool::new(process));
        if pool.process != process {
            *pool = Pool::new(process);
        }
    }

    /// Forgets the servers that a whole list leaves out.
    pub fn retain_servers(&self, is_listed: impl Fn(&ServerId) -> bool) {
        self.pools
            .borrow_mut()
            .retain(|server, _| is_listed(server));
    }

    /// Closes the idle connections to a server.
    pub fn close_idle(&self, server: &ServerId) {
        if let Some(pool) = self.pools.borrow_mut().get_mut(server) {
            pool.idle.clear();
        }
    }

    /// Leaves half of the slots to another process of this router, and closes idle connections for that. Slots in use
    /// are ceded as they become free.
    pub fn cede_half_of_slots(&self) {
        let half = self.limits.max_connections / 2;
        while self.ceded_slots.get() < half {
            let ceded = self.slots.forget_permits(half - self.ceded_slots.get());
            self.ceded_slots.set(self.ceded_slots.get() + ceded);
            if ceded == 0 && !self.close_oldest_idle() {
                break;
            }
        }
    }

    /// Takes all slots back.
    pub fn reclaim_slots(&self) {
        self.slots.add_permits(self.ceded_slots.take());
    }

    /// Closes connections that have been idle for long, that the server has written to or closed, or that are older
    /// than `lifetime` says. Runs as long as the process.
    pub async fn close_expired_idle(self: Rc<Self>, lifetime: impl Fn() -> Duration) {
        loop {
            self.environment.sleep(IDLE_CHECK_INTERVAL).await;
            let lifetime = lifetime();
            for pool in self.pools.borrow_mut().values_mut() {
                pool.idle.retain(|idle| {
                    self.elapsed_since(idle.idle_since) < lifetime && self.is_usable(idle)
                });
            }
        }
    }

    /// How long ago an instant was.
    pub(super) fn elapsed_since(&self, since: Instant) -> Duration {
        self.environment.now().saturating_duration_since(since)
    }

    /// Whether a connection is young enough and has nothing unread, neither a byte nor an end.
    fn is_usable(&self, idle: &IdleUpstreamConnection<E>) -> bool {
        let lifetime = self.limits.server_idle_timeout.mul_f64(IDLE_LIFETIME_RATIO);
        self.elapsed_since(idle.idle_since) < lifetime
            && idle.connection.stream.has_no_pending_input()
    }

    /// Whether a response's tail would have arrived.
    fn is_settled(&self, idle: &IdleUpstreamConnection<E>) -> bool {
        let connection = &idle.connection;
        !connection.is_used
            || self.elapsed_since(idle.idle_since) >= SETTLE_TIME + connection.round_trip
    }

    /// Takes the idle connection to a server that was used last and is quiet. The others grow old and are closed.
    pub(super) fn take_idle(&self, server: &ServerId) -> Option<IdleUpstreamConnection<E>> {
        let mut pools = self.pools.borrow_mut();
        let idle = &mut pools.get_mut(server)?.idle;
        while let Some(position) = idle.iter().rposition(|idle| self.is_settled(idle)) {
            let candidate = idle.remove(position);
            if self.is_usable(&candidate) {
                return Some(candidate);
            }
        }
        None
    }

    /// Keeps a connection as idle, or closes it if the list names another process by now.
    pub(super) fn put_back(&self, server: &ServerId, mut connection: Connection<E>) {
        connection.received = BytesMut::new();
        let mut pools = self.pools.borrow_mut();
        let pool = pools
            .get_mut(server)
            .filter(|pool| pool.is_current(&connection));
        if let Some(pool) = pool {
            pool.idle.push(IdleUpstreamConnection {
                connection,
                idle_since: self.environment.now(),
            });
        }
    }

    /// Whether a connection leads to the process that the list names.
    pub(super) fn is_current(&self, server: &ServerId, connection: &Connection<E>) -> bool {
        let pools = self.pools.borrow();
        pools
            .get(server)
            .is_some_and(|pool| pool.is_current(connection))
    }

    /// Where a server's present process is reached; `None`: it is not listed.
    pub(super) fn process(&self, server: &ServerId) -> Option<ServerProcess> {
        self.pools.borrow().get(server).map(|pool| pool.process)
    }

    /// Waits for a slot for a connection. Where none is free, the oldest idle connection is closed for it.
    pub(super) async fn acquire_slot(&self) -> io::Result<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Ok(slot);
        }
        self.close_oldest_idle();
        let slot = self.slots.clone().acquire_owned().await;
        slot.map_err(io::Error::other)
    }

    /// Closes the connection that has been idle for longest; false if none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let oldest = pools
            .values_mut()
            .filter(|pool| !pool.idle.is_empty())
            .min_by_key(|pool| pool.idle[0].idle_since);
        oldest.map(|pool| pool.idle.remove(0)).is_some()
    }
}
