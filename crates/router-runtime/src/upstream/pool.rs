//! Connection pools: the listed cache servers with their idle connections, and a limit on the
//! number of connections to all of them.

use super::connection::{Connection, ServerProcess};
use crate::environment::{Environment, Stream};
use crate::memory_budget::MemoryBudgets;
use crate::metrics::RouterMetrics;
use crate::mutation::hooks;
use crate::read_buffer::ReadBuffer;
use bytes::BytesMut;
use load_balancer::{EndpointState, LoadReportFormat, ServerId, WallTime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Idle connections are closed after this fraction of the server's own idle timeout. A command that
/// is written just as the server closes the connection ends with a reset, and may have been
/// executed.
const IDLE_LIFETIME_RATIO: f64 = 0.8;
/// A connection is not reused until this time and one round trip after its last response. Most excess
/// bytes that a server writes after a response arrive by then, and the connection is closed. Those
/// that come later cost more ([`super::repeated_reply`]).
const SETTLE_TIME: Duration = Duration::from_millis(7);
/// How often idle connections are checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Limits set by the settings and by the number of file descriptors.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamLimits {
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which cache servers close idle connections.
    pub server_idle_timeout: Duration,
    /// Maximum number of connections to all cache servers together.
    pub max_connections: usize,
}

/// Idle connections to one server.
struct Pool<E: Environment> {
    process: ServerProcess,
    /// Ordered by the time of the last use, the latest at the end.
    idle: Vec<IdleUpstreamConnection<E>>,
}

/// An idle connection.
pub(super) struct IdleUpstreamConnection<E: Environment> {
    /// The connection itself.
    pub connection: Connection<E>,
    /// When it became idle.
    pub idle_since: Instant,
}

impl<E: Environment> Pool<E> {
    fn new(process: ServerProcess) -> Self {
        Pool {
            process,
            idle: Vec::new(),
        }
    }

    /// Whether a connection leads to the listed process. The previous process may still respond
    /// after the list has named a new one.
    fn is_current(&self, connection: &Connection<E>) -> bool {
        let is_same_process =
            hooks::is_same_process(self.process.started == connection.process.started);
        self.process.addr == connection.process.addr && is_same_process
    }
}

/// The listed cache servers, each with its idle connections.
pub struct UpstreamPools<E: Environment> {
    pub(super) environment: E,
    /// Ordered by server, so that iteration is deterministic.
    pools: RefCell<BTreeMap<ServerId, Pool<E>>>,
    pub(super) limits: UpstreamLimits,
    /// Format of load reports.
    pub(super) report_format: LoadReportFormat,
    /// Memory for long answers that are buffered until they are complete.
    pub(super) memory: MemoryBudgets,
    pub(super) read_buffer: ReadBuffer,
    /// One permit for each connection that may be opened.
    slots: Arc<Semaphore>,
    /// Number of slots ceded to another process of this router.
    ceded_slots: Cell<usize>,
    metrics: Rc<RouterMetrics>,
    /// Closes broken connections.
    pub(super) broken: hooks::BrokenConnections<Connection<E>>,
}

impl<E: Environment> UpstreamPools<E> {
    /// Creates pools without servers.
    pub fn new(
        limits: UpstreamLimits,
        report_format: LoadReportFormat,
        memory: MemoryBudgets,
        metrics: Rc<RouterMetrics>,
        environment: E,
    ) -> Rc<Self> {
        let slots = Arc::new(Semaphore::new(limits.max_connections));
        Rc::new(UpstreamPools {
            environment,
            pools: RefCell::default(),
            limits,
            report_format,
            memory,
            read_buffer: ReadBuffer::default(),
            slots,
            ceded_slots: Cell::new(0),
            metrics,
            broken: hooks::BrokenConnections::new(),
        })
    }

    /// Counters of attempts and connections.
    pub fn metrics(&self) -> &RouterMetrics {
        &self.metrics
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        let pools = self.pools.borrow();
        pools.values().map(|pool| pool.idle.len()).sum()
    }

    /// Number of listed servers.
    pub fn listed_count(&self) -> usize {
        self.pools.borrow().len()
    }

    /// Applies one entry of the endpoint list. If the address or the process has changed, the idle
    /// connections to the old one are closed.
    pub fn set_server(
        &self,
        server: &ServerId,
        addr: SocketAddr,
        state: EndpointState,
        started: WallTime,
    ) {
        let mut pools = self.pools.borrow_mut();
        if state == EndpointState::Removed {
            pools.remove(server);
            return;
        }
        let process = ServerProcess { addr, started };
        let pool = pools
            .entry(server.clone())
            .or_insert_with(|| Pool::new(process));
        if pool.process != process {
            *pool = Pool::new(process);
        }
    }

    /// Removes all servers but those for which `is_listed` is true.
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

    /// Cedes up to half of the connection slots to another process of this router, closing idle
    /// connections to free them. Slots that attempts use at this time are not ceded.
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

    /// Takes all ceded slots back.
    pub fn reclaim_slots(&self) {
        self.slots.add_permits(self.ceded_slots.take());
    }

    /// Periodically closes idle connections that have expired, that the server has written to or
    /// closed, or that have been idle for `lifetime`. Runs until the process ends.
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

    /// Time elapsed since an instant.
    pub(super) fn elapsed_since(&self, since: Instant) -> Duration {
        self.environment.now().saturating_duration_since(since)
    }

    /// Whether an idle connection has not expired, and has no pending input: neither a byte nor the
    /// end of the stream.
    fn is_usable(&self, idle: &IdleUpstreamConnection<E>) -> bool {
        let lifetime = self.limits.server_idle_timeout.mul_f64(IDLE_LIFETIME_RATIO);
        self.elapsed_since(idle.idle_since) < lifetime
            && idle.connection.stream.has_no_pending_input()
    }

    /// Whether excess bytes after the last response would have arrived by now.
    fn is_settled(&self, idle: &IdleUpstreamConnection<E>) -> bool {
        let connection = &idle.connection;
        let is_resting = connection
            .rests_until
            .is_some_and(|until| self.environment.now() < until);
        !connection.is_used
            || !is_resting
                && self.elapsed_since(idle.idle_since) >= SETTLE_TIME + connection.round_trip
    }

    /// Takes the most recently used of the idle connections to a server that are settled, so that
    /// those not needed expire.
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

    /// Returns a connection to its pool, or closes it if it cannot be used again or the list names
    /// another process by now.
    pub(super) fn put_back(&self, server: &ServerId, mut connection: Connection<E>) {
        if !connection.is_reusable || connection.history.is_full() {
            return;
        }
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

    /// Whether a connection leads to the listed process.
    pub(super) fn is_current(&self, server: &ServerId, connection: &Connection<E>) -> bool {
        let pools = self.pools.borrow();
        pools
            .get(server)
            .is_some_and(|pool| pool.is_current(connection))
    }

    /// The listed process of a server; `None` if the server is not listed.
    pub(super) fn process(&self, server: &ServerId) -> Option<ServerProcess> {
        self.pools.borrow().get(server).map(|pool| pool.process)
    }

    /// Waits for a connection slot. If none is free, the oldest idle connection is closed.
    pub(super) async fn acquire_slot(&self) -> io::Result<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Ok(slot);
        }
        self.close_oldest_idle();
        let slot = self.slots.clone().acquire_owned().await;
        slot.map_err(io::Error::other)
    }

    /// Closes the connection that has been idle for the longest time; false if none is idle.
    fn close_oldest_idle(&self) -> bool {
        let mut pools = self.pools.borrow_mut();
        let oldest = pools
            .values_mut()
            .filter(|pool| !pool.idle.is_empty())
            .min_by_key(|pool| pool.idle[0].idle_since);
        oldest.map(|pool| pool.idle.remove(0)).is_some()
    }
}
