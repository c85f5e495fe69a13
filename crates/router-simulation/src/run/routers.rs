//! Router processes of a run: start, SIGTERM, crash and restart.

use super::operators::restore_overrides;
use super::{Run, deployment_parameters};
use crate::deployment::coalescing_rules;
use crate::executor::{Node, Time};
use crate::fault_plan::MILLI;
use crate::invariant_checker::{Role, Rule};
use crate::network::SimulatedEnvironment;
use crate::rng::SeededRng;
use crate::simulation::{Simulation, Subnet, address};
use load_balancer::deployment::Deployment;
use load_balancer::{ServerId, WeightKind, ZoneId};
use router_runtime::{EndpointList, RouterConfig, RouterRuntime};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// How long after SIGTERM a router is killed, beside its longest deadline, as the protocol allows.
const KILL_MARGIN: Time = 700 * MILLI;
/// The downtime of the first router after it ends on SIGTERM.
const RESTART_DOWNTIME: Time = 30 * MILLI;
/// By how much the downtime grows with each further router.
const RESTART_DOWNTIME_STEP: Time = 7 * MILLI;
/// The downtime of a router that was killed because it did not end on SIGTERM.
const KILLED_DOWNTIME: Time = 50 * MILLI;
/// The memory limit of a router.
const MEMORY_BYTES: usize = 64 << 20;
/// The random number stream for the first router's failing system calls.
const FAILING_CALLS_STREAM: u64 = 9_000;

/// A router's runtime on the simulated environment.
pub(super) type Runtime = RouterRuntime<SimulatedEnvironment>;

/// A router of a run, whether or not its process runs.
pub(super) struct RouterProcess {
    pub(super) number: usize,
    pub(super) node: Node,
    pub(super) address: SocketAddr,
    /// The runtime, while the process runs.
    pub(super) runtime: RefCell<Option<Rc<Runtime>>>,
    /// Stops the current process.
    stop: RefCell<Rc<Notify>>,
    /// The number of starts.
    incarnation: Cell<u64>,
    /// The operators' overrides, as the process's state file keeps them.
    /// True for a disabled server, false for one that was enabled again.
    pub(super) overrides: RefCell<BTreeMap<ServerId, bool>>,
}

impl RouterProcess {
    /// Creates a router whose process does not run yet.
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
            overrides: RefCell::default(),
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
    /// Makes system calls of the routers fail at the plan's ratio.
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
                .fail_system_calls_randomly(router.node, ratio, rng);
        }
    }

    /// Starts a router's process with the last list that its machine received.
    pub(super) fn start_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        let list = self.discovery.last_list_sent_to(router.node);
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
            Err(error) => {
                let text = format!("a router does not start: {error}");
                self.record_violation(Rule::Liveness, text);
                return;
            }
        };
        restore_overrides(router, &runtime);
        *router.runtime.borrow_mut() = Some(runtime.clone());
        self.spawn_router(router, runtime);
    }

    /// Spawns the process's main task on the router's machine. The task ends after SIGTERM, or when
    /// the machine's process is killed.
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
            // A task must not kill the tasks of its own machine.
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

    /// Records that the process has ended on SIGTERM: its machine closes its connections, and it is
    /// started again.
    fn router_ended(self: &Rc<Self>, router: &Rc<RouterProcess>, incarnation: u64) {
        if !router.is_running_as(incarnation) {
            return;
        }
        router.runtime.borrow_mut().take();
        self.simulation.executor.kill(router.node);
        self.simulation
            .checker
            .borrow_mut()
            .router_process_ended(self.now(), router.number);
        let router = router.clone();
        let downtime = RESTART_DOWNTIME + RESTART_DOWNTIME_STEP * router.number as Time;
        self.after(downtime, move |run| run.start_router(&router));
    }

    /// Kills a router's process, and starts it again after a downtime.
    pub(super) fn kill_router(self: &Rc<Self>, router: &Rc<RouterProcess>, downtime: Time) {
        if router.runtime.borrow_mut().take().is_none() {
            return;
        }
        // The checker has to know before the kill closes connections: their clients' requests then
        // need no answer.
        self.simulation
            .checker
            .borrow_mut()
            .router_process_ended(self.now(), router.number);
        self.simulation.network.kill(router.node, false);
        let router = router.clone();
        self.after(downtime, move |run| run.start_router(&router));
    }

    /// Sends SIGTERM to a router, and SIGKILL if its process still runs at the end of its time.
    pub(super) fn terminate_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        if !router.is_running() {
            return;
        }
        router.stop.borrow().notify_one();
        let incarnation = router.incarnation.get();
        let router = router.clone();
        self.after(self.plan.longest_deadline() + KILL_MARGIN, move |run| {
            if router.is_running_as(incarnation) {
                let text = "a router still runs when it is killed after SIGTERM";
                run.record_violation(Rule::Liveness, text.into());
                run.kill_router(&router, KILLED_DOWNTIME);
            }
        });
    }
}
