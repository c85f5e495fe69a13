//! Simulates a run: executes a plan with the real runtime as every router and with models of all
//! other processes, and reports the result.

mod end_check;
mod faults;
mod operators;
mod overloaded_discovery;
mod routers;
mod traffic;

use crate::clients::Clients;
use crate::deployment::{ClassParameters, DeploymentParameters, coalescing_parameters};
use crate::discovery::{Discovery, Health};
use crate::executor::Time;
use crate::fault_plan::{Crowd, RunPlan};
use crate::fleet::{FleetState, Server};
use crate::invariant_checker::{
    Counts, InvariantChecker, OverloadSlack, Role, Rule, RuleParameters, ServerIdentity,
    ServiceAfterFaults, Violation,
};
use crate::rng::SeededRng;
use crate::simulation::{Simulation, Subnet, address};
use crate::wire;
use router_runtime::environment::Environment;
use routers::RouterProcess;
use std::rc::Rc;

pub use overloaded_discovery::{OverloadedDiscovery, Recovery};

/// The result of a run.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed of the plan.
    pub seed: u64,
    /// A digest of all steps, equal for equal runs.
    pub digest: u64,
    /// The number of steps on the wire.
    pub steps: u64,
    /// Totals of the run.
    pub counts: Counts,
    /// Requests answered after all faults are over.
    pub after_faults: ServiceAfterFaults,
    /// The number of attempts for each crowd of the plan. Retries by the clients do not count.
    pub crowd_attempts: Vec<u64>,
    /// The first violations of the rules.
    pub violations: Vec<Violation>,
    /// The lines of the trace, if it is recorded.
    pub trace: Vec<String>,
}

/// What is recorded of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recording {
    /// Only violations.
    Violations,
    /// Every step on the wire.
    Trace,
}

/// Work beyond the overload limit that random arrivals may bring, in mean requests.
const OVERLOAD_SLACK_REQUEST_COUNT: f64 = 6.0;

/// Executes a plan to its end, or until tasks wake one another without the clock advancing.
pub fn simulate(plan: &RunPlan, recording: Recording) -> Report {
    let plan = Rc::new(plan.clone());
    execute(&plan, rule_parameters(&plan), recording)
}

/// Executes a plan of a large fleet like [`simulate`]. The overload slack is the one of STANDING,
/// which depends on the mean work of a request and so needs servers of equal speed.
pub fn simulate_large_fleet(plan: &RunPlan, recording: Recording) -> Report {
    let plan = Rc::new(plan.clone());
    let speed = plan.servers.first().map_or(1.0, |server| server.speed);
    let parameters = RuleParameters {
        overload_slack: OverloadSlack::Requests {
            mean_work: plan.mean_work / speed,
        },
        ..rule_parameters(&plan)
    };
    execute(&plan, parameters, recording)
}

fn execute(plan: &Rc<RunPlan>, parameters: RuleParameters, recording: Recording) -> Report {
    let run = Run::with_parameters(plan, parameters, recording);
    run.fail_system_calls();
    run.schedule_faults();
    run.schedule_operator_actions();
    run.schedule_requests();
    run.schedule_crowds();
    if run.simulation.executor.run_until(plan.end_time()) {
        run.check_end();
    } else {
        run.record_violation(
            Rule::Liveness,
            "tasks wake one another without the clock advancing".into(),
        );
    }
    let report = build_report(plan, &mut run.simulation.checker.borrow_mut());
    run.simulation.executor.end();
    report
}

fn build_report(plan: &RunPlan, checker: &mut InvariantChecker) -> Report {
    let crowd_attempts = plan
        .crowds
        .iter()
        .map(|crowd| crowd_attempts(checker, crowd));
    Report {
        seed: plan.seed,
        digest: checker.digest(),
        steps: checker.steps(),
        counts: checker.counts,
        after_faults: checker.after_faults.unwrap_or_default(),
        crowd_attempts: crowd_attempts.collect(),
        violations: std::mem::take(&mut checker.violations),
        trace: checker.trace().collect(),
    }
}

fn crowd_attempts(checker: &InvariantChecker, crowd: &Crowd) -> u64 {
    let key = crowd.requests.first().map(|request| request.key);
    let key = key.map(wire::key_bytes).unwrap_or_default();
    checker.crowd_attempts.get(&key).copied().unwrap_or(0)
}

fn deployment_parameters(plan: &RunPlan) -> DeploymentParameters {
    let class = |class: usize| ClassParameters {
        deadline: plan.deadline(class),
        priority_weight: if class == 0 { 1.0 } else { 8.0 },
    };
    DeploymentParameters {
        lists_are_pushed: plan.lists_are_pushed,
        zone_count: 3,
        classes: [class(0), class(1), class(2), class(3)],
        latency_objective: plan.latency_objective,
        deduplication_window: plan.deduplication_window,
        initial_capacity_ratio: plan.initial_capacity_ratio,
        slow_start_duration: plan.slow_start_duration,
        overload_multiple: plan.overload_multiple,
        overload_duration: plan.overload_duration,
        hedging: plan.hedging,
        idle_timeout: plan.idle_timeout,
        dial_timeout: plan.dial_timeout,
    }
}

fn rule_parameters(plan: &RunPlan) -> RuleParameters {
    let crowd_requests = plan.crowds.iter().flat_map(|crowd| &crowd.requests);
    let crowd_ids = crowd_requests.map(|request| wire::request_id(request.number, 0));
    RuleParameters {
        overload_slack: OverloadSlack::Work(OVERLOAD_SLACK_REQUEST_COUNT * plan.mean_work),
        coalescing: plan.coalescing.then(coalescing_parameters),
        first_crowd_request_id: crowd_ids.min().unwrap_or(u64::MAX),
        ..deployment_parameters(plan).rule_parameters(plan.conditions.receive_window)
    }
}

fn server_identities(plan: &RunPlan) -> Vec<ServerIdentity> {
    let numbered = plan.servers.iter().enumerate();
    let identities = numbered.map(|(number, server)| ServerIdentity {
        name: format!("s-{number:02}"),
        zone: server.zone,
    });
    identities.collect()
}

/// A run with all its simulated processes.
struct Run {
    plan: Rc<RunPlan>,
    simulation: Simulation,
    fleet: Rc<FleetState>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    routers: Vec<Rc<RouterProcess>>,
    clients: Vec<Rc<Clients>>,
}

impl Run {
    /// Creates a run at time 0 with all processes started.
    fn new(plan: &Rc<RunPlan>, recording: Recording) -> Rc<Run> {
        Run::with_parameters(plan, rule_parameters(plan), recording)
    }

    fn with_parameters(
        plan: &Rc<RunPlan>,
        parameters: RuleParameters,
        recording: Recording,
    ) -> Rc<Run> {
        let simulation = new_simulation(plan, parameters, recording);
        let fleet = FleetState::new(simulation.clone(), plan.clone());
        let servers = new_servers(plan, &simulation, &fleet);
        let discovery = Discovery::start(
            simulation.clone(),
            address(Subnet::Discovery, 0, 8500),
            &servers,
        );
        for server in &servers {
            server.start(0);
        }
        let mut routers = Vec::new();
        let mut clients = Vec::new();
        for (number, &zone) in plan.routers.iter().enumerate() {
            let router = RouterProcess::new(&simulation, number, zone, plan.descriptor_limit);
            fleet.register_router(router.node, number);
            let node = simulation.add_machine(Role::Client, zone, usize::MAX);
            let simulation = simulation.clone();
            clients.push(Clients::new(simulation, node, router.address, plan.clone()));
            routers.push(Rc::new(router));
        }
        let run = Rc::new(Run {
            plan: plan.clone(),
            simulation,
            fleet,
            servers,
            discovery,
            routers,
            clients,
        });
        for router in &run.routers {
            run.start_router(router);
        }
        run
    }

    fn now(&self) -> Time {
        self.simulation.executor.now()
    }

    /// Schedules an action at this time.
    fn at(self: &Rc<Self>, time: Time, action: impl FnOnce(&Rc<Run>) + 'static) {
        let run = self.clone();
        self.simulation.executor.call_at(time, move || action(&run));
    }

    /// Schedules an action after this delay, in microseconds.
    fn after(self: &Rc<Self>, delay: Time, action: impl FnOnce(&Rc<Run>) + 'static) {
        self.at(self.now() + delay, action);
    }

    fn record_violation(&self, rule: Rule, text: String) {
        let now = self.now();
        let mut checker = self.simulation.checker.borrow_mut();
        checker.record_violation(rule, now, None, text);
    }

    /// Changes a server's entry in discovery's list after the announcement delay of the plan and a
    /// further delay.
    fn announce(self: &Rc<Self>, server: usize, health: Health, born_ms: u64, delay: Time) {
        self.after(self.plan.announcement_delay + delay, move |run| {
            run.discovery.set_endpoint(server, health, born_ms);
        });
    }

    /// Starts a server's process. The list shows it after the announcement delay of the plan and
    /// `extra_delay`.
    fn start_server(self: &Rc<Self>, server: usize, extra_delay: Time) {
        let node = self.servers[server].node;
        let clock = self.simulation.network.environment(node).wall_now();
        let born_ms = clock.unix_micros() / 1_000;
        self.simulation.network.restore(node);
        self.servers[server].start(born_ms);
        self.announce(server, Health::Up, born_ms, extra_delay);
    }
}

fn new_simulation(plan: &RunPlan, parameters: RuleParameters, recording: Recording) -> Simulation {
    let is_recording = recording == Recording::Trace;
    let mut checker = InvariantChecker::new(parameters, &server_identities(plan), is_recording);
    checker.after_faults = Some(ServiceAfterFaults {
        since: plan.recovered_by,
        ..ServiceAfterFaults::default()
    });
    Simulation::new(
        checker,
        plan.conditions,
        SeededRng::new(plan.seed, 5),
        SeededRng::new(plan.seed, 6),
    )
}

fn new_servers(plan: &RunPlan, simulation: &Simulation, fleet: &Rc<FleetState>) -> Vec<Rc<Server>> {
    let numbered = plan.servers.iter().enumerate();
    let servers = numbered.map(|(number, server)| {
        let node = simulation.add_machine(Role::Server(number), server.zone, usize::MAX);
        Server::new(number, node, server.clone(), fleet.clone())
    });
    servers.collect()
}
