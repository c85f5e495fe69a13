//! One router on the virtual clock among scripted peers: for tests that need an event at an exact microsecond.
//!
//! Each way takes [`LATENCY`], without jitter or loss. What the peers do is set before or between runs of the clock; the
//! checker observes as in a drawn run.

mod cache_server;
mod client;
mod discovery;

pub use cache_server::{ReceivedRequest, ServerBehavior};
pub use client::{EncodedRequest, ReceivedChunk, ReceivedChunks};

use crate::UNIX_START;
use crate::deployment::{
    ClassParameters, DeploymentParameters, coalescing_parameters, coalescing_rules,
};
use crate::discovery::{ListEntry, list_json};
use crate::executor::{Executor, Node, Time};
use crate::fault_plan::{MILLI, SECOND};
use crate::invariant_checker::{InvariantChecker, Role, RuleParameters, ServerIdentity, Violation};
use crate::network::{
    DatagramConditions, Network, NetworkConditions, SimulatedEnvironment, SystemCall,
};
use crate::rng::SeededRng;
use crate::simulation::{Simulation, Subnet, address};
use cache_server::ScriptedServer;
use discovery::ScriptedDiscovery;
use router_runtime::{RouterConfig, RouterRuntime};
use std::cell::{Cell, RefCell, RefMut};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// One way between any two machines of a scenario, in microseconds.
pub const LATENCY: Time = 100;
/// How long a scenario's servers remember idempotency keys, in microseconds.
pub const DEDUPLICATION_WINDOW: Time = 400 * MILLI;
/// The deadline of a scenario's classes, in microseconds.
pub const DEADLINE: Time = 2 * SECOND;

/// Bytes that a connection of a scenario takes without their being read.
const RECEIVE_WINDOW_BYTES: usize = 65_536;
/// Descriptors of a scenario's peers.
const PEER_DESCRIPTOR_LIMIT: usize = 1_000;
/// Descriptors that the router's settings allow it.
const ROUTER_DESCRIPTOR_LIMIT: usize = 500;
/// The memory that the router may use.
const ROUTER_MEMORY_BYTES: usize = 64 << 20;
/// The port of every listener.
const PORT: u16 = 6379;
/// How long a server takes unless a test says otherwise, in microseconds.
const DEFAULT_SERVICE_TIME: Time = 5 * MILLI;
/// When the router's watch is up.
const READY_AT: Time = 100 * MILLI;

/// How the router of a scenario is configured.
#[derive(Clone, Copy, Default)]
struct ScenarioOptions {
    /// It coalesces identical reads.
    coalesces: bool,
    /// Discovery pushes its list.
    lists_are_pushed: bool,
}

/// One router among scripted peers.
pub struct Scenario {
    /// The clock.
    pub executor: Executor,
    /// The network.
    pub network: Network,
    /// The router's runtime.
    pub runtime: Rc<RouterRuntime<SimulatedEnvironment>>,
    checker: Rc<RefCell<InvariantChecker>>,
    servers: Vec<Rc<ScriptedServer>>,
    discovery: Rc<ScriptedDiscovery>,
    router: Node,
    router_address: SocketAddr,
    client: Node,
    stop: Rc<Notify>,
    has_ended: Rc<Cell<bool>>,
    last_request_id: Cell<u64>,
}

impl Scenario {
    /// A router and so many servers, all up since long ago. The seed draws the order of what falls due at one instant.
    pub fn new(server_count: usize, seed: u64) -> Scenario {
        Scenario::with_options(server_count, seed, ScenarioOptions::default())
    }

    /// The same where discovery pushes its list.
    pub fn with_push_discovery(server_count: usize, seed: u64) -> Scenario {
        let options = ScenarioOptions {
            lists_are_pushed: true,
            ..ScenarioOptions::default()
        };
        Scenario::with_options(server_count, seed, options)
    }

    /// The same with a router that coalesces identical reads.
    pub fn coalescing(server_count: usize, seed: u64) -> Scenario {
        let options = ScenarioOptions {
            coalesces: true,
            ..ScenarioOptions::default()
        };
        Scenario::with_options(server_count, seed, options)
    }

    fn with_options(server_count: usize, seed: u64, options: ScenarioOptions) -> Scenario {
        let simulation = new_simulation(server_count, seed, options);
        let add_machine = |role| simulation.add_machine(role, 0, PEER_DESCRIPTOR_LIMIT);
        let servers: Vec<Rc<ScriptedServer>> = (0..server_count)
            .map(|number| {
                let behavior = ServerBehavior::Serve(DEFAULT_SERVICE_TIME);
                let node = add_machine(Role::Server(number));
                let address = address(Subnet::Servers, number, PORT);
                Rc::new(ScriptedServer::new(node, address, behavior))
            })
            .collect();
        let router = add_machine(Role::Router(0));
        let discovery_node = add_machine(Role::Discovery);
        let client = add_machine(Role::Client);
        let list = initial_list(&servers);
        simulation.checker.borrow_mut().router_started(0, 0, &list);
        let config = router_config(seed, options, &list);
        let environment = simulation.network.environment(router);
        let runtime = match RouterRuntime::new(environment, config) {
            Ok(runtime) => Rc::new(runtime),
            Err(problem) => panic!("the scenario's settings are usable: {problem}"),
        };
        let scenario = Scenario {
            executor: simulation.executor,
            network: simulation.network,
            runtime,
            checker: simulation.checker,
            servers,
            discovery: Rc::new(ScriptedDiscovery::new()),
            router,
            router_address: address(Subnet::Routers, 0, PORT),
            client,
            stop: Rc::default(),
            has_ended: Rc::default(),
            last_request_id: Cell::new(0),
        };
        scenario.start(discovery_node);
        scenario
    }

    /// Starts all processes and waits until the router's watch is up.
    fn start(&self, discovery: Node) {
        for server in &self.servers {
            server.start(&self.executor, &self.network);
        }
        let address = address(Subnet::Discovery, 0, PORT);
        self.discovery
            .start(&self.executor, &self.network, discovery, address);
        self.spawn_router();
        self.executor.run_until(READY_AT);
    }

    /// Spawns the router's main task, which ends after [`Scenario::terminate`] or with the scenario.
    fn spawn_router(&self) {
        let listener = self.network.listen(self.router, self.router_address);
        let runtime = self.runtime.clone();
        let stop = self.stop.clone();
        let has_ended = self.has_ended.clone();
        self.executor.spawn(self.router, async move {
            runtime
                .run(listener, async move { stop.notified().await })
                .await;
            has_ended.set(true);
        });
    }

    /// Sends the router SIGTERM.
    pub fn terminate(&self) {
        self.stop.notify_one();
    }

    /// Whether the router has ended; its machine has closed what it held then.
    pub fn has_ended(&self) -> bool {
        if self.has_ended.get() {
            self.executor.kill(self.router);
        }
        self.has_ended.get()
    }

    /// Sets what a server does from now on.
    pub fn set_behavior(&self, server: usize, behavior: ServerBehavior) {
        *self.servers[server].behavior.borrow_mut() = behavior;
    }

    /// Sets what all servers do from now on.
    pub fn set_all_behaviors(&self, behavior: &ServerBehavior) {
        for server in &self.servers {
            *server.behavior.borrow_mut() = behavior.clone();
        }
    }

    /// Connections to this server take so many bytes without their being read.
    pub fn set_receive_window(&self, server: usize, bytes: usize) {
        let node = self.servers[server].node;
        self.network.set_receive_window(node, bytes);
    }

    /// The requests that a server has received whole.
    pub fn received_requests(&self, server: usize) -> Vec<ReceivedRequest> {
        self.servers[server].received_requests.borrow().clone()
    }

    /// How many requests all servers have received whole.
    pub fn total_received_requests(&self) -> usize {
        let counts = self
            .servers
            .iter()
            .map(|server| server.received_requests.borrow().len());
        counts.sum()
    }

    /// Connections that a server has accepted so far.
    pub fn accepted_connections(&self, server: usize) -> usize {
        self.servers[server].accepted_connections.get()
    }

    /// Discovery announces this of a server, so that it is at the router's machine at this time. `health` is as on the
    /// list, `born_ms` Unix time in milliseconds.
    pub fn announce_at(&self, at: Time, server: usize, health: &str, born_ms: u64) {
        let entry = list_entry(&self.servers[server], server, health, born_ms);
        self.discovery.announce(at - LATENCY, entry);
    }

    /// Watches that are open at this time send nothing from then on; a new one is answered.
    pub fn silence_watches_at(&self, at: Time) {
        self.discovery.silent_at.set(at);
    }

    /// Connections to this server come up this much later, in microseconds.
    pub fn delay_connects(&self, server: usize, delay: Time) {
        let node = self.servers[server].node;
        self.network.delay_connects(node, Time::MAX, delay);
    }

    /// The router's next calls of this kind fail with these error numbers, one after the other.
    pub fn fail_system_calls(&self, call: SystemCall, errors: &[i32]) {
        self.network.fail_system_calls(self.router, call, errors);
    }

    /// Watches that are open at this time are reset then.
    pub fn reset_watches_at(&self, at: Time) {
        self.discovery.reset_at.set(at);
    }

    /// Unix time in milliseconds, for a process that starts now.
    pub fn unix_now_ms(&self) -> u64 {
        (UNIX_START + self.executor.now()) / 1_000
    }

    /// Runs the clock up to this time.
    pub fn run_until(&self, at: Time) {
        self.executor.run_until(at);
    }

    /// The violations so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.checker.borrow().violations.clone()
    }

    /// The checker, for a test that tells it a fact.
    pub fn checker(&self) -> RefMut<'_, InvariantChecker> {
        self.checker.borrow_mut()
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        self.executor.end();
    }
}

fn new_simulation(server_count: usize, seed: u64, options: ScenarioOptions) -> Simulation {
    let parameters = RuleParameters {
        coalescing: options.coalesces.then(coalescing_parameters),
        lists_are_pushed: options.lists_are_pushed,
        ..rule_parameters()
    };
    Simulation::new(
        InvariantChecker::new(parameters, &server_identities(server_count), true),
        constant_latency_conditions(),
        SeededRng::new(seed, 1),
        SeededRng::new(seed, 2),
    )
}

/// The list that the router starts with.
fn initial_list(servers: &[Rc<ScriptedServer>]) -> String {
    let numbered = servers.iter().enumerate();
    let entries: Vec<String> = numbered
        .map(|(number, server)| list_entry(server, number, "up", 0))
        .collect();
    list_json(1, true, &entries)
}

fn list_entry(server: &ScriptedServer, number: usize, health: &str, born_ms: u64) -> String {
    let identity = server_identity(number);
    let entry = ListEntry {
        name: &identity.name,
        address: server.address,
        zone: identity.zone,
        health,
        born_ms,
    };
    entry.json()
}

fn router_config(seed: u64, options: ScenarioOptions, list: &str) -> RouterConfig {
    let parameters = DeploymentParameters {
        lists_are_pushed: options.lists_are_pushed,
        ..deployment_parameters()
    };
    let deployment = parameters.deployment();
    RouterConfig {
        coalescing: options
            .coalesces
            .then(|| coalescing_rules(&deployment))
            .flatten(),
        deployment,
        seed,
        discovery: address(Subnet::Discovery, 0, PORT),
        initial_endpoints: serde_json::from_str(list).unwrap_or_default(),
        descriptor_limit: ROUTER_DESCRIPTOR_LIMIT,
        memory_bytes: ROUTER_MEMORY_BYTES,
    }
}

fn server_identity(number: usize) -> ServerIdentity {
    ServerIdentity {
        name: format!("s-{number:02}"),
        zone: number % 2,
    }
}

/// The servers of a scenario, by turns in one of two zones.
pub fn server_identities(count: usize) -> Vec<ServerIdentity> {
    (0..count).map(server_identity).collect()
}

/// A network on which each way takes [`LATENCY`].
pub fn constant_latency_conditions() -> NetworkConditions {
    NetworkConditions {
        latency_within_zone: LATENCY - 1,
        latency_between_zones: LATENCY - 1,
        jitter_ratio: 0.0,
        loss_ratio: 0.0,
        split_ratio: 0.0,
        receive_window: RECEIVE_WINDOW_BYTES,
        datagrams: DatagramConditions::default(),
    }
}

/// The parameters of the rules in a scenario whose router does not coalesce.
pub fn rule_parameters() -> RuleParameters {
    deployment_parameters().rule_parameters(RECEIVE_WINDOW_BYTES)
}

fn deployment_parameters() -> DeploymentParameters {
    let class = ClassParameters {
        deadline: DEADLINE,
        priority_weight: 1.0,
    };
    DeploymentParameters {
        lists_are_pushed: false,
        zone_count: 2,
        classes: [class; 4],
        latency_objective: SECOND / 2,
        deduplication_window: DEDUPLICATION_WINDOW,
        initial_capacity_ratio: 0.3,
        slow_start_duration: 4 * SECOND,
        overload_multiple: 2.0,
        overload_duration: SECOND,
        hedging: true,
        idle_timeout: 15 * SECOND,
        dial_timeout: 300 * MILLI,
    }
}
