//! One router on the virtual clock among scripted peers: for tests that need an event at an exact microsecond.
//!
//! Every way takes [`LATENCY`], without jitter or loss. What the peers do is said before or between runs of the clock;
//! the invariant checker watches as on a drawn run.

use crate::UNIX_START;
use crate::discovery::{entry, list};
use crate::executor::{Executor, Node, Time};
use crate::fault_plan::{CLASSES, MILLI, SECOND};
use crate::invariant_checker::{
    CoalescingParameters, DeduplicationScope as CheckedScope, Idempotency as CheckedIdempotency,
    InvariantChecker, Role, RuleParameters, ServerIdentity, Violation,
};
use crate::network::{
    DatagramConditions, Network, NetworkConditions, Observer, SimulatedEnvironment, SimulatedStream,
};
use crate::rng::SeededRng;
use crate::run::coalescing_rules;
use crate::wire::{CacheRequest, Command, FrameDecoder, command, value_for};
use load_balancer::deployment::{Deployment, Names};
use load_balancer::{
    Class, DeduplicationScope, Discovery as Listing, Idempotency, Limits, LoadReportFormat, Micros,
    Rules, Settings, Tenant,
};
use router_runtime::environment::Environment;
use router_runtime::{EndpointList, RouterConfig, RouterRuntime};
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// One way between any two machines of a scenario.
pub const LATENCY: Time = 100;
/// How long a scenario's servers remember keyed requests.
pub const DEDUPLICATION_WINDOW: Time = 400 * MILLI;
/// The longest deadline of a scenario's classes.
pub const DEADLINE: Time = 2 * SECOND;

/// What a scripted cache server does with a command.
#[derive(Clone, Debug)]
pub enum ServerBehavior {
    /// Serves it after so long.
    Serves(Time),
    /// The same with a value of so many bytes.
    ServesLarge(Time, usize),
    /// Says this after so long.
    Says(Time, &'static [u8]),
    /// Serves it after so long, and says the same once more so much later.
    ServesTwice(Time, Time),
    /// Says nothing.
    Nothing,
    /// Resets the connection after so long.
    Resets(Time),
    /// Does not read, and resets the connection so long after it came.
    NeverReads(Time),
}

struct Peer {
    node: Node,
    address: SocketAddr,
    behavior: RefCell<ServerBehavior>,
    received_requests: RefCell<Vec<(Time, CacheRequest)>>,
    accepted_connections: Cell<usize>,
}

/// What a client was told, and when.
pub type ReceivedChunks = Rc<RefCell<Vec<(Time, Vec<u8>)>>>;

/// See the module.
pub struct Scenario {
    /// The clock.
    pub executor: Executor,
    /// The network.
    pub network: Network,
    checker: Rc<RefCell<InvariantChecker>>,
    peers: Vec<Rc<Peer>>,
    router: Node,
    address: SocketAddr,
    client: Node,
    /// The runtime, while it runs.
    pub runtime: Rc<RouterRuntime<SimulatedEnvironment>>,
    stop: Rc<Notify>,
    has_ended: Rc<Cell<bool>>,
    announcements: Rc<RefCell<Vec<(Time, String)>>>,
    /// Watches opened before it say nothing from then on.
    silent_at: Rc<Cell<Time>>,
    last_request_id: Cell<u64>,
}

impl Scenario {
    /// A router and so many servers, all up since long ago; the order in which things of one instant happen is drawn
    /// from the seed.
    pub fn new(servers: usize, seed: u64) -> Scenario {
        Scenario::set_up(servers, seed, false, false)
    }

    /// The same where lists are pushed.
    pub fn with_push_discovery(servers: usize, seed: u64) -> Scenario {
        Scenario::set_up(servers, seed, false, true)
    }

    /// The same with a router that joins identical reads.
    pub fn coalescing(servers: usize, seed: u64) -> Scenario {
        Scenario::set_up(servers, seed, true, false)
    }

    fn set_up(
        servers: usize,
        seed: u64,
        is_coalescing: bool,
        uses_push_discovery: bool,
    ) -> Scenario {
        let executor = Executor::new(SeededRng::new(seed, 1));
        let identities = server_identities(servers);
        let coalescing_parameters = CoalescingParameters {
            class: CLASSES[0].to_string(),
            flights: 2,
        };
        let judged = RuleParameters {
            coalescing: is_coalescing.then_some(coalescing_parameters),
            ..rule_parameters()
        };
        let checker = Rc::new(RefCell::new(InvariantChecker::new(
            judged,
            &identities,
            true,
        )));
        let conditions = calm();
        let observer: Rc<RefCell<dyn Observer>> = checker.clone();
        let network = Network::new(
            executor.clone(),
            observer,
            conditions,
            SeededRng::new(seed, 2),
        );
        let add_machine = |role| {
            checker.borrow_mut().add_machine(role);
            network.add_machine(0, 1_000)
        };
        let address =
            |a: u8, b: usize| SocketAddr::from((Ipv4Addr::new(10, a, 0, b as u8 + 1), 6379));
        let peers: Vec<Rc<Peer>> = (0..servers)
            .map(|i| {
                let (node, behavior) = (
                    add_machine(Role::Server(i)),
                    RefCell::new(ServerBehavior::Serves(5 * MILLI)),
                );
                let (received_requests, accepted_connections) = (RefCell::default(), Cell::new(0));
                Rc::new(Peer {
                    node,
                    address: address(1, i),
                    behavior,
                    received_requests,
                    accepted_connections,
                })
            })
            .collect();
        let (router, discovery, client) = (
            add_machine(Role::Router(0)),
            add_machine(Role::Discovery),
            add_machine(Role::Client),
        );
        let known = list(
            1,
            true,
            &(0..servers)
                .map(|i| {
                    entry(
                        &identities[i].name,
                        peers[i].address,
                        identities[i].zone,
                        "up",
                        0,
                    )
                })
                .collect::<Vec<_>>(),
        );
        checker.borrow_mut().router_started(0, 0, &known);
        let announcements = Rc::new(RefCell::new(Vec::new()));
        let mut deployment = deployment();
        if uses_push_discovery {
            deployment.settings.discovery = Listing::Push;
        }
        let coalescing = is_coalescing
            .then(|| coalescing_rules(&deployment))
            .flatten();
        let start = RouterConfig {
            deployment,
            seed,
            discovery: address(2, 0),
            initial_endpoints: serde_json::from_str::<EndpointList>(&known).unwrap_or_default(),
            descriptor_limit: 500,
            memory_bytes: 64 << 20,
            coalescing,
        };
        let runtime = match RouterRuntime::new(network.environment(router), start) {
            Ok(runtime) => Rc::new(runtime),
            Err(problem) => panic!("the scene's settings are usable: {problem}"),
        };
        let scenario = Scenario {
            stop: Rc::default(),
            has_ended: Rc::default(),
            address: address(3, 0),
            last_request_id: Cell::new(0),
            executor,
            network,
            checker,
            peers,
            router,
            client,
            runtime,
            announcements,
            silent_at: Rc::new(Cell::new(Time::MAX)),
        };
        for peer in &scenario.peers {
            scenario.serve(peer);
        }
        scenario.discover(discovery, address(2, 0));
        let listener = scenario.network.listen(router, scenario.address);
        let (runtime, stop, ended) = (
            scenario.runtime.clone(),
            scenario.stop.clone(),
            scenario.has_ended.clone(),
        );
        scenario.executor.spawn(router, async move {
            runtime
                .run(listener, async move { stop.notified().await })
                .await;
            ended.set(true);
        });
        // The watch is up.
        scenario.executor.run_until(100 * MILLI);
        scenario
    }

    /// The router is told to stop.
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

    /// What a server does from now on.
    pub fn set_behavior(&self, server: usize, behavior: ServerBehavior) {
        *self.peers[server].behavior.borrow_mut() = behavior;
    }

    /// What all servers do from now on.
    pub fn set_all_behaviors(&self, behavior: &ServerBehavior) {
        (0..self.peers.len()).for_each(|server| self.set_behavior(server, behavior.clone()));
    }

    /// Connections to this server take so many bytes without their being read.
    pub fn set_receive_window(&self, server: usize, window: usize) {
        self.network
            .set_receive_window(self.peers[server].node, window);
    }

    /// The commands that a server has had whole, and when.
    pub fn received_requests(&self, server: usize) -> Vec<(Time, CacheRequest)> {
        self.peers[server].received_requests.borrow().clone()
    }

    /// All commands that all servers have had whole.
    pub fn total_received_requests(&self) -> usize {
        self.peers
            .iter()
            .map(|peer| peer.received_requests.borrow().len())
            .sum()
    }

    /// Connections that a server has taken so far.
    pub fn accepted_connections(&self, server: usize) -> usize {
        self.peers[server].accepted_connections.get()
    }

    /// Discovery says this of a server, so that it is at the router's machine at this time.
    pub fn announce_at(&self, at: Time, server: usize, health: &str, born_ms: u64) {
        let name = format!("s-{server:02}");
        let line = entry(
            &name,
            self.peers[server].address,
            server % 2,
            health,
            born_ms,
        );
        self.announcements.borrow_mut().push((at - LATENCY, line));
    }

    /// Watches that are open at this time say nothing from then on; a new one is answered.
    pub fn silence_watches_at(&self, at: Time) {
        self.silent_at.set(at);
    }

    /// Connections to this server come up so much later.
    pub fn delay_connects(&self, server: usize, by: Time) {
        self.network
            .delay_connects(self.peers[server].node, Time::MAX, by);
    }

    /// A born time of now.
    pub fn born_now(&self) -> u64 {
        (UNIX_START + self.executor.now()) / 1_000
    }

    /// A command of a class for a key, and its request's id.
    pub fn request_bytes(&self, class: usize, key: u64, timeout: Time) -> (Vec<u8>, u64) {
        self.request_bytes_for(None, class, key, timeout)
    }

    fn request_bytes_for(
        &self,
        tenant: Option<usize>,
        class: usize,
        key: u64,
        timeout: Time,
    ) -> (Vec<u8>, u64) {
        let id = self.last_request_id.get() + 1;
        self.last_request_id.set(id);
        let (key, id_text) = (format!("{key:016x}"), format!("{id:016x}"));
        let tenant = tenant.map_or(String::new(), |tenant| format!(",t=t{tenant}"));
        let fields = format!(
            "c={}{tenant},d={},k={id:016x}",
            CLASSES[class],
            timeout / MILLI
        );
        let bytes = match class {
            0 => command(&[
                b"C.GET",
                key.as_bytes(),
                id_text.as_bytes(),
                fields.as_bytes(),
            ]),
            _ => command(&[
                b"C.SET",
                key.as_bytes(),
                id_text.as_bytes(),
                fields.as_bytes(),
                b"v",
            ]),
        };
        (bytes, id)
    }

    /// A client connects, writes each of these at its time, and reads until the connection ends. What it was told comes
    /// in whole reads.
    pub fn client(&self, writes: Vec<(Time, Vec<u8>)>, leaves_at: Option<Time>) -> ReceivedChunks {
        let received = ReceivedChunks::default();
        let (environment, executor, address, to) = (
            self.network.environment(self.client),
            self.executor.clone(),
            self.address,
            received.clone(),
        );
        self.executor.spawn(self.client, async move {
            let Ok(mut stream) = environment.connect(address).await else { return };
            for (at, bytes) in writes {
                executor.sleep_until(at).await;
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            let mut buffer = vec![0; 65_536];
            let leaves = executor.sleep_until(leaves_at.unwrap_or(Time::MAX));
            tokio::pin!(leaves);
            loop {
                tokio::select! {
                    biased;
                    read = stream.read(&mut buffer) => match read {
                        Ok(count @ 1..) => to.borrow_mut().push((executor.now(), buffer[..count].to_vec())),
                        _ => return,
                    },
                    () = &mut leaves => return,
                }
            }
        });
        received
    }

    /// A client that writes at this time and reads nothing until then.
    pub fn non_reading_client(&self, at: Time, bytes: Vec<u8>, until: Time) {
        let (environment, executor, address) = (
            self.network.environment(self.client),
            self.executor.clone(),
            self.address,
        );
        self.executor.spawn(self.client, async move {
            let Ok(mut stream) = environment.connect(address).await else {
                return;
            };
            executor.sleep_until(at).await;
            // What it writes has room.
            let _ = stream.write_all(&bytes).await;
            executor.sleep_until(until).await;
        });
    }

    /// A client that sends one command so that its last byte is at the router's machine at this time.
    pub fn request_at(&self, at: Time, class: usize, key: u64, timeout: Time) -> ReceivedChunks {
        let (bytes, _) = self.request_bytes(class, key, timeout);
        self.client(vec![(at - LATENCY, bytes)], None)
    }

    /// The same for a read of one of two tenants.
    pub fn request_as_tenant(
        &self,
        tenant: usize,
        at: Time,
        key: u64,
        timeout: Time,
    ) -> ReceivedChunks {
        let (bytes, _) = self.request_bytes_for(Some(tenant), 0, key, timeout);
        self.client(vec![(at - LATENCY, bytes)], None)
    }

    /// Runs the clock up to this time.
    pub fn run_until(&self, at: Time) {
        self.executor.run_until(at);
    }

    /// What was not kept so far.
    pub fn violations(&self) -> Vec<Violation> {
        self.checker.borrow().violations.clone()
    }

    /// The invariant checker's facts, for a test that makes the world's.
    pub fn checker(&self) -> std::cell::RefMut<'_, InvariantChecker> {
        self.checker.borrow_mut()
    }

    fn serve(&self, peer: &Rc<Peer>) {
        let listener = self.network.listen(peer.node, peer.address);
        let (executor, peer) = (self.executor.clone(), peer.clone());
        self.executor.spawn(peer.node, async move {
            while let Ok(stream) = listener.accept().await {
                peer.accepted_connections
                    .set(peer.accepted_connections.get() + 1);
                executor.spawn(peer.node, serve_one(executor.clone(), peer.clone(), stream));
            }
        });
    }

    fn discover(&self, node: Node, address: SocketAddr) {
        let listener = self.network.listen(node, address);
        let (executor, announcements, silent_at) = (
            self.executor.clone(),
            self.announcements.clone(),
            self.silent_at.clone(),
        );
        self.executor.spawn(node, async move {
            while let Ok(stream) = listener.accept().await {
                executor.spawn(
                    node,
                    watch(
                        executor.clone(),
                        stream,
                        announcements.clone(),
                        silent_at.clone(),
                    ),
                );
            }
        });
    }
}

/// One watch on a scenario's lists, each of which is said once.
async fn watch(
    executor: Executor,
    mut stream: SimulatedStream,
    announcements: Rc<RefCell<Vec<(Time, String)>>>,
    silent_at: Rc<Cell<Time>>,
) {
    let opened = executor.now();
    let mut buffer = [0; 1_024];
    let _ = stream.read(&mut buffer).await;
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    let first = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk("")
    );
    let mut written = stream.write_all(first.as_bytes()).await;
    let (mut seq, mut beat) = (1, executor.now() + SECOND);
    while written.is_ok() {
        if (opened..executor.now()).contains(&silent_at.get()) {
            // It reads on, so that it hears of the end.
            while !matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {}
            return;
        }
        let due: Vec<String> = {
            let mut announcements = announcements.borrow_mut();
            let now = executor.now();
            let due = announcements
                .iter()
                .filter(|line| line.0 <= now)
                .map(|line| line.1.clone())
                .collect();
            announcements.retain(|line| line.0 > now);
            due
        };
        if !due.is_empty() {
            seq += 1;
            written = stream
                .write_all(chunk(&list(seq, false, &due)).as_bytes())
                .await;
        } else if executor.now() >= beat {
            beat = executor.now() + SECOND;
            written = stream.write_all(chunk("").as_bytes()).await;
        }
        // A scenario's lists may be said at any time: it looks often, and at each exact time.
        let next = announcements
            .borrow()
            .iter()
            .map(|line| line.0)
            .min()
            .unwrap_or(Time::MAX);
        executor
            .sleep_until(next.min(executor.now() + 500).max(executor.now() + 1))
            .await;
    }
}

impl Drop for Scenario {
    fn drop(&mut self) {
        self.executor.end();
    }
}

async fn serve_one(executor: Executor, peer: Rc<Peer>, mut stream: SimulatedStream) {
    let (mut frames, mut buffer) = (FrameDecoder::default(), vec![0; 8_192]);
    let never = match *peer.behavior.borrow() {
        ServerBehavior::NeverReads(time) => Some(time),
        _ => None,
    };
    if let Some(time) = never {
        executor.sleep(time).await;
        return stream.reset();
    }
    loop {
        let call = loop {
            match frames.next(executor.now()) {
                Ok(Some((frame, _))) => match Command::of(&frame) {
                    Command::CacheRequest(call) => break call,
                    _ => return,
                },
                Ok(None) => {}
                Err(_) => return,
            }
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) => frames.feed(executor.now(), &buffer[..count]),
                _ => return,
            }
        };
        peer.received_requests
            .borrow_mut()
            .push((executor.now(), call.clone()));
        let behavior = peer.behavior.borrow().clone();
        let reply = match behavior {
            ServerBehavior::Serves(time) | ServerBehavior::ServesLarge(time, _) => {
                executor.sleep(time).await;
                let size = if let ServerBehavior::ServesLarge(_, size) = behavior {
                    size
                } else {
                    20
                };
                let value = value_for(call.id, "scene", size);
                let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
                out.extend_from_slice(&value);
                out.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
                out
            }
            ServerBehavior::Says(time, bytes) => {
                executor.sleep(time).await;
                bytes.to_vec()
            }
            ServerBehavior::ServesTwice(time, later) => {
                executor.sleep(time).await;
                let value = value_for(call.id, "scene", 20);
                let value = String::from_utf8_lossy(&value);
                let out = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())
                    .into_bytes();
                if stream.write_all(&out).await.is_err() {
                    return;
                }
                executor.sleep(later).await;
                out
            }
            ServerBehavior::Nothing => continue,
            ServerBehavior::Resets(time) | ServerBehavior::NeverReads(time) => {
                executor.sleep(time).await;
                return stream.reset();
            }
        };
        if stream.write_all(&reply).await.is_err() {
            return;
        }
    }
}

/// The servers of a scenario, by turns in one of two zones.
pub fn server_identities(count: usize) -> Vec<ServerIdentity> {
    let identity = |index| ServerIdentity {
        name: format!("s-{index:02}"),
        zone: index % 2,
    };
    (0..count).map(identity).collect()
}

/// A network on which every way takes [`LATENCY`].
pub fn calm() -> NetworkConditions {
    let datagrams = DatagramConditions::default();
    NetworkConditions {
        latency_within_zone: LATENCY - 1,
        latency_between_zones: LATENCY - 1,
        jitter_ratio: 0.0,
        loss_ratio: 0.0,
        split_ratio: 0.0,
        receive_window: 65_536,
        datagrams,
    }
}

/// The figures that a scenario's invariant checker goes by.
pub fn rule_parameters() -> RuleParameters {
    let effects = [
        CheckedIdempotency::Idempotent,
        CheckedIdempotency::Keyed(CheckedScope::All, DEDUPLICATION_WINDOW),
        CheckedIdempotency::Keyed(CheckedScope::Zone, DEDUPLICATION_WINDOW),
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
        hedging: true,
        overload_multiple: 2.0,
        overload_duration: SECOND,
        window: calm().receive_window,
        overload_slack: 0.0,
        coalescing: None,
        crowds_from: u64::MAX,
    }
}

fn deployment() -> Deployment {
    let deduplication_window = Micros(DEDUPLICATION_WINDOW);
    let class = |idempotency| Class {
        latency_objective: Micros(SECOND / 2),
        deadline: Micros(DEADLINE),
        priority_weight: 1.0,
        late_weight: 0.5,
        idempotency,
    };
    let settings = Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::Keyed {
                scope: DeduplicationScope::All,
                deduplication_window,
            }),
            class(Idempotency::Keyed {
                scope: DeduplicationScope::Zone,
                deduplication_window,
            }),
            class(Idempotency::NotIdempotent),
        ],
        discovery: Listing::Subscribe {
            poll_within: Micros(10 * SECOND),
        },
        rules: Rules {
            answer_grace: Micros(20 * MILLI),
            drain_grace: Micros(250 * MILLI),
            initial_capacity_ratio: 0.3,
            slow_start_duration: Micros(4 * SECOND),
            overload_multiple: 2.0,
            overload_duration: Micros(SECOND),
            drain_close: None,
        },
        limits: Limits {
            max_attempts: 5,
            cancel: true,
            hedging: true,
            retry_after: true,
            max_retry_after: Micros(SECOND),
        },
        connection_idle: Micros(15 * SECOND),
        connection_costs: Default::default(),
        origin_collapses_under_overload: false,
        tenants: vec![
            Tenant {
                quota_per_s: 30.0,
                share: 0.5
            };
            2
        ],
        ..Settings::default()
    };
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_string()).collect();
    let names = Names {
        classes: text(&CLASSES),
        tenants: text(&["t0", "t1"]),
        zones: text(&["z0", "z1"]),
        kinds: text(&["m"]),
    };
    Deployment {
        settings,
        names,
        dial_timeout: Micros(300 * MILLI),
        reports: LoadReportFormat::default(),
    }
}
