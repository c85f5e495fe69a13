//! One router from its start to its end: what runs beside what, and what SIGTERM means.

use crate::clients::{Clients, IdleConnection};
use crate::clock::duration;
use crate::coalescing_stage::CoalescingStage;
use crate::discovery::{Discovery, DiscoveryConfig};
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::EndpointList;
use crate::environment::Environment;
use crate::metrics::{AttemptCounts, Metrics, ResourceUsage, RouterMetrics};
use crate::mutation::hooks;
use crate::servers::{self, UpstreamPools};
use crate::write_memory_budget::LargeCommands;
use load_balancer::deployment::Deployment;
use load_balancer::{
    AdminOverride, Availability, Diagnostics, Discovery as Listing, Micros, Router, ServerId,
    WarmState,
};
use process_lifecycle::{Lifecycle, LifecycleEvent};
use request_coalescing::{CoalescingRules, Counters};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Descriptors that are neither clients' nor cache servers': standard streams, the runtime's, the listener's,
/// discovery's, and some to spare.
const RESERVED: usize = 48;
/// New connections go on coming for up to 0.4 s after SIGTERM.
const STILL_ACCEPTING: Duration = Duration::from_millis(550);
/// SIGKILL comes no sooner than the longest deadline and this much after SIGTERM ...
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// ... where a longer deadline than this counts as this.
const LONGEST_COUNTED: Duration = Duration::from_secs(3);
/// So long before, what is still owed is answered as failed. Guards against a request that is lost since the process ends or
/// is killed under it. Hurts those that would have been served in this time.
const LAST_CALL: Duration = Duration::from_millis(120);
/// The program ends this long before.
const EXIT_EARLY: Duration = Duration::from_millis(30);

/// What a router is told at its start.
pub struct RouterConfig {
    /// Its settings, and the names behind their numbers.
    pub deployment: Deployment,
    /// For its random numbers; new with each start.
    pub seed: u64,
    /// Where the list of servers is watched.
    pub discovery: SocketAddr,
    /// The list as this router last had it.
    pub initial_endpoints: EndpointList,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Which reads are joined; `None`: none are.
    pub coalescing: Option<CoalescingRules>,
}

/// How a router ended.
#[derive(Clone, Copy, Debug)]
pub struct ShutdownReport {
    /// Requests that were answered as failed since the time before SIGKILL was over.
    pub failed: usize,
    /// Requests that were left without an answer all the same.
    pub unanswered: usize,
    /// By when the process is to have ended.
    pub exit_deadline: Instant,
}

/// One router.
pub struct RouterRuntime<E: Environment> {
    environment: E,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    discovery: Rc<Discovery<E>>,
    coalescing: Rc<CoalescingStage<E>>,
    clients: Rc<Clients<E>>,
    classes: Vec<String>,
    lifecycle: Rc<Cell<Lifecycle>>,
    lifecycle_changed: Notify,
    longest: Duration,
}

impl<E: Environment> RouterRuntime<E> {
    /// A router that has read its settings and its last list, and listens to nobody yet.
    ///
    /// # Errors
    /// One plain sentence on the setting that cannot be used.
    pub fn new(environment: E, config: RouterConfig) -> Result<RouterRuntime<E>, String> {
        let Deployment {
            settings,
            names,
            dial_timeout,
            reports,
        } = config.deployment;
        let settings = hooks::settings(settings);
        let most = config.descriptor_limit.saturating_sub(RESERVED) / 2;
        if most == 0 {
            return Err(format!(
                "limits.sockets: {} is too few",
                config.descriptor_limit
            ));
        }
        let forever = Micros::from_millis(86_400_000);
        let limits = servers::Limits {
            dial_timeout: duration(dial_timeout.min(forever)),
            conn_idle: duration(settings.connection_idle.min(forever)),
            connections: most,
        };
        let classes = settings.classes.clone();
        let longest = duration(
            classes
                .iter()
                .map(|class| class.deadline)
                .max()
                .unwrap_or_default(),
        );
        let may_cancel = settings.limits.cancel;
        let is_push = settings.discovery == Listing::Push;
        let router = Router::new(settings, config.seed).map_err(|e| e.to_string())?;
        let names = Rc::new(names);
        let class_names = names.classes.clone();
        let metrics = Rc::new(RouterMetrics::new(classes.len()));
        let lifecycle: Rc<Cell<Lifecycle>> = Rc::default();
        let upstream = UpstreamPools::new(limits, reports, metrics.clone(), environment.clone());
        let dispatcher = Dispatcher::new(router, upstream.clone(), environment.clone());
        let discovery = Discovery::new(
            DiscoveryConfig {
                addr: config.discovery,
                names: names.clone(),
                is_push,
            },
            dispatcher.clone(),
            upstream.clone(),
            environment.clone(),
        );
        let coalescing = CoalescingStage::new(
            dispatcher.clone(),
            config.coalescing,
            may_cancel,
            environment.clone(),
        );
        let large = LargeCommands::of_memory(config.memory_bytes);
        let shared = (lifecycle.clone(), metrics);
        let clients = Clients::new(
            coalescing.clone(),
            names,
            classes,
            most,
            shared,
            large,
            environment.clone(),
        );
        // Before the first client is answered, so that no request finds an empty ring.
        discovery.restore(config.initial_endpoints);
        let lifecycle_changed = Notify::new();
        let classes = class_names;
        Ok(RouterRuntime {
            environment,
            dispatcher,
            upstream,
            discovery,
            coalescing,
            clients,
            classes,
            lifecycle,
            lifecycle_changed,
            longest,
        })
    }

    /// How this process stands.
    pub fn lifecycle(&self) -> Lifecycle {
        if self
            .lifecycle
            .get()
            .after(self.dispatcher.now(), LifecycleEvent::EndpointsKnown)
            != self.lifecycle.get()
            && self.upstream.listed() > 0
        {
            self.live(LifecycleEvent::EndpointsKnown);
        }
        self.lifecycle.get()
    }

    /// Something happens to the process.
    fn live(&self, event: LifecycleEvent) {
        self.lifecycle
            .set(self.lifecycle.get().after(self.dispatcher.now(), event));
        self.lifecycle_changed.notify_one();
        self.clients.look_up();
    }

    /// Empties the router: `PING` says no, and connections are closed as they come to rest. Twice is once.
    pub fn drain_router(&self) {
        self.live(LifecycleEvent::DrainRouter);
    }

    /// The end of that; unasked it changes nothing.
    pub fn resume_router(&self) {
        self.live(LifecycleEvent::ResumeRouter);
    }

    /// Nothing more to this server, whatever the list says; false if nobody has told of it.
    pub fn disable_server(&self, server: &str) -> bool {
        self.override_server(server, AdminOverride::Disabled)
    }

    /// Puts it back, cold; false if nobody has told of it.
    pub fn enable_server(&self, server: &str) -> bool {
        self.override_server(server, AdminOverride::EnabledAt(self.dispatcher.now()))
    }

    /// Takes a word on a server that is listed, or that operators spoke of while it was; false of another.
    fn override_server(&self, server: &str, word: AdminOverride) -> bool {
        let server = ServerId::from(server);
        let is_listed = self
            .dispatcher
            .availability(&server)
            .is_some_and(|standing| standing != Availability::Removed);
        let is_known = is_listed
            || self
                .dispatcher
                .admin_overrides()
                .iter()
                .any(|(named, _)| *named == server);
        if is_known {
            self.dispatcher.apply_admin_override(server, word);
        }
        is_known
    }

    /// What operators told another process of this router.
    pub fn apply_admin_overrides(
        &self,
        words: impl IntoIterator<Item = (ServerId, AdminOverride)>,
    ) {
        for (server, admin_override) in hooks::admin_overrides(words) {
            self.dispatcher.apply_admin_override(server, admin_override);
        }
    }

    /// All that operators said of servers.
    pub fn admin_overrides(&self) -> Vec<(ServerId, AdminOverride)> {
        self.dispatcher.admin_overrides()
    }

    /// What the decision module learnt so far.
    pub fn warm_state(&self) -> WarmState {
        self.dispatcher.warm_state()
    }

    /// What another process of this router learnt; after what operators told it.
    pub fn restore_warm_state(&self, learnt: WarmState) {
        self.dispatcher.restore_warm_state(learnt);
    }

    /// Where the list comes from, and how it stands.
    pub fn list(&self) -> (SocketAddr, EndpointList) {
        self.discovery.list()
    }

    /// What operators are shown.
    pub fn metrics(&self) -> Metrics {
        let (by_class, attempts_written, in_progress) = self.clients.metrics().read();
        Metrics {
            requests_by_class: self.classes.iter().cloned().zip(by_class).collect(),
            attempts_written,
            in_progress,
            endpoints_listed: self.upstream.listed(),
            endpoints_avoided: self.dispatcher.avoided_endpoints(),
        }
    }

    /// What attempts came to since the start, and what the decision module believes now.
    pub fn attempts(&self) -> (AttemptCounts, Diagnostics) {
        (
            self.upstream.metrics().attempts(),
            self.dispatcher.diagnostics(),
        )
    }

    /// Leaves half of the places for connections to cache servers to another process of this router, or takes them
    /// back.
    pub fn share_connection_slots(&self, shared: bool) {
        if shared {
            self.upstream.cede_half()
        } else {
            self.upstream.take_back()
        }
    }

    /// Another process has taken over the listener: connections are given to it as they come to rest.
    pub fn hand_over_to(&self, successor: mpsc::UnboundedSender<IdleConnection<E::Stream>>) {
        self.clients.pass_to(Some(successor));
        self.live(LifecycleEvent::SuccessorServes);
    }

    /// That other process has gone: this one serves on.
    pub fn successor_lost(&self) {
        self.clients.pass_to(None);
        self.live(LifecycleEvent::SuccessorLost);
    }

    /// Serves a connection that another process has given up.
    pub fn adopt_connection(&self, idle_connection: IdleConnection<E::Stream>) {
        self.clients.start(idle_connection);
    }

    /// Leaves the watch for one at this address.
    pub fn move_watch_to(&self, discovery: SocketAddr) {
        self.discovery.move_to(discovery);
    }

    /// What it holds now.
    pub fn resource_usage(&self) -> ResourceUsage {
        let (waiters, flights) = self
            .coalescing
            .usage()
            .map_or((0, 0), |usage| (usage.waiters, usage.flights));
        ResourceUsage {
            client_connections: self.clients.count(),
            idle_upstream_connections: self.upstream.idle(),
            coalesced_waiters: waiters,
            coalesced_flights: flights,
            ..self.dispatcher.resource_usage()
        }
    }

    /// What joining came to so far, and the age of the oldest flight that is out; `None` where joining is off.
    pub fn coalescing_counters(&self) -> Option<(Counters, Option<Micros>)> {
        self.coalescing
            .usage()
            .map(|usage| (usage.counters, self.coalescing.oldest_flight_age()))
    }

    /// Accepts clients whenever this process is to.
    async fn accept(&self, listener: &E::Listener) {
        loop {
            if self.lifecycle.get().accepts() {
                tokio::select! {
                    biased;
                    () = self.lifecycle_changed.notified() => {}
                    () = self.clients.accept(listener) => {}
                }
            } else {
                self.lifecycle_changed.notified().await;
            }
        }
    }

    /// Serves until `stop` returns, and then until nothing is owed or the time for that is over.
    pub async fn run(
        &self,
        listener: E::Listener,
        stop: impl Future<Output = ()>,
    ) -> ShutdownReport {
        let environment = &self.environment;
        environment.spawn(self.discovery.clone().run());
        environment.spawn(self.dispatcher.clone().run_timers());
        environment.spawn(self.coalescing.clone().run());
        let dispatcher = self.dispatcher.clone();
        environment.spawn(
            self.upstream
                .clone()
                .retire_idle(move || dispatcher.idle_connection_lifetime()),
        );
        environment.spawn(self.clients.clone().close_resting());
        tokio::select! {
            biased;
            () = stop => {}
            () = self.accept(&listener) => {}
        }
        // Those that come now are served too: the front hears of the end only by and by.
        let start = environment.now();
        if !self.lifecycle.get().is_handed_over() {
            let _ = environment
                .timeout(STILL_ACCEPTING, self.accept(&listener))
                .await;
            if !self.lifecycle.get().is_handed_over() {
                self.clients.accept_rest(&listener).await;
            }
        }
        drop(listener);
        self.live(LifecycleEvent::Terminate);
        let killed = start + self.longest.min(LONGEST_COUNTED) + KILL_MARGIN;
        let mut stopped = ShutdownReport {
            failed: 0,
            unanswered: 0,
            exit_deadline: killed - EXIT_EARLY,
        };
        if environment
            .timeout_at(killed - LAST_CALL, self.clients.all_ended())
            .await
            .is_err()
        {
            stopped.failed = self.dispatcher.resource_usage().unanswered_requests;
            hooks::fail_pending(|| self.dispatcher.fail_all());
            self.clients.finish();
            let _ = environment
                .timeout_at(stopped.exit_deadline, self.clients.all_ended())
                .await;
            stopped.unanswered = self.dispatcher.resource_usage().unanswered_requests;
        }
        // Nothing more is passed on.
        self.clients.pass_to(None);
        stopped
    }
}
