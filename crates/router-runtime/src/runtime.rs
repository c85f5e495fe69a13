//! Assembles the components of one router, and offers the operations that the program and operators
//! use.

mod config;
mod memory_log;
mod reports;
mod shutdown;

use crate::coalescing_stage::CoalescingStage;
use crate::discovery::Discovery;
use crate::dispatcher::Dispatcher;
use crate::downstream::{ClientConnections, DownstreamConfig, IdleConnection};
use crate::environment::Environment;
use crate::memory_budget::{MemoryBudgets, PeerMemory};
use crate::metrics::{Metrics, ResourceUsage, RouterMetrics};
use crate::mutation::hooks;
use crate::upstream::UpstreamPools;
use config::RouterSetup;
use load_balancer::{
    AddressClaims, AdminOverride, Availability, Micros, OverrideSource, ServerId, WallTime,
    WarmState,
};
use process_lifecycle::{Lifecycle, LifecycleEvent};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

pub use config::{ConfigError, RouterConfig};
pub use reports::{AttemptReport, CoalescingReport, WatchedEndpoints};
pub use shutdown::ShutdownReport;

/// One router. All its tasks run on one thread and share their state without locks.
pub struct RouterRuntime<E: Environment> {
    environment: E,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    discovery: Rc<Discovery<E>>,
    coalescing: Rc<CoalescingStage<E>>,
    clients: Rc<ClientConnections<E>>,
    memory: MemoryBudgets,
    class_names: Vec<String>,
    lifecycle: Rc<Cell<Lifecycle>>,
    lifecycle_changed: Notify,
    longest_deadline: Duration,
}

impl<E: Environment> RouterRuntime<E> {
    /// Creates a router from its configuration and initial endpoint list. It accepts no clients
    /// before [`RouterRuntime::run`].
    ///
    /// # Errors
    /// When a setting is invalid.
    pub fn new(environment: E, config: RouterConfig) -> Result<RouterRuntime<E>, ConfigError> {
        let setup = RouterSetup::new(config)?;
        let metrics = Rc::new(RouterMetrics::new(setup.classes.len()));
        let memory = MemoryBudgets::for_process(setup.memory);
        let upstream = UpstreamPools::new(
            setup.upstream_limits,
            setup.report_format,
            memory.clone(),
            metrics.clone(),
            environment.clone(),
        );
        let dispatcher = Dispatcher::new(setup.router, upstream.clone(), environment.clone());
        let discovery = Discovery::new(
            setup.discovery,
            dispatcher.clone(),
            upstream.clone(),
            environment.clone(),
        );
        let coalescing = CoalescingStage::new(
            dispatcher.clone(),
            setup.coalescing,
            setup.may_cancel,
            environment.clone(),
        );
        let lifecycle: Rc<Cell<Lifecycle>> = Rc::default();
        let class_names = setup.names.classes.clone();
        let downstream = DownstreamConfig {
            requests: coalescing.clone(),
            names: setup.names,
            classes: setup.classes,
            max_connections: setup.upstream_limits.max_connections,
            lifecycle: lifecycle.clone(),
            metrics,
            memory: memory.clone(),
        };
        let clients = ClientConnections::new(downstream, environment.clone());
        // Before the first request, so that no request finds an empty hash ring.
        discovery.restore(setup.initial_endpoints);
        Ok(RouterRuntime {
            environment,
            dispatcher,
            upstream,
            discovery,
            coalescing,
            clients,
            memory,
            class_names,
            lifecycle,
            lifecycle_changed: Notify::new(),
            longest_deadline: setup.longest_deadline,
        })
    }

    /// The lifecycle state of this process.
    pub fn lifecycle(&self) -> Lifecycle {
        let now = self.dispatcher.now();
        let lifecycle = self.lifecycle.get();
        let waits_for_endpoints = lifecycle.after(now, LifecycleEvent::EndpointsKnown) != lifecycle;
        if waits_for_endpoints && self.upstream.listed_count() > 0 {
            self.apply_lifecycle_event(LifecycleEvent::EndpointsKnown);
        }
        self.lifecycle.get()
    }

    fn apply_lifecycle_event(&self, event: LifecycleEvent) {
        let now = self.dispatcher.now();
        self.lifecycle.set(self.lifecycle.get().after(now, event));
        self.lifecycle_changed.notify_one();
        self.clients.lifecycle_changed();
    }

    /// Drains the router: `PING` is answered with an error, and connections are closed as they
    /// become idle. Idempotent.
    pub fn drain_router(&self) {
        self.apply_lifecycle_event(LifecycleEvent::DrainRouter);
    }

    /// Ends the drain; does nothing if the router is not drained.
    pub fn resume_router(&self) {
        self.apply_lifecycle_event(LifecycleEvent::ResumeRouter);
    }

    /// Sends no more requests to this server, whatever the endpoint list says; false if it is
    /// unknown.
    pub fn disable_server(&self, server: &str) -> bool {
        self.override_server(server, AdminOverride::Disabled)
    }

    /// Enables a disabled server again, which then warms up; false if it is unknown.
    pub fn enable_server(&self, server: &str) -> bool {
        let enabled = AdminOverride::EnabledAt(self.dispatcher.now());
        self.override_server(server, enabled)
    }

    /// Applies an override to a server that is listed or already has one; false for any other
    /// server.
    fn override_server(&self, server: &str, admin_override: AdminOverride) -> bool {
        let server = ServerId::from(server);
        let is_listed = self
            .dispatcher
            .availability(&server)
            .is_some_and(|availability| availability != Availability::Removed);
        let is_known = is_listed
            || self
                .admin_overrides()
                .iter()
                .any(|(overridden, _)| *overridden == server);
        if is_known {
            self.dispatcher
                .apply_admin_override(server, admin_override, OverrideSource::Operator);
        }
        is_known
    }

    /// Applies the admin overrides that another process of this router has or had.
    pub fn apply_admin_overrides(
        &self,
        overrides: impl IntoIterator<Item = (ServerId, AdminOverride)>,
        source: OverrideSource,
    ) {
        for (server, admin_override) in hooks::admin_overrides(overrides) {
            self.dispatcher
                .apply_admin_override(server, admin_override, source);
        }
    }

    /// All admin overrides.
    pub fn admin_overrides(&self) -> Vec<(ServerId, AdminOverride)> {
        self.dispatcher.admin_overrides()
    }

    /// The current time on the clock of this process.
    pub fn now(&self) -> Micros {
        self.dispatcher.now()
    }

    /// The current time on the wall clock.
    pub fn wall_now(&self) -> WallTime {
        self.environment.wall_now()
    }

    /// Warm state of the decision library.
    pub fn warm_state(&self) -> WarmState {
        self.dispatcher.warm_state()
    }

    /// Restores the warm state of another process of this router. Call it after
    /// [`RouterRuntime::apply_admin_overrides`].
    pub fn restore_warm_state(&self, warm_state: WarmState) {
        self.dispatcher.restore_warm_state(warm_state);
    }

    /// The claims to addresses that a successor has to know beside the endpoint list.
    pub fn address_claims(&self) -> AddressClaims {
        self.dispatcher.address_claims()
    }

    /// Restores the claims to addresses of another process of this router.
    pub fn restore_address_claims(&self, claims: AddressClaims) {
        self.dispatcher.restore_address_claims(claims);
    }

    /// The current endpoint list, and the discovery server that it comes from.
    pub fn endpoint_list(&self) -> WatchedEndpoints {
        WatchedEndpoints {
            discovery: self.discovery.addr(),
            endpoints: self.discovery.list(),
        }
    }

    /// Metrics for operators.
    pub fn metrics(&self) -> Metrics {
        let metrics = self.clients.metrics();
        let class_names = self.class_names.iter().cloned();
        Metrics {
            requests_by_class: class_names.zip(metrics.requests_by_class()).collect(),
            attempts_written: metrics.attempts_written(),
            in_progress: metrics.in_progress(),
            endpoints_listed: self.dispatcher.listed_endpoints(),
            endpoints_avoided: self.dispatcher.avoided_endpoints(),
            endpoints_without_address: self.dispatcher.endpoints_without_address(),
            list_version: self.discovery.list_version(),
            discovery_calls: metrics.attempts().discovery_calls,
            memory: self.memory.report(),
        }
    }

    /// Counts of attempts since the start of the process, and the decision library's current
    /// estimates.
    pub fn attempts(&self) -> AttemptReport {
        AttemptReport {
            counts: self.upstream.metrics().attempts(),
            diagnostics: self.dispatcher.diagnostics(),
        }
    }

    /// Cedes half of the slots for connections to cache servers to another process of this router,
    /// or takes them back.
    pub fn share_connection_slots(&self, shared: bool) {
        if shared {
            self.upstream.cede_half_of_slots();
        } else {
            self.upstream.reclaim_slots();
        }
    }

    /// Shares the memory for long values with other processes of this router, or with none from now
    /// on.
    pub fn share_memory(&self, peers: Option<Arc<dyn PeerMemory>>) {
        self.memory.set_peers(peers);
    }

    /// Hands connections over as they become idle, since another process has taken over the
    /// listener.
    pub fn hand_over_to(&self, successor: mpsc::UnboundedSender<IdleConnection<E::Stream>>) {
        self.clients.set_successor(Some(successor));
        self.apply_lifecycle_event(LifecycleEvent::SuccessorServes);
    }

    /// Ends the hand-over, since the successor process has ended: this process continues to serve.
    pub fn successor_lost(&self) {
        self.clients.set_successor(None);
        self.apply_lifecycle_event(LifecycleEvent::SuccessorLost);
    }

    /// Serves an idle connection that another process has handed over, or that could not be handed
    /// over to another process.
    pub fn adopt_connection(&self, idle_connection: IdleConnection<E::Stream>) {
        self.clients.start(idle_connection);
    }

    /// Closes the watch and opens one at this address.
    pub fn set_discovery_addr(&self, discovery: SocketAddr) {
        self.discovery.set_addr(discovery);
    }

    /// Resources in use now.
    pub fn resource_usage(&self) -> ResourceUsage {
        let coalescing = self.coalescing.usage();
        ResourceUsage {
            client_connections: self.clients.count(),
            idle_upstream_connections: self.upstream.idle_count(),
            coalesced_waiters: coalescing.as_ref().map_or(0, |usage| usage.waiters),
            coalesced_flights: coalescing.as_ref().map_or(0, |usage| usage.flights),
            ..self.dispatcher.resource_usage()
        }
    }

    /// Counts of coalescing so far, and the age of the oldest flight; `None` if coalescing is off.
    pub fn coalescing(&self) -> Option<CoalescingReport> {
        let usage = self.coalescing.usage()?;
        Some(CoalescingReport {
            counters: usage.counters,
            oldest_flight_age: self.coalescing.oldest_flight_age(),
        })
    }
}
