//! The set of client connections: accepted from the listener, evicted to make room, and handed over
//! to a successor.

use super::IdleConnection;
use super::client::Client;
use super::close_log::CloseLog;
use crate::environment::Environment;
use crate::memory_budget::MemoryBudgets;
use crate::metrics::RouterMetrics;
use crate::read_buffer::ReadBuffer;
use crate::socket_error::affects_one_connection;
use crate::stage::RequestStage;
use load_balancer::Class;
use load_balancer::deployment::Names;
use process_lifecycle::Lifecycle;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

/// How often the number of idle clients is checked.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Idle clients may hold at most the connection limit divided by this; the rest is left to active
/// clients.
const IDLE_CONNECTIONS_DIVISOR: usize = 4;
/// How long to wait for each connection in the listener's backlog.
const QUEUED_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);
/// How many consecutive failures are retried before the rest of the backlog is abandoned.
const MAX_QUEUED_ACCEPT_FAILURES: u32 = 10;
/// The first backoff after accepting has failed, for example because no file descriptor was left.
const INITIAL_ACCEPT_BACKOFF: Duration = Duration::from_millis(1);
/// How many times consecutive failures double the backoff.
const MAX_ACCEPT_BACKOFF_DOUBLINGS: u32 = 4;
/// How long to wait for a free connection slot, or for the lifecycle to change, before checking
/// again.
pub(super) const CAPACITY_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The channel to the successor, which takes over connections of this process.
type Successor<S> = mpsc::UnboundedSender<IdleConnection<S>>;

/// Configuration and dependencies of the client connections, besides the environment.
pub struct DownstreamConfig {
    /// The stage that handles the requests.
    pub requests: Rc<dyn RequestStage>,
    /// Names of classes and tenants.
    pub names: Rc<Names>,
    /// Settings of the classes, in the order of their names.
    pub classes: Vec<Class>,
    /// The connection limit.
    pub max_connections: usize,
    /// The lifecycle of this process.
    pub lifecycle: Rc<Cell<Lifecycle>>,
    /// The request metrics.
    pub metrics: Rc<RouterMetrics>,
    /// The memory budgets for long values.
    pub memory: MemoryBudgets,
}

/// The set of client connections; see the module documentation.
pub struct ClientConnections<E: Environment> {
    pub(super) environment: E,
    pub(super) config: DownstreamConfig,
    pub(super) read_buffer: ReadBuffer,
    /// Keyed by order of arrival, so that iteration is deterministic.
    open: RefCell<BTreeMap<u64, Rc<Client>>>,
    last_id: Cell<u64>,
    /// Accepted, but not started yet, as the connection limit is reached.
    accepted: RefCell<Option<E::Stream>>,
    successor: RefCell<Option<Successor<E::Stream>>>,
    /// Notified when a connection has ended.
    ended: Notify,
    pub(super) close_log: CloseLog,
    /// Set when the process ends: nothing more is read.
    is_shutting_down: Cell<bool>,
}

impl<E: Environment> ClientConnections<E> {
    /// Creates an empty set.
    pub fn new(config: DownstreamConfig, environment: E) -> Rc<Self> {
        Rc::new(ClientConnections {
            environment,
            config,
            read_buffer: ReadBuffer::default(),
            open: RefCell::default(),
            last_id: Cell::new(0),
            accepted: RefCell::default(),
            successor: RefCell::default(),
            ended: Notify::new(),
            close_log: CloseLog::default(),
            is_shutting_down: Cell::new(false),
        })
    }

    /// Accepts clients for as long as it is polled. At the connection limit, further clients wait
    /// until there is room. Cancel-safe: dropping the future loses no connection.
    pub async fn accept(self: &Rc<Self>, listener: &E::Listener) {
        let mut failure_count = 0;
        loop {
            self.start_accepted_when_below_limit().await;
            match self.environment.accept(listener).await {
                Ok(stream) => {
                    failure_count = 0;
                    *self.accepted.borrow_mut() = Some(stream);
                }
                Err(error) => {
                    if failure_count == 0 {
                        self.environment
                            .log(format_args!("accepting a client: {error}"));
                    }
                    self.accept_failed(&error, failure_count).await;
                    failure_count += 1;
                }
            }
        }
    }

    /// Evicts a client and backs off, unless the error concerned a single connection. The backoff
    /// is short: requests keep losing time meanwhile, and most shortages are brief.
    async fn accept_failed(&self, error: &io::Error, earlier_failures: u32) {
        if !affects_one_connection(error) {
            self.evict_idle_client();
            let doublings = earlier_failures.min(MAX_ACCEPT_BACKOFF_DOUBLINGS);
            let backoff = INITIAL_ACCEPT_BACKOFF * (1 << doublings);
            self.environment.sleep(backoff).await;
        }
    }

    /// Starts the accepted connection, if there is one, once the number of connections is below the
    /// limit.
    async fn start_accepted_when_below_limit(self: &Rc<Self>) {
        if self.accepted.borrow().is_none() {
            return;
        }
        while self.count() >= self.config.max_connections {
            self.evict_idle_client();
            let _ = self
                .environment
                .timeout(CAPACITY_RETRY_INTERVAL, self.ended.notified())
                .await;
        }
        self.start_accepted();
    }

    /// Accepts what is left in the listener's backlog before the listener is closed, which would
    /// reset those connections. They may exceed the connection limit while file descriptors last,
    /// as no others follow.
    pub async fn accept_queued(self: &Rc<Self>, listener: &E::Listener) {
        self.start_accepted();
        let mut failure_count = 0;
        while let Ok(accepted) = self
            .environment
            .timeout(QUEUED_ACCEPT_TIMEOUT, self.environment.accept(listener))
            .await
        {
            match accepted {
                Ok(stream) => {
                    failure_count = 0;
                    self.start(IdleConnection::accepted(stream));
                }
                Err(_) if failure_count == MAX_QUEUED_ACCEPT_FAILURES => return,
                Err(error) => {
                    self.accept_failed(&error, failure_count).await;
                    failure_count += 1;
                }
            }
        }
    }

    fn start_accepted(self: &Rc<Self>) {
        if let Some(stream) = self.accepted.take() {
            self.start(IdleConnection::accepted(stream));
        }
    }

    /// Serves a connection that this process has accepted or another one has handed over.
    pub fn start(self: &Rc<Self>, idle_connection: IdleConnection<E::Stream>) {
        let id = self.last_id.get() + 1;
        self.last_id.set(id);
        let client = Rc::new(Client::new(
            idle_connection.has_sent_command,
            self.environment.now(),
        ));
        self.open.borrow_mut().insert(id, client.clone());
        let connections = self.clone();
        // The task owns the connection and ends with it: when it is closed or handed over, or when
        // the process ends.
        self.environment.spawn(async move {
            connections.serve(idle_connection, &client).await;
            connections.abandon_requests(&client);
            connections.open.borrow_mut().remove(&id);
            connections.ended.notify_one();
        });
    }

    /// Reports that the client no longer waits for its requests.
    pub(super) fn abandon_requests(&self, client: &Client) {
        for id in client.pending_requests.take() {
            self.config.requests.client_disconnected(id);
        }
    }

    /// Evicts one client without pending responses, the first by [`Client::eviction_rank`], unless
    /// one is closing already.
    fn evict_idle_client(&self) {
        let now = self.environment.now();
        let open = self.open.borrow();
        let without_pending: Vec<&Rc<Client>> = open
            .values()
            .filter(|client| !client.has_pending_responses())
            .collect();
        let makes_room =
            |client: &&Rc<Client>| client.is_closing.get() && !client.has_unsent_output.get();
        if without_pending.iter().any(makes_room) {
            return;
        }
        let first = without_pending
            .into_iter()
            .min_by_key(|client| client.eviction_rank(now));
        if let Some(client) = first {
            client.evict();
        }
    }

    /// Limits idle clients to a quarter of the connection limit by closing those that have been
    /// idle for longest, until the process ends. Without this, clients that keep unused connections
    /// could lock out all others where a proxy in front of the router allows fewer connections than
    /// the router.
    pub async fn close_idle(self: Rc<Self>) {
        loop {
            self.environment.sleep(IDLE_CHECK_INTERVAL).await;
            self.close_excess_idle();
        }
    }

    fn close_excess_idle(&self) {
        let now = self.environment.now();
        let open = self.open.borrow();
        let mut idle: Vec<&Rc<Client>> =
            open.values().filter(|client| client.is_idle(now)).collect();
        idle.sort_by_key(|client| client.last_used_at.get());
        let allowed = self.config.max_connections / IDLE_CONNECTIONS_DIVISOR;
        let excess = idle.len().saturating_sub(allowed);
        for client in idle.into_iter().take(excess) {
            client.close();
        }
    }

    /// Lets each connection check the lifecycle again, as it has changed.
    pub fn lifecycle_changed(&self) {
        for client in self.open.borrow().values() {
            client.changed.notify_one();
        }
    }

    /// Sets the successor that takes over idle connections when the lifecycle calls for it.
    pub fn set_successor(self: &Rc<Self>, successor: Option<Successor<E::Stream>>) {
        *self.successor.borrow_mut() = successor;
        self.start_accepted();
    }

    /// Hands an idle connection over; returns it if there is no successor.
    pub(super) fn hand_over(
        &self,
        idle_connection: IdleConnection<E::Stream>,
    ) -> Result<(), IdleConnection<E::Stream>> {
        match &*self.successor.borrow() {
            Some(successor) => successor.send(idle_connection).map_err(|back| back.0),
            None => Err(idle_connection),
        }
    }

    /// Stops reading, as the process ends. Connections are closed as soon as their responses are
    /// written.
    pub fn shut_down(&self) {
        self.is_shutting_down.set(true);
        self.lifecycle_changed();
    }

    /// Whether the process ends, so that nothing more is read.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// The lifecycle of the process.
    pub(super) fn lifecycle(&self) -> Lifecycle {
        self.config.lifecycle.get()
    }

    /// The request metrics.
    pub fn metrics(&self) -> &Rc<RouterMetrics> {
        &self.config.metrics
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Completes when all connections are closed or handed over.
    pub async fn all_ended(&self) {
        while !self.open.borrow().is_empty() {
            self.ended.notified().await;
        }
    }
}
