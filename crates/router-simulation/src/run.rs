//! Plays a plan: the real runtime as every router, stand-ins for all else, faults at their times, the invariant checker throughout.

use crate::UNIX_START;
use crate::clients::{ClientBehavior, Clients};
use crate::discovery::{Discovery, Health};
use crate::executor::{Executor, Node, Time};
use crate::fault_plan::{
    CLASSES, CROWD_CONNECTION_COUNT, CROWD_READ_COUNT, Crowd, Fault, FaultKind, MILLI,
    OperatorAction, PlannedAction, PlannedRequest, RunPlan, SECOND,
};
use crate::fleet::{FleetState, Server, ServerFaults};
use crate::invariant_checker::{
    CalmService, CoalescingParameters, Counts, DeduplicationScope as CheckedScope,
    Idempotency as CheckedIdempotency, InvariantChecker, Role, Rule, RuleParameters,
    ServerIdentity, Violation,
};
use crate::network::{Network, Observer, SimulatedEnvironment};
use crate::rng::SeededRng;
use load_balancer::deployment::{Deployment, Names};
use load_balancer::{
    AdminOverride, Class, DeduplicationScope, Discovery as Listing, Idempotency, Limits,
    LoadReportFormat, Micros, ServerId, Settings, Tenant, Weights, ZoneId,
};
use request_coalescing::{CoalescingFile, CoalescingRules};
use router_runtime::{EndpointList, RouterConfig, RouterRuntime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::sync::Notify;

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Equal for equal runs.
    pub digest: u64,
    /// Steps on the wire.
    pub steps: u64,
    /// What passed.
    pub counts: Counts,
    /// Of the requests taken once all was calm: how many, and how many of them were served.
    pub calm: CalmService,
    /// How many attempts each crowd had, its clients' own repeats aside, in their order.
    pub crowd_attempts: Vec<u64>,
    /// What was not kept.
    pub violations: Vec<Violation>,
    /// What passed, step by step, if that was wanted.
    pub trace: Vec<String>,
}

/// From so many requests on, the share of served ones in the calm tells.
const MIN_CALM_REQUEST_COUNT: u64 = 20;
/// The least share of them that must be served: less, and service has not come back.
const MIN_CALM_SERVED_RATIO: f64 = 0.1;
/// What the protocol leaves a router after SIGTERM, beside its longest deadline.
const KILL_MARGIN: Time = 700 * MILLI;
/// The module asks for the list again after each loss: one timer may always be set.
const IDLE_TIMER_COUNT: usize = 1;

/// Of what a run is to keep for those who look at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recording {
    /// The verdict alone.
    Violations,
    /// Every step.
    Trace,
}

/// Plays a plan up to this step or to its end.
pub fn simulate(plan: &RunPlan, recording: Recording) -> Report {
    let plan = Rc::new(plan.clone());
    let executor = Executor::new(SeededRng::new(plan.seed, 5));
    let servers: Vec<ServerIdentity> = plan
        .servers
        .iter()
        .enumerate()
        .map(|(i, server)| ServerIdentity {
            name: format!("s-{i:02}"),
            zone: server.zone,
        })
        .collect();
    let checker = Rc::new(RefCell::new(InvariantChecker::new(
        rule_parameters(&plan),
        &servers,
        recording == Recording::Trace,
    )));
    let observer: Rc<RefCell<dyn Observer>> = checker.clone();
    let network = Network::new(
        executor.clone(),
        observer,
        plan.conditions,
        SeededRng::new(plan.seed, 6),
    );
    let run = Run::set_up(&plan, &executor, &network, &checker);
    run.schedule_faults();
    run.schedule_operator_actions();
    run.schedule_requests();
    run.schedule_crowds();
    checker.borrow_mut().calm = Some(CalmService {
        since: plan.calm_from,
        ..CalmService::default()
    });
    if executor.run_until(plan.end_time()) {
        run.check_end();
    } else {
        let text = "tasks wake one another without end".into();
        checker
            .borrow_mut()
            .record_violation(Rule::Liveness, executor.now(), None, text);
    }
    let report = report(&plan, &mut checker.borrow_mut());
    executor.end();
    report
}

fn report(plan: &RunPlan, checker: &mut InvariantChecker) -> Report {
    Report {
        seed: plan.seed,
        digest: checker.digest(),
        steps: checker.steps(),
        counts: checker.counts,
        calm: checker.calm.unwrap_or_default(),
        crowd_attempts: plan
            .crowds
            .iter()
            .map(|crowd| attempts(checker, crowd))
            .collect(),
        violations: std::mem::take(&mut checker.violations),
        trace: checker.trace().collect(),
    }
}

fn attempts(checker: &InvariantChecker, crowd: &Crowd) -> u64 {
    let key = crowd
        .requests
        .first()
        .map(|request| format!("{:016x}", request.key).into_bytes())
        .unwrap_or_default();
    checker.crowd_attempts.get(&key).copied().unwrap_or(0)
}

fn rule_parameters(plan: &RunPlan) -> RuleParameters {
    let effects = [
        CheckedIdempotency::Idempotent,
        CheckedIdempotency::Keyed(CheckedScope::All, plan.deduplication_window),
        CheckedIdempotency::Keyed(CheckedScope::Zone, plan.deduplication_window),
        CheckedIdempotency::NotIdempotent,
    ];
    RuleParameters {
        classes: CLASSES
            .iter()
            .map(|name| (*name).to_string())
            .zip(effects)
            .collect(),
        answer_grace: 20 * MILLI,
        drain_grace: 250 * MILLI,
        max_attempts: 5,
        hedging: plan.hedging,
        overload_multiple: plan.overload_multiple,
        overload_duration: plan.overload_duration,
        window: plan.conditions.receive_window,
        overload_slack: 6.0 * plan.mean_work,
        coalescing: plan.coalescing.then(|| CoalescingParameters {
            class: CLASSES[0].to_string(),
            flights: 2,
        }),
        crowds_from: plan
            .crowds
            .iter()
            .flat_map(|crowd| &crowd.requests)
            .map(|request| u64::from(request.number) << 8)
            .min()
            .unwrap_or(u64::MAX),
    }
}

fn deployment(plan: &RunPlan, zone: usize) -> Deployment {
    let deduplication_window = Micros(plan.deduplication_window);
    let class = |index: usize, idempotency: Idempotency| Class {
        latency_objective: Micros(plan.latency_objective),
        deadline: Micros(plan.deadline(index)),
        priority_weight: if index == 0 { 1.0 } else { 8.0 },
        late_weight: 0.5,
        idempotency,
    };
    let settings = Settings {
        routers: plan.routers.len() as u32,
        zone: Some(ZoneId(zone)),
        classes: vec![
            class(0, Idempotency::Idempotent),
            class(
                1,
                Idempotency::Keyed {
                    scope: DeduplicationScope::All,
                    deduplication_window,
                },
            ),
            class(
                2,
                Idempotency::Keyed {
                    scope: DeduplicationScope::Zone,
                    deduplication_window,
                },
            ),
            class(3, Idempotency::NotIdempotent),
        ],
        tenants: vec![
            Tenant {
                quota_per_s: 30.0,
                share: 0.5
            };
            2
        ],
        over_quota_weight: 0.2,
        discovery: Listing::Subscribe {
            poll_within: Micros(10 * SECOND),
        },
        weights: Weights::Rough,
        rules: load_balancer::Rules {
            answer_grace: Micros(20 * MILLI),
            drain_grace: Micros(250 * MILLI),
            initial_capacity_ratio: plan.initial_capacity_ratio,
            slow_start_duration: Micros(plan.slow_start_duration),
            overload_multiple: plan.overload_multiple,
            overload_duration: Micros(plan.overload_duration),
            drain_close: None,
        },
        limits: Limits {
            max_attempts: 5,
            cancel: true,
            hedging: plan.hedging,
            retry_after: true,
            max_retry_after: Micros(SECOND),
        },
        connection_idle: Micros(plan.idle_timeout),
        connection_costs: Default::default(),
        origin_collapses_under_overload: false,
        ..Settings::default()
    };
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_string()).collect();
    let names = Names {
        classes: text(&CLASSES),
        tenants: text(&["t0", "t1"]),
        zones: text(&["z0", "z1", "z2"]),
        kinds: text(&["m"]),
    };
    Deployment {
        settings,
        names,
        dial_timeout: Micros(plan.dial_timeout),
        reports: LoadReportFormat::default(),
    }
}

/// The rules of joining for all reads of a deployment like these.
pub(crate) fn coalescing_rules(deployment: &Deployment) -> Option<CoalescingRules> {
    let file = CoalescingFile {
        classes: vec![CLASSES[0].to_string()],
        ..CoalescingFile::default()
    };
    match file.rules(deployment) {
        Ok(rules) => rules,
        Err(problem) => panic!("the rig's settings are usable: {problem}"),
    }
}

fn address(subnet: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, subnet, 0, index as u8 + 1), port))
}

struct RouterProcess {
    index: usize,
    node: Node,
    address: SocketAddr,
    runtime: RefCell<Option<Rc<RouterRuntime<SimulatedEnvironment>>>>,
    stop: RefCell<Rc<Notify>>,
    /// Counts its starts.
    incarnation: Cell<u64>,
    /// What operators said, as its file keeps it.
    admin_overrides: RefCell<BTreeMap<ServerId, AdminOverride>>,
}

struct Run {
    plan: Rc<RunPlan>,
    executor: Executor,
    network: Network,
    checker: Rc<RefCell<InvariantChecker>>,
    shared: Rc<FleetState>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    routers: Vec<Rc<RouterProcess>>,
    clients: Vec<Rc<Clients>>,
}

impl Run {
    fn set_up(
        plan: &Rc<RunPlan>,
        executor: &Executor,
        network: &Network,
        checker: &Rc<RefCell<InvariantChecker>>,
    ) -> Rc<Run> {
        let add_machine = |role: Role, zone: usize, limit: usize| {
            checker.borrow_mut().add_machine(role);
            network.add_machine(zone, limit)
        };
        let shared = FleetState::new(
            executor.clone(),
            network.clone(),
            checker.clone(),
            plan.clone(),
        );
        let servers: Vec<Rc<Server>> = plan
            .servers
            .iter()
            .enumerate()
            .map(|(i, server)| {
                let node = add_machine(Role::Server(i), server.zone, usize::MAX);
                Server::new(i, node, address(1, i, 6379), server.clone(), shared.clone())
            })
            .collect();
        let zones = plan.servers.iter().map(|server| server.zone).collect();
        let node = add_machine(Role::Discovery, 0, usize::MAX);
        let discovery = Discovery::start(
            executor.clone(),
            network.clone(),
            checker.clone(),
            node,
            address(2, 0, 8500),
            &servers,
            zones,
        );
        servers.iter().for_each(|server| server.start(0));
        let mut routers = Vec::new();
        let mut clients = Vec::new();
        for (index, &zone) in plan.routers.iter().enumerate() {
            let node = add_machine(Role::Router(index), zone, plan.descriptor_limit);
            shared.router(node, index);
            let stop = RefCell::new(Rc::new(Notify::new()));
            let (address, runtime, incarnation) =
                (address(3, index, 6379), RefCell::new(None), Cell::new(0));
            routers.push(Rc::new(RouterProcess {
                index,
                node,
                address,
                runtime,
                stop,
                incarnation,
                admin_overrides: RefCell::default(),
            }));
            let node = add_machine(Role::Client, zone, usize::MAX);
            clients.push(Clients::new(
                executor.clone(),
                network.clone(),
                node,
                address,
                plan.clone(),
            ));
        }
        let run = Rc::new(Run {
            plan: plan.clone(),
            executor: executor.clone(),
            network: network.clone(),
            checker: checker.clone(),
            shared,
            servers,
            discovery,
            routers,
            clients,
        });
        run.routers
            .iter()
            .for_each(|router| run.start_router(router));
        run
    }

    fn at(self: &Rc<Self>, time: Time, action: impl FnOnce(&Rc<Run>) + 'static) {
        let run = self.clone();
        self.executor.call_at(time, move || action(&run));
    }

    fn after(self: &Rc<Self>, time: Time, action: impl FnOnce(&Rc<Run>) + 'static) {
        self.at(self.executor.now() + time, action);
    }

    // ---- routers

    fn start_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        let known = self.discovery.known_to(router.node);
        self.checker
            .borrow_mut()
            .router_started(self.executor.now(), router.index, &known);
        let known: EndpointList = serde_json::from_str(&known).unwrap_or_default();
        let incarnation = router.incarnation.get() + 1;
        router.incarnation.set(incarnation);
        let deployment = deployment(&self.plan, self.plan.routers[router.index]);
        let coalescing = self
            .plan
            .coalescing
            .then(|| coalescing_rules(&deployment))
            .flatten();
        let start = RouterConfig {
            deployment,
            seed: SeededRng::new(
                self.plan.seed,
                1_000 + 100 * router.index as u64 + incarnation,
            )
            .number(),
            discovery: self.discovery.address,
            initial_endpoints: known,
            descriptor_limit: self.plan.descriptor_limit,
            memory_bytes: 64 << 20,
            coalescing,
        };
        let runtime = match RouterRuntime::new(self.network.environment(router.node), start) {
            Ok(runtime) => Rc::new(runtime),
            Err(problem) => {
                let mut checker = self.checker.borrow_mut();
                checker.record_violation(
                    Rule::Liveness,
                    self.executor.now(),
                    None,
                    format!("a router does not start: {problem}"),
                );
                return;
            }
        };
        runtime.apply_admin_overrides(router.admin_overrides.borrow().clone());
        *router.runtime.borrow_mut() = Some(runtime.clone());
        let stop = Rc::new(Notify::new());
        *router.stop.borrow_mut() = stop.clone();
        let listener = self.network.listen(router.node, router.address);
        let (run, router) = (self.clone(), router.clone());
        self.executor.spawn(router.node, async move {
            runtime
                .run(listener, async move { stop.notified().await })
                .await;
            let (now, ended) = (run.executor.now(), router.clone());
            // A process does not end within itself.
            run.at(now, move |run| run.router_ended(&ended, incarnation));
        });
    }

    /// It has ended by itself: its machine closes what it held.
    fn router_ended(self: &Rc<Self>, router: &Rc<RouterProcess>, incarnation: u64) {
        if router.incarnation.get() != incarnation || router.runtime.borrow().is_none() {
            return;
        }
        router.runtime.borrow_mut().take();
        self.executor.kill(router.node);
        self.checker
            .borrow_mut()
            .router_died(self.executor.now(), router.index);
        let router = router.clone();
        let pause = 30 * MILLI + 7 * MILLI * router.index as Time;
        self.after(pause, move |run| run.start_router(&router));
    }

    fn kill_router(self: &Rc<Self>, router: &Rc<RouterProcess>, back_after: Time) {
        if router.runtime.borrow_mut().take().is_none() {
            return;
        }
        // Told first: what its end tears down is nobody's fault.
        self.checker
            .borrow_mut()
            .router_died(self.executor.now(), router.index);
        self.network.kill(router.node, false);
        let router = router.clone();
        self.after(back_after, move |run| run.start_router(&router));
    }

    fn terminate_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        if router.runtime.borrow().is_none() {
            return;
        }
        router.stop.borrow().notify_one();
        let (router, incarnation) = (router.clone(), router.incarnation.get());
        self.after(self.plan.longest_deadline() + KILL_MARGIN, move |run| {
            if router.incarnation.get() == incarnation && router.runtime.borrow().is_some() {
                let mut checker = run.checker.borrow_mut();
                let text = "a router is still there when it is killed";
                checker.record_violation(Rule::Liveness, run.executor.now(), None, text.into());
                drop(checker);
                run.kill_router(&router, 50 * MILLI);
            }
        });
    }

    // ---- servers

    /// The list hears of it some time later.
    fn announce(self: &Rc<Self>, server: usize, health: Health, born_ms: u64, late: Time) {
        self.after(self.plan.notice_delay + late, move |run| {
            run.discovery.set(server, health, born_ms)
        });
    }

    fn born_now(&self) -> u64 {
        (UNIX_START + self.executor.now()) / 1_000
    }

    fn start_server(self: &Rc<Self>, server: usize, late: Time) {
        let born_ms = self.born_now();
        self.network.restore(self.servers[server].node);
        self.servers[server].start(born_ms);
        self.announce(server, Health::Up, born_ms, late);
    }

    // ---- faults

    fn schedule_faults(self: &Rc<Self>) {
        for fault in self.plan.faults.clone() {
            self.at(fault.at, move |run| run.begin(&fault));
        }
    }

    // ---- operators

    fn schedule_operator_actions(self: &Rc<Self>) {
        for &PlannedAction {
            action,
            at,
            duration,
        } in &self.plan.operator_actions
        {
            self.at(at, move |run| match action {
                OperatorAction::ServerOut(server) => run.disable_server(server, duration),
                OperatorAction::RouterDrain(router) => run.drain(router, duration),
            });
        }
    }

    /// Every router is told, one that is down as soon as it is back; the server is restarted meanwhile.
    fn disable_server(self: &Rc<Self>, server: usize, duration: Time) {
        self.set_admin_override(server, true);
        self.after(duration / 3, move |run| run.servers[server].kill(false));
        self.after(duration * 2 / 3, move |run| {
            run.start_server(server, 20 * MILLI)
        });
        self.after(duration, move |run| run.set_admin_override(server, false));
    }

    fn set_admin_override(self: &Rc<Self>, server: usize, is_disabled: bool) {
        let (now, name) = (
            self.executor.now(),
            ServerId::from(&format!("s-{server:02}")[..]),
        );
        for router in &self.routers {
            let admin_override = if is_disabled {
                AdminOverride::Disabled
            } else {
                AdminOverride::EnabledAt(Micros(UNIX_START + now))
            };
            router
                .admin_overrides
                .borrow_mut()
                .insert(name.clone(), admin_override);
            if let Some(runtime) = &*router.runtime.borrow() {
                // One that was just called out and has never heard of it is told all the same when it does.
                let _ = if is_disabled {
                    runtime.disable_server(&name.0)
                } else {
                    runtime.enable_server(&name.0)
                };
                runtime.apply_admin_overrides(router.admin_overrides.borrow().clone());
            }
            self.checker.borrow_mut().server_override_changed(
                now,
                router.index,
                server,
                is_disabled,
            );
        }
    }

    fn drain(self: &Rc<Self>, router: usize, duration: Time) {
        let runtime = self.routers[router].runtime.borrow().clone();
        runtime.iter().for_each(|runtime| runtime.drain_router());
        self.after(duration, move |run| {
            let runtime = run.routers[router].runtime.borrow().clone();
            runtime.iter().for_each(|runtime| runtime.resume_router());
        });
    }

    fn begin(self: &Rc<Self>, fault: &Fault) {
        let (now, duration) = (self.executor.now(), fault.duration);
        match fault.kind {
            FaultKind::RouterCrash => {
                for &router in &fault.targets {
                    self.kill_router(&self.routers[router], duration);
                }
            }
            FaultKind::RouterRoll => {
                for (turn, &router) in fault.targets.iter().enumerate() {
                    let router = self.routers[router].clone();
                    let gap = 50 * MILLI + (fault.size * 300.0) as Time * MILLI;
                    self.after(gap * turn as Time, move |run| run.terminate_router(&router));
                }
            }
            FaultKind::ServerCrash | FaultKind::ServerVanish => {
                let vanishes = fault.kind == FaultKind::ServerVanish;
                for &server in &fault.targets {
                    self.servers[server].kill(vanishes);
                    // The list says so if it is gone for long; else it shows a new start alone.
                    if duration > SECOND {
                        let born = self.servers[server].born_ms.get();
                        self.announce(server, Health::Removed, born, 0);
                    }
                    self.after(duration, move |run| run.start_server(server, 20 * MILLI));
                }
            }
            FaultKind::ServerDrain => {
                for &server in &fault.targets {
                    let born = self.servers[server].born_ms.get();
                    self.announce(server, Health::Draining, born, 0);
                    self.after(self.plan.notice_delay + 300 * MILLI, move |run| {
                        run.servers[server].drains.set(true)
                    });
                    self.after(self.plan.notice_delay + duration, move |run| {
                        run.announce(server, Health::Removed, born, 0);
                        run.servers[server].kill(false);
                        run.after(400 * MILLI, move |run| {
                            run.start_server(server, 300 * MILLI)
                        });
                    });
                }
            }
            FaultKind::OriginSlow => {
                self.shared.slow_origin(1.5 + 5.0 * fault.size);
                self.after(duration, |run| run.shared.slow_origin(0.0));
            }
            FaultKind::DiscoveryDown => {
                self.discovery.down_until.set(now + duration);
                self.discovery.end_watches();
            }
            FaultKind::DiscoveryFlaps => {
                for turn in 0..6 {
                    self.after(duration / 6 * turn, |run| run.discovery.end_watches());
                }
            }
            // Late news: connections to discovery crawl as if its zone were cut off for some time.
            FaultKind::DiscoveryLate => self.network.isolate_zone(0, now + duration / 2),
            FaultKind::ZoneCut => fault
                .targets
                .iter()
                .for_each(|&zone| self.network.isolate_zone(zone, now + duration)),
            FaultKind::Deaf => {
                for &server in &fault.targets {
                    self.network
                        .ignore_connects(self.servers[server].node, now + duration);
                }
            }
            FaultKind::LateDials => {
                // Most come up before the router has waited long enough, some do not.
                let by = (self.plan.dial_timeout as f64 * (0.4 + 0.7 * fault.size)) as Time;
                for &server in &fault.targets {
                    self.network
                        .delay_connects(self.servers[server].node, now + duration, by);
                }
            }
            FaultKind::SilentWatches => self.discovery.silence_watches(),
            FaultKind::ClockSteps => {
                for &router in &fault.targets {
                    let node = self.routers[router].node;
                    // Up to an hour, either way.
                    self.network
                        .set_clock(node, ((fault.size - 0.5) * 7.2e9) as i64);
                    self.after(duration, move |run| run.network.set_clock(node, 0));
                }
            }
            FaultKind::IdleReset => {
                for turn in 0..8 {
                    let targets = fault.targets.clone();
                    self.after(duration / 8 * turn, move |run| {
                        targets
                            .iter()
                            .for_each(|&server| run.servers[server].reset_idle());
                    });
                }
            }
            FaultKind::FastErrors => {
                self.set_server_fault(fault, |faults, size| faults.errors = size)
            }
            FaultKind::Spoils => self.set_server_fault(fault, |faults, size| faults.spoils = size),
            FaultKind::Full => self.set_server_fault(fault, |faults, size| faults.full = size),
            FaultKind::Hangs => {
                self.set_server_fault(fault, |faults, size| faults.hangs = size > 0.0)
            }
            FaultKind::ServerSlow => {
                self.set_server_fault(fault, |faults, size| faults.slow = 6.0 * size)
            }
            // These are in what clients do.
            FaultKind::ClientsLeave | FaultKind::ClientsPipeline | FaultKind::ClientsReadSlowly => {
            }
        }
    }

    fn set_server_fault(self: &Rc<Self>, fault: &Fault, set: fn(&mut ServerFaults, f64)) {
        let change = move |server: &Server, size: f64| {
            let mut faults = server.faults.get();
            set(&mut faults, size);
            server.faults.set(faults);
        };
        for &server in &fault.targets {
            change(&self.servers[server], 0.2 + 0.8 * fault.size);
            self.after(fault.duration, move |run| change(&run.servers[server], 0.0));
        }
    }

    // ---- clients

    fn schedule_requests(self: &Rc<Self>) {
        let mut taken = vec![false; self.plan.requests.len()];
        for index in 0..self.plan.requests.len() {
            if std::mem::replace(&mut taken[index], true) {
                continue;
            }
            let request = self.plan.requests[index].clone();
            let mut requests = vec![request.clone()];
            if let Some(fault) = self.active_fault(&request, FaultKind::ClientsPipeline) {
                // The next ones of this router come with it.
                let wanted = 2 + (fault.size * 5.0) as usize;
                for (later, next) in self
                    .plan
                    .requests
                    .iter()
                    .enumerate()
                    .skip(index + 1)
                    .take(40)
                {
                    let is_near =
                        next.router == request.router && next.at < request.at + 400 * MILLI;
                    if requests.len() < wanted
                        && is_near
                        && !std::mem::replace(&mut taken[later], true)
                    {
                        requests.push(PlannedRequest {
                            at: request.at,
                            ..next.clone()
                        });
                    }
                }
            }
            let behavior = self.client_behavior(&request);
            self.at(request.at, move |run| {
                run.clients[request.router].send(requests, behavior)
            });
        }
    }

    /// Crowds come on as many connections as they may, and their writers on one each.
    fn schedule_crowds(self: &Rc<Self>) {
        for crowd in &self.plan.crowds {
            let chunks = crowd
                .requests
                .chunks(CROWD_READ_COUNT / CROWD_CONNECTION_COUNT)
                .chain(crowd.writes.chunks(1));
            for chunk in chunks {
                let (first, requests) = (chunk[0].clone(), chunk.to_vec());
                let behavior = self.client_behavior(&first);
                self.at(first.at, move |run| {
                    run.clients[first.router].send_as_crowd(requests, behavior)
                });
            }
        }
    }

    fn client_behavior(&self, request: &PlannedRequest) -> ClientBehavior {
        let mut behavior = ClientBehavior::default();
        if self
            .active_fault(request, FaultKind::ClientsLeave)
            .is_some_and(|fault| request.fault_selector < 0.2 + 0.6 * fault.size)
        {
            behavior.leaves = Some(
                (request.timeout as f64 * request.fault_selector * request.fault_selector) as Time,
            );
        }
        if self
            .active_fault(request, FaultKind::ClientsReadSlowly)
            .is_some()
        {
            behavior.reads_late = (request.fault_selector * 600.0) as Time * MILLI;
        }
        behavior
    }

    fn active_fault(&self, request: &PlannedRequest, kind: FaultKind) -> Option<&Fault> {
        self.plan.faults.iter().find(|fault| {
            fault.kind == kind && (fault.at..fault.at + fault.duration).contains(&request.at)
        })
    }

    // ---- the end

    /// Once every deadline has passed, nothing may be left of any request, and nothing may have been given up on.
    fn check_end(&self) {
        let (now, mut checker) = (self.executor.now(), self.checker.borrow_mut());
        for router in &self.routers {
            let runtime = router.runtime.borrow().clone();
            let Some(runtime) = runtime else {
                checker.record_violation(
                    Rule::Liveness,
                    now,
                    None,
                    format!("router {} is not back", router.index),
                );
                continue;
            };
            let usage = runtime.resource_usage();
            let open = self.network.open_connections(router.node);
            let left = usage.unanswered_requests
                + usage.open_requests
                + usage.tracked_requests
                + usage.coalesced_waiters
                + usage.coalesced_flights;
            if left > 0 || usage.timers > IDLE_TIMER_COUNT {
                let text = format!(
                    "router {} still holds {usage:?} when all is over",
                    router.index
                );
                checker.record_violation(Rule::ResourceLimits, now, None, text);
            }
            // Its watch is one more.
            if open > usage.client_connections + usage.idle_upstream_connections + 1 {
                let text = format!(
                    "router {} holds {open} connections and knows of {usage:?}",
                    router.index
                );
                checker.record_violation(Rule::ResourceLimits, now, None, text);
            }
        }
        if let Some(CalmService { taken, served, .. }) = checker.calm
            && taken >= MIN_CALM_REQUEST_COUNT
            && (served as f64) < MIN_CALM_SERVED_RATIO * taken as f64
        {
            let text = format!("only {served} of {taken} requests were served once all was calm");
            checker.record_violation(Rule::Liveness, now, None, text);
        }
    }
}
