//! One router on the virtual clock with scripted clients, cache servers and discovery, for tests
//! that need an event at an exact microsecond.
//!
//! Packets take [`LATENCY`] in each direction, without jitter or loss. A test sets the behavior of
//! the peers before it advances the clock. The invariant checker observes the network as in a
//! random run.

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

/// The one-way latency between any two machines of a scenario, in microseconds.
pub const LATENCY: Time = 100;
/// The deduplication window of a scenario's servers, in microseconds.
pub const DEDUPLICATION_WINDOW: Time = 400 * MILLI;
/// The deadline of a scenario's classes, in microseconds.
pub const DEADLINE: Time = 2 * SECOND;

/// How many bytes can be in transit or unread in one direction of a scenario's connections.
const RECEIVE_WINDOW_BYTES: usize = 65_536;
/// The descriptor limit of each machine of a scenario.
const PEER_DESCRIPTOR_LIMIT: usize = 1_000;
/// The descriptor limit in the router's configuration.
const ROUTER_DESCRIPTOR_LIMIT: usize = 500;
/// The memory limit in the router's configuration.
const ROUTER_MEMORY_BYTES: usize = 64 << 20;
/// The port on which every process listens.
const PORT: u16 = 6379;
/// The default service time of a server, in microseconds.
const DEFAULT_SERVICE_TIME: Time = 5 * MILLI;
/// The time at which the router's watch is established, in microseconds.
const READY_AT: Time = 100 * MILLI;

/// The configuration of a scenario's router.
#[derive(Clone, Copy, Default)]
struct ScenarioOptions {
    /// Whether the router coalesces identical reads.
    coalesces: bool,
    /// Whether discovery pushes its list to the router.
    lists_are_pushed: bool,
}

/// A simulation of one router with scripted peers.
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
    /// Creates a scenario with a router and a number of servers, all up since long ago. The seed
    /// determines the order of tasks and timers that are due at the same time.
    pub fn new(server_count: usize, seed: u64) -> Scenario {
        Scenario::with_options(server_count, seed, ScenarioOptions::default())
    }

    /// Creates a scenario like [`Scenario::new`] in which discovery pushes its list to the router.
    pub fn with_push_discovery(server_count: usize, seed: u64) -> Scenario {
        let options = ScenarioOptions {
            lists_are_pushed: true,
            ..ScenarioOptions::default()
        };
        Scenario::with_options(server_count, seed, options)
    }

    /// Creates a scenario like [`Scenario::new`] in which the router coalesces identical reads.
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
            Err(problem) => panic!("the scenario's router configuration is invalid: {problem}"),
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

    /// Starts all processes and runs until the router's watch is established.
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

    /// Spawns the router's main task, which ends after [`Scenario::terminate`] or with the
    /// scenario.
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

    /// Whether the router's main task has ended. If so, the router's process is killed, which
    /// closes its connections.
    pub fn has_ended(&self) -> bool {
        if self.has_ended.get() {
            self.executor.kill(self.router);
        }
        self.has_ended.get()
    }

    /// Sets the behavior of a server from now on.
    pub fn set_behavior(&self, server: usize, behavior: ServerBehavior) {
        *self.servers[server].behavior.borrow_mut() = behavior;
    }

    /// Sets the behavior of all servers from now on.
    pub fn set_all_behaviors(&self, behavior: &ServerBehavior) {
        for server in &self.servers {
            *server.behavior.borrow_mut() = behavior.clone();
        }
    }

    /// Sets how many bytes a server's machine receives on a connection before the server reads
    /// them.
    pub fn set_receive_window(&self, server: usize, bytes: usize) {
        let node = self.servers[server].node;
        self.network.set_receive_window(node, bytes);
    }

    /// The requests that a server has received completely.
    pub fn received_requests(&self, server: usize) -> Vec<ReceivedRequest> {
        self.servers[server].received_requests.borrow().clone()
    }

    /// The number of requests that all servers together have received completely.
    pub fn total_received_requests(&self) -> usize {
        let counts = self
            .servers
            .iter()
            .map(|server| server.received_requests.borrow().len());
        counts.sum()
    }

    /// The number of connections that a server has accepted so far.
    pub fn accepted_connections(&self, server: usize) -> usize {
        self.servers[server].accepted_connections.get()
    }

    /// Schedules a change of a server's list entry, so that it arrives at the router's machine at
    /// this time. `health` has the spelling of the list, and `born_ms` is in Unix milliseconds.
    pub fn announce_at(&self, at: Time, server: usize, health: &str, born_ms: u64) {
        let entry = list_entry(&self.servers[server], server, health, born_ms);
        self.discovery.announce(at - LATENCY, entry);
    }

    /// Makes the watches that are open at this time stop sending then. Later watches are served.
    pub fn silence_watches_at(&self, at: Time) {
        self.discovery.silent_at.set(at);
    }

    /// Delays connection attempts to a server by `delay` microseconds.
    pub fn delay_connects(&self, server: usize, delay: Time) {
        let node = self.servers[server].node;
        self.network.delay_connects(node, Time::MAX, delay);
    }

    /// Makes the router's next calls of this kind fail with these error numbers in turn.
    pub fn fail_system_calls(&self, call: SystemCall, errors: &[i32]) {
        self.network.fail_system_calls(self.router, call, errors);
    }

    /// Resets the watches that are open at this time. Later watches are served.
    pub fn reset_watches_at(&self, at: Time) {
        self.discovery.reset_at.set(at);
    }

    /// The current Unix time in milliseconds, as the start of a process on the list.
    pub fn unix_now_ms(&self) -> u64 {
        (UNIX_START + self.executor.now()) / 1_000
    }

    /// Runs the simulation up to a time.
    pub fn run_until(&self, at: Time) {
        self.executor.run_until(at);
    }

    /// The violations that the checker has found so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.checker.borrow().violations.clone()
    }

    /// The checker, for tests that report an event to it directly.
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

/// The endpoint list with which the router starts.
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

/// The identities of a scenario's servers, which alternate between two zones.
pub fn server_identities(count: usize) -> Vec<ServerIdentity> {
    (0..count).map(server_identity).collect()
}

/// Network conditions with a constant one-way latency of [`LATENCY`] and no loss.
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

/// The rule parameters of a scenario whose router does not coalesce reads.
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
