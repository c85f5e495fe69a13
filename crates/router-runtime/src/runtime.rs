//! One router: its parts put together, and what the program and operators ask of it.

mod config;
mod reports;
mod shutdown;

use crate::coalescing_stage::CoalescingStage;
use crate::discovery::Discovery;
use crate::dispatcher::Dispatcher;
use crate::downstream::{ClientConnections, DownstreamConfig, IdleConnection};
use crate::environment::Environment;
use crate::memory_budget::MemoryBudget;
use crate::metrics::{Metrics, ResourceUsage, RouterMetrics};
use crate::mutation::hooks;
use crate::upstream::UpstreamPools;
use config::RouterSetup;
use load_balancer::{AdminOverride, Availability, ServerId, WarmState};
use process_lifecycle::{Lifecycle, LifecycleEvent};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, mpsc};

pub use config::{ConfigError, RouterConfig};
pub use reports::{AttemptReport, CoalescingReport, WatchedEndpoints};
pub use shutdown::ShutdownReport;

/// One router. It relies on one thread: its tasks share their state without locks.
pub struct RouterRuntime<E: Environment> {
    environment: E,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    discovery: Rc<Discovery<E>>,
    coalescing: Rc<CoalescingStage<E>>,
    clients: Rc<ClientConnections<E>>,
    class_names: Vec<String>,
    lifecycle: Rc<Cell<Lifecycle>>,
    lifecycle_changed: Notify,
    longest_deadline: Duration,
}

impl<E: Environment> RouterRuntime<E> {
    /// A router that has taken its settings and its last list, and accepts no clients yet.
    ///
    /// # Errors
    /// When a setting cannot be used.
    pub fn new(environment: E, config: RouterConfig) -> Result<RouterRuntime<E>, ConfigError> {
        let setup = RouterSetup::new(config)?;
        let metrics = Rc::new(RouterMetrics::new(setup.classes.len()));
        let upstream = UpstreamPools::new(
            setup.upstream_limits,
            setup.report_format,
            MemoryBudget::for_process_memory(setup.memory_bytes),
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
            write_memory: MemoryBudget::for_process_memory(setup.memory_bytes),
        };
        let clients = ClientConnections::new(downstream, environment.clone());
        // Before the first request, so that none finds an empty ring.
        discovery.restore(setup.initial_endpoints);
        Ok(RouterRuntime {
            environment,
            dispatcher,
            upstream,
            discovery,
            coalescing,
            clients,
            class_names,
            lifecycle,
            lifecycle_changed: Notify::new(),
            longest_deadline: setup.longest_deadline,
        })
    }

    /// The state of this process.
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

    /// Drains the router: `PING` is answered with an error, and connections are closed as they become idle. Twice is
    /// once.
    pub fn drain_router(&self) {
        self.apply_lifecycle_event(LifecycleEvent::DrainRouter);
    }

    /// Ends the drain; without one it changes nothing.
    pub fn resume_router(&self) {
        self.apply_lifecycle_event(LifecycleEvent::ResumeRouter);
    }

    /// Sends nothing more to this server, whatever the list says; false if it is unknown.
    pub fn disable_server(&self, server: &str) -> bool {
        self.override_server(server, AdminOverride::Disabled)
    }

    /// Enables a server again, to be warmed up; false if it is unknown.
    pub fn enable_server(&self, server: &str) -> bool {
        let enabled = AdminOverride::EnabledAt(self.dispatcher.now());
        self.override_server(server, enabled)
    }

    /// Applies an override to a server that is listed or has one already; false for any other.
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
            self.dispatcher.apply_admin_override(server, admin_override);
        }
        is_known
    }

    /// Applies the operators' overrides that another process of this router had.
    pub fn apply_admin_overrides(
        &self,
        overrides: impl IntoIterator<Item = (ServerId, AdminOverride)>,
    ) {
        for (server, admin_override) in hooks::admin_overrides(overrides) {
            self.dispatcher.apply_admin_override(server, admin_override);
        }
    }

    /// All overrides of operators.
    pub fn admin_overrides(&self) -> Vec<(ServerId, AdminOverride)> {
        self.dispatcher.admin_overrides()
    }

    /// What the decision library has learnt so far.
    pub fn warm_state(&self) -> WarmState {
        self.dispatcher.warm_state()
    }

    /// Takes over what another process of this router has learnt; to be called after
    /// [`RouterRuntime::apply_admin_overrides`].
    pub fn restore_warm_state(&self, warm_state: WarmState) {
        self.dispatcher.restore_warm_state(warm_state);
    }

    /// The endpoint list as it stands, and where it comes from.
    pub fn endpoint_list(&self) -> WatchedEndpoints {
        WatchedEndpoints {
            discovery: self.discovery.addr(),
            endpoints: self.discovery.list(),
        }
    }

    /// What operators are shown.
    pub fn metrics(&self) -> Metrics {
        let metrics = self.clients.metrics();
        let class_names = self.class_names.iter().cloned();
        Metrics {
            requests_by_class: class_names.zip(metrics.requests_by_class()).collect(),
            attempts_written: metrics.attempts_written(),
            in_progress: metrics.in_progress(),
            endpoints_listed: self.upstream.listed_count(),
            endpoints_avoided: self.dispatcher.avoided_endpoints(),
        }
    }

    /// Counts of attempts since the start, and the decision library's present estimates.
    pub fn attempts(&self) -> AttemptReport {
        AttemptReport {
            counts: self.upstream.metrics().attempts(),
            diagnostics: self.dispatcher.diagnostics(),
        }
    }

    /// Leaves half of the slots for connections to cache servers to another process of this router, or takes them back.
    pub fn share_connection_slots(&self, shared: bool) {
        if shared {
            self.upstream.cede_half();
        } else {
            self.upstream.take_back();
        }
    }

    /// Another process has taken over the listener: connections are handed over as they become idle.
    pub fn hand_over_to(&self, successor: mpsc::UnboundedSender<IdleConnection<E::Stream>>) {
        self.clients.set_successor(Some(successor));
        self.apply_lifecycle_event(LifecycleEvent::SuccessorServes);
    }

    /// That other process has gone: this one serves on.
    pub fn successor_lost(&self) {
        self.clients.set_successor(None);
        self.apply_lifecycle_event(LifecycleEvent::SuccessorLost);
    }

    /// Serves a connection that another process has handed over.
    pub fn adopt_connection(&self, idle_connection: IdleConnection<E::Stream>) {
        self.clients.start(idle_connection);
    }

    /// Leaves the watch for one at this address.
    pub fn move_watch_to(&self, discovery: SocketAddr) {
        self.discovery.move_to(discovery);
    }

    /// What the router holds now.
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

    /// Counts of coalescing so far, and the age of the oldest flight; `None` where coalescing is off.
    pub fn coalescing(&self) -> Option<CoalescingReport> {
        let usage = self.coalescing.usage()?;
        Some(CoalescingReport {
            counters: usage.counters,
            oldest_flight_age: self.coalescing.oldest_flight_age(),
        })
    }
}
