//! Router processes of a run: start, SIGTERM, crash, restart.

use super::{Run, deployment_parameters};
use crate::deployment::coalescing_rules;
use crate::executor::{Node, Time};
use crate::fault_plan::MILLI;
use crate::invariant_checker::{Role, Rule};
use crate::network::SimulatedEnvironment;
use crate::rng::SeededRng;
use crate::simulation::{Simulation, Subnet, address};
use load_balancer::deployment::Deployment;
use load_balancer::{AdminOverride, ServerId, WeightKind, ZoneId};
use router_runtime::{EndpointList, RouterConfig, RouterRuntime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// What the protocol leaves a router after SIGTERM, beside its longest deadline.
const KILL_MARGIN: Time = 700 * MILLI;
/// How long a router that ended after SIGTERM is away at least.
const RESTART_DOWNTIME: Time = 30 * MILLI;
/// How much longer each further router is away.
const RESTART_DOWNTIME_STEP: Time = 7 * MILLI;
/// How long a router that had to be killed after SIGTERM is away.
const KILLED_DOWNTIME: Time = 50 * MILLI;
/// The memory that a router may use.
const MEMORY_BYTES: usize = 64 << 20;
/// Random numbers of the first router's failing system calls.
const FAILING_CALLS_STREAM: u64 = 9_000;

/// A router's runtime on the simulated environment.
pub(super) type Runtime = RouterRuntime<SimulatedEnvironment>;

/// A router of a run, whether its process runs or not.
pub(super) struct RouterProcess {
    pub(super) number: usize,
    pub(super) node: Node,
    pub(super) address: SocketAddr,
    /// The runtime, while the process runs.
    pub(super) runtime: RefCell<Option<Rc<Runtime>>>,
    /// Stops the present process.
    stop: RefCell<Rc<Notify>>,
    /// Counts the starts.
    incarnation: Cell<u64>,
    /// What operators have disabled and enabled, as the process's file keeps it.
    pub(super) admin_overrides: RefCell<BTreeMap<ServerId, AdminOverride>>,
}

impl RouterProcess {
    /// A router that does not run yet.
    pub(super) fn new(
        simulation: &Simulation,
        number: usize,
        zone: usize,
        descriptor_limit: usize,
    ) -> RouterProcess {
        RouterProcess {
            number,
            node: simulation.add_machine(Role::Router(number), zone, descriptor_limit),
            address: address(Subnet::Routers, number, 6379),
            runtime: RefCell::new(None),
            stop: RefCell::default(),
            incarnation: Cell::new(0),
            admin_overrides: RefCell::default(),
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.runtime.borrow().is_some()
    }

    fn is_running_as(&self, incarnation: u64) -> bool {
        self.incarnation.get() == incarnation && self.is_running()
    }
}

impl Run {
    /// Lets system calls of the routers fail, where the plan wants it.
    pub(super) fn fail_system_calls(&self) {
        let ratio = self.plan.failing_calls_ratio;
        if ratio == 0.0 {
            return;
        }
        for router in &self.routers {
            let stream = FAILING_CALLS_STREAM + router.number as u64;
            let rng = SeededRng::new(self.plan.seed, stream);
            self.simulation
                .network
                .fail_system_calls_by_chance(router.node, ratio, rng);
        }
    }

    /// Starts a router's process with the list that its machine last had.
    pub(super) fn start_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        let list = self.discovery.known_to(router.node);
        self.simulation
            .checker
            .borrow_mut()
            .router_started(self.now(), router.number, &list);
        router.incarnation.set(router.incarnation.get() + 1);
        let endpoints = serde_json::from_str(&list).unwrap_or_default();
        let config = self.router_config(router, endpoints);
        let environment = self.simulation.network.environment(router.node);
        let runtime = match RouterRuntime::new(environment, config) {
            Ok(runtime) => Rc::new(runtime),
            Err(problem) => {
                let text = format!("a router does not start: {problem}");
                self.record_violation(Rule::Liveness, text);
                return;
            }
        };
        runtime.apply_admin_overrides(router.admin_overrides.borrow().clone());
        *router.runtime.borrow_mut() = Some(runtime.clone());
        self.spawn_router(router, runtime);
    }

    /// Spawns the process's main task. It belongs to the router's machine: it ends by itself after SIGTERM, or when the
    /// machine's process is killed.
    fn spawn_router(self: &Rc<Self>, router: &Rc<RouterProcess>, runtime: Rc<Runtime>) {
        let stop = Rc::new(Notify::new());
        *router.stop.borrow_mut() = stop.clone();
        let listener = self.simulation.network.listen(router.node, router.address);
        let incarnation = router.incarnation.get();
        let run = self.clone();
        let node = router.node;
        let router = router.clone();
        self.simulation.executor.spawn(node, async move {
            runtime
                .run(listener, async move { stop.notified().await })
                .await;
            // A process cannot end its own machine's tasks from within one.
            run.at(run.now(), move |run| run.router_ended(&router, incarnation));
        });
    }

    fn router_config(&self, router: &RouterProcess, endpoints: EndpointList) -> RouterConfig {
        let deployment = self.router_deployment(router);
        let stream = 1_000 + 100 * router.number as u64 + router.incarnation.get();
        let is_coalescing = self.plan.coalescing;
        RouterConfig {
            coalescing: is_coalescing
                .then(|| coalescing_rules(&deployment))
                .flatten(),
            deployment,
            seed: SeededRng::new(self.plan.seed, stream).next_u64(),
            discovery: self.discovery.address,
            initial_endpoints: endpoints,
            descriptor_limit: self.plan.descriptor_limit,
            memory_bytes: MEMORY_BYTES,
        }
    }

    fn router_deployment(&self, router: &RouterProcess) -> Deployment {
        let mut deployment = deployment_parameters(&self.plan).deployment();
        deployment.router_number = Some(router.number as u32);
        let settings = &mut deployment.settings;
        settings.routers = self.plan.routers.len() as u32;
        settings.zone = Some(ZoneId(self.plan.routers[router.number]));
        settings.over_quota_weight = 0.2;
        settings.weight_kind = WeightKind::Rough;
        deployment
    }

    /// The process has ended by itself: its machine closes what it held, and it is started again.
    fn router_ended(self: &Rc<Self>, router: &Rc<RouterProcess>, incarnation: u64) {
        if !router.is_running_as(incarnation) {
            return;
        }
        router.runtime.borrow_mut().take();
        self.simulation.executor.kill(router.node);
        self.simulation
            .checker
            .borrow_mut()
            .router_died(self.now(), router.number);
        let router = router.clone();
        let pause = RESTART_DOWNTIME + RESTART_DOWNTIME_STEP * router.number as Time;
        self.after(pause, move |run| run.start_router(&router));
    }

    /// Kills a router's process, which is started again after this time.
    pub(super) fn kill_router(self: &Rc<Self>, router: &Rc<RouterProcess>, back_after: Time) {
        if router.runtime.borrow_mut().take().is_none() {
            return;
        }
        // The checker is told first: the connections that the kill closes are not the router's fault.
        self.simulation
            .checker
            .borrow_mut()
            .router_died(self.now(), router.number);
        self.simulation.network.kill(router.node, false);
        let router = router.clone();
        self.after(back_after, move |run| run.start_router(&router));
    }

    /// Sends SIGTERM to a router, and SIGKILL where it is still there once its time is up.
    pub(super) fn terminate_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        if !router.is_running() {
            return;
        }
        router.stop.borrow().notify_one();
        let incarnation = router.incarnation.get();
        let router = router.clone();
        self.after(self.plan.longest_deadline() + KILL_MARGIN, move |run| {
            if router.is_running_as(incarnation) {
                let text = "a router is still there when it is killed";
                run.record_violation(Rule::Liveness, text.into());
                run.kill_router(&router, KILLED_DOWNTIME);
            }
        });
    }
}
