//! One router on the virtual clock among scripted peers: for tests that need an event at an exact microsecond.
//!
//! Every way takes [`LATENCY`], without jitter or loss. What the peers do is said before or between runs of the clock;
//! the judge watches as on a drawn day.

use crate::UNIX_START;
use crate::discovery::{entry, list};
use crate::executor::{Exec, Node, Time};
use crate::fault_plan::{CLASSES, MILLI, SECOND};
use crate::invariant_checker::{
    Breach, DeduplicationScope as JudgedGroup, Figures, Idempotency as Judged, Judge, Role, Shares,
};
use crate::net::{DatagramWeather, Net, Observer, SimStream, SimulatedEnvironment, Weather};
use crate::rng::Dice;
use crate::run::joins;
use crate::wire::{Call, Frames, Spoken, command, value_for};
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

/// One way between any two machines of a scene.
pub const LATENCY: Time = 100;
/// How long a scene's servers remember keyed requests.
pub const MEMORY: Time = 400 * MILLI;
/// The longest deadline of a scene's classes.
pub const DEADLINE: Time = 2 * SECOND;

/// What a scripted cache server does with a command.
#[derive(Clone, Debug)]
pub enum Does {
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
    addr: SocketAddr,
    does: RefCell<Does>,
    seen: RefCell<Vec<(Time, Call)>>,
    streams: Cell<usize>,
}

/// What a client was told, and when.
pub type Told = Rc<RefCell<Vec<(Time, Vec<u8>)>>>;

/// See the module.
pub struct Scene {
    /// The clock.
    pub exec: Exec,
    /// The network.
    pub net: Net,
    judge: Rc<RefCell<Judge>>,
    peers: Vec<Rc<Peer>>,
    router: Node,
    addr: SocketAddr,
    client: Node,
    /// The engine, while it runs.
    pub engine: Rc<RouterRuntime<SimulatedEnvironment>>,
    stop: Rc<Notify>,
    has_ended: Rc<Cell<bool>>,
    lists: Rc<RefCell<Vec<(Time, String)>>>,
    /// Watches opened before it say nothing from then on.
    silent_at: Rc<Cell<Time>>,
    asked: Cell<u64>,
}

impl Scene {
    /// A router and so many servers, all up since long ago; the order in which things of one instant happen is drawn
    /// from the seed.
    pub fn new(servers: usize, seed: u64) -> Scene {
        Scene::set_up(servers, seed, false, false)
    }

    /// The same where lists are pushed.
    pub fn pushed(servers: usize, seed: u64) -> Scene {
        Scene::set_up(servers, seed, false, true)
    }

    /// The same with a router that joins identical reads.
    pub fn joining(servers: usize, seed: u64) -> Scene {
        Scene::set_up(servers, seed, true, false)
    }

    fn set_up(servers: usize, seed: u64, is_joining: bool, is_pushed: bool) -> Scene {
        let exec = Exec::new(Dice::new(seed, 1));
        let names: Vec<(String, usize)> =
            (0..servers).map(|i| (format!("s-{i:02}"), i % 2)).collect();
        let shares = Shares {
            class: CLASSES[0].to_string(),
            flights: 2,
        };
        let judged = Figures {
            joining: is_joining.then_some(shares),
            ..figures()
        };
        let judge = Rc::new(RefCell::new(Judge::new(judged, &names, true)));
        let weather = calm();
        let observer: Rc<RefCell<dyn Observer>> = judge.clone();
        let net = Net::new(exec.clone(), observer, weather, Dice::new(seed, 2));
        let machine = |role| {
            judge.borrow_mut().machine(role);
            net.machine(0, 1_000)
        };
        let addr = |a: u8, b: usize| SocketAddr::from((Ipv4Addr::new(10, a, 0, b as u8 + 1), 6379));
        let peers: Vec<Rc<Peer>> = (0..servers)
            .map(|i| {
                let (node, does) = (
                    machine(Role::Server(i)),
                    RefCell::new(Does::Serves(5 * MILLI)),
                );
                let (seen, streams) = (RefCell::default(), Cell::new(0));
                Rc::new(Peer {
                    node,
                    addr: addr(1, i),
                    does,
                    seen,
                    streams,
                })
            })
            .collect();
        let (router, discovery, client) = (
            machine(Role::Router(0)),
            machine(Role::Discovery),
            machine(Role::Client),
        );
        let known = list(
            1,
            true,
            &(0..servers)
                .map(|i| entry(&names[i].0, peers[i].addr, i % 2, "up", 0))
                .collect::<Vec<_>>(),
        );
        judge.borrow_mut().router_started(0, 0, &known);
        let lists = Rc::new(RefCell::new(Vec::new()));
        let mut deployment = deployment();
        if is_pushed {
            deployment.settings.discovery = Listing::Push;
        }
        let joining = is_joining.then(|| joins(&deployment)).flatten();
        let start = RouterConfig {
            deployment,
            seed,
            discovery: addr(2, 0),
            initial_endpoints: serde_json::from_str::<EndpointList>(&known).unwrap_or_default(),
            descriptor_limit: 500,
            memory_bytes: 64 << 20,
            coalescing: joining,
        };
        let engine = match RouterRuntime::new(net.world(router), start) {
            Ok(engine) => Rc::new(engine),
            Err(problem) => panic!("the scene's settings are usable: {problem}"),
        };
        let scene = Scene {
            stop: Rc::default(),
            has_ended: Rc::default(),
            addr: addr(3, 0),
            asked: Cell::new(0),
            exec,
            net,
            judge,
            peers,
            router,
            client,
            engine,
            lists,
            silent_at: Rc::new(Cell::new(Time::MAX)),
        };
        for peer in &scene.peers {
            scene.serve(peer);
        }
        scene.discover(discovery, addr(2, 0));
        let listener = scene.net.listen(router, scene.addr);
        let (engine, stop, ended) = (
            scene.engine.clone(),
            scene.stop.clone(),
            scene.has_ended.clone(),
        );
        scene.exec.spawn(router, async move {
            engine
                .run(listener, async move { stop.notified().await })
                .await;
            ended.set(true);
        });
        // The watch is up.
        scene.exec.run_until(100 * MILLI);
        scene
    }

    /// The router is told to stop.
    pub fn terminate(&self) {
        self.stop.notify_one();
    }

    /// Whether the router has ended; its machine has closed what it held then.
    pub fn has_ended(&self) -> bool {
        if self.has_ended.get() {
            self.exec.kill(self.router);
        }
        self.has_ended.get()
    }

    /// What a server does from now on.
    pub fn does(&self, server: usize, does: Does) {
        *self.peers[server].does.borrow_mut() = does;
    }

    /// What all servers do from now on.
    pub fn all_do(&self, does: &Does) {
        (0..self.peers.len()).for_each(|server| self.does(server, does.clone()));
    }

    /// Connections to this server take so many bytes without their being read.
    pub fn narrow(&self, server: usize, window: usize) {
        self.net.narrow(self.peers[server].node, window);
    }

    /// The commands that a server has had whole, and when.
    pub fn seen(&self, server: usize) -> Vec<(Time, Call)> {
        self.peers[server].seen.borrow().clone()
    }

    /// All commands that all servers have had whole.
    pub fn all_seen(&self) -> usize {
        self.peers.iter().map(|peer| peer.seen.borrow().len()).sum()
    }

    /// Connections that a server has taken so far.
    pub fn streams(&self, server: usize) -> usize {
        self.peers[server].streams.get()
    }

    /// Discovery says this of a server, so that it is at the router's machine at this time.
    pub fn told_at(&self, at: Time, server: usize, health: &str, born_ms: u64) {
        let name = format!("s-{server:02}");
        let line = entry(&name, self.peers[server].addr, server % 2, health, born_ms);
        self.lists.borrow_mut().push((at - LATENCY, line));
    }

    /// Watches that are open at this time say nothing from then on; a new one is answered.
    pub fn falls_silent(&self, at: Time) {
        self.silent_at.set(at);
    }

    /// Connections to this server come up so much later.
    pub fn delay_connects(&self, server: usize, by: Time) {
        self.net
            .delay_connects(self.peers[server].node, Time::MAX, by);
    }

    /// A born time of now.
    pub fn born_now(&self) -> u64 {
        (UNIX_START + self.exec.now()) / 1_000
    }

    /// A command of a class for a key, and its request's id.
    pub fn words(&self, class: usize, key: u64, wait: Time) -> (Vec<u8>, u64) {
        self.words_of(None, class, key, wait)
    }

    fn words_of(
        &self,
        tenant: Option<usize>,
        class: usize,
        key: u64,
        wait: Time,
    ) -> (Vec<u8>, u64) {
        let id = self.asked.get() + 1;
        self.asked.set(id);
        let (key, id_text) = (format!("{key:016x}"), format!("{id:016x}"));
        let tenant = tenant.map_or(String::new(), |tenant| format!(",t=t{tenant}"));
        let fields = format!(
            "c={}{tenant},d={},k={id:016x}",
            CLASSES[class],
            wait / MILLI
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
    pub fn client(&self, writes: Vec<(Time, Vec<u8>)>, leaves_at: Option<Time>) -> Told {
        let told = Told::default();
        let (world, exec, addr, to) = (
            self.net.world(self.client),
            self.exec.clone(),
            self.addr,
            told.clone(),
        );
        self.exec.spawn(self.client, async move {
            let Ok(mut stream) = world.connect(addr).await else { return };
            for (at, bytes) in writes {
                exec.sleep_until(at).await;
                if stream.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            let mut buffer = vec![0; 65_536];
            let leaves = exec.sleep_until(leaves_at.unwrap_or(Time::MAX));
            tokio::pin!(leaves);
            loop {
                tokio::select! {
                    biased;
                    read = stream.read(&mut buffer) => match read {
                        Ok(count @ 1..) => to.borrow_mut().push((exec.now(), buffer[..count].to_vec())),
                        _ => return,
                    },
                    () = &mut leaves => return,
                }
            }
        });
        told
    }

    /// A client that writes at this time and reads nothing until then.
    pub fn deaf_client(&self, at: Time, bytes: Vec<u8>, until: Time) {
        let (world, exec, addr) = (self.net.world(self.client), self.exec.clone(), self.addr);
        self.exec.spawn(self.client, async move {
            let Ok(mut stream) = world.connect(addr).await else {
                return;
            };
            exec.sleep_until(at).await;
            // What it writes has room.
            let _ = stream.write_all(&bytes).await;
            exec.sleep_until(until).await;
        });
    }

    /// A client that sends one command so that its last byte is at the router's machine at this time.
    pub fn ask_at(&self, at: Time, class: usize, key: u64, wait: Time) -> Told {
        let (bytes, _) = self.words(class, key, wait);
        self.client(vec![(at - LATENCY, bytes)], None)
    }

    /// The same for a read of one of two tenants.
    pub fn ask_as(&self, tenant: usize, at: Time, key: u64, wait: Time) -> Told {
        let (bytes, _) = self.words_of(Some(tenant), 0, key, wait);
        self.client(vec![(at - LATENCY, bytes)], None)
    }

    /// Runs the clock up to this time.
    pub fn run_until(&self, at: Time) {
        self.exec.run_until(at);
    }

    /// What was not kept so far.
    pub fn breaches(&self) -> Vec<Breach> {
        self.judge.borrow().breaches.clone()
    }

    /// The judge's facts, for a test that makes the world's.
    pub fn judge(&self) -> std::cell::RefMut<'_, Judge> {
        self.judge.borrow_mut()
    }

    fn serve(&self, peer: &Rc<Peer>) {
        let listener = self.net.listen(peer.node, peer.addr);
        let (exec, peer) = (self.exec.clone(), peer.clone());
        self.exec.spawn(peer.node, async move {
            while let Ok(stream) = listener.accept().await {
                peer.streams.set(peer.streams.get() + 1);
                exec.spawn(peer.node, serve_one(exec.clone(), peer.clone(), stream));
            }
        });
    }

    fn discover(&self, node: Node, addr: SocketAddr) {
        let listener = self.net.listen(node, addr);
        let (exec, lists, silent_at) = (
            self.exec.clone(),
            self.lists.clone(),
            self.silent_at.clone(),
        );
        self.exec.spawn(node, async move {
            while let Ok(stream) = listener.accept().await {
                exec.spawn(
                    node,
                    watch(exec.clone(), stream, lists.clone(), silent_at.clone()),
                );
            }
        });
    }
}

/// One watch on a scene's lists, each of which is said once.
async fn watch(
    exec: Exec,
    mut stream: SimStream,
    lists: Rc<RefCell<Vec<(Time, String)>>>,
    silent_at: Rc<Cell<Time>>,
) {
    let opened = exec.now();
    let mut buffer = [0; 1_024];
    let _ = stream.read(&mut buffer).await;
    let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
    let first = format!(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{}",
        chunk("")
    );
    let mut written = stream.write_all(first.as_bytes()).await;
    let (mut seq, mut beat) = (1, exec.now() + SECOND);
    while written.is_ok() {
        if (opened..exec.now()).contains(&silent_at.get()) {
            // It reads on, so that it hears of the end.
            while !matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {}
            return;
        }
        let due: Vec<String> = {
            let mut lists = lists.borrow_mut();
            let now = exec.now();
            let due = lists
                .iter()
                .filter(|line| line.0 <= now)
                .map(|line| line.1.clone())
                .collect();
            lists.retain(|line| line.0 > now);
            due
        };
        if !due.is_empty() {
            seq += 1;
            written = stream
                .write_all(chunk(&list(seq, false, &due)).as_bytes())
                .await;
        } else if exec.now() >= beat {
            beat = exec.now() + SECOND;
            written = stream.write_all(chunk("").as_bytes()).await;
        }
        // A scene's lists may be said at any time: it looks often, and at each exact time.
        let next = lists
            .borrow()
            .iter()
            .map(|line| line.0)
            .min()
            .unwrap_or(Time::MAX);
        exec.sleep_until(next.min(exec.now() + 500).max(exec.now() + 1))
            .await;
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.exec.end();
    }
}

async fn serve_one(exec: Exec, peer: Rc<Peer>, mut stream: SimStream) {
    let (mut frames, mut buffer) = (Frames::default(), vec![0; 8_192]);
    let never = match *peer.does.borrow() {
        Does::NeverReads(time) => Some(time),
        _ => None,
    };
    if let Some(time) = never {
        exec.sleep(time).await;
        return stream.reset();
    }
    loop {
        let call = loop {
            match frames.next(exec.now()) {
                Ok(Some((frame, _))) => match Spoken::of(&frame) {
                    Spoken::Call(call) => break call,
                    _ => return,
                },
                Ok(None) => {}
                Err(_) => return,
            }
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) => frames.feed(exec.now(), &buffer[..count]),
                _ => return,
            }
        };
        peer.seen.borrow_mut().push((exec.now(), call.clone()));
        let does = peer.does.borrow().clone();
        let said = match does {
            Does::Serves(time) | Does::ServesLarge(time, _) => {
                exec.sleep(time).await;
                let size = if let Does::ServesLarge(_, size) = does {
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
            Does::Says(time, bytes) => {
                exec.sleep(time).await;
                bytes.to_vec()
            }
            Does::ServesTwice(time, later) => {
                exec.sleep(time).await;
                let value = value_for(call.id, "scene", 20);
                let value = String::from_utf8_lossy(&value);
                let out = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len())
                    .into_bytes();
                if stream.write_all(&out).await.is_err() {
                    return;
                }
                exec.sleep(later).await;
                out
            }
            Does::Nothing => continue,
            Does::Resets(time) | Does::NeverReads(time) => {
                exec.sleep(time).await;
                return stream.reset();
            }
        };
        if stream.write_all(&said).await.is_err() {
            return;
        }
    }
}

/// A network on which every way takes [`LATENCY`].
pub fn calm() -> Weather {
    let datagrams = DatagramWeather::default();
    Weather {
        near: LATENCY - 1,
        far: LATENCY - 1,
        jitter: 0.0,
        loss: 0.0,
        split: 0.0,
        window: 65_536,
        datagrams,
    }
}

/// The figures that a scene's judge goes by.
pub fn figures() -> Figures {
    let effects = [
        Judged::Idempotent,
        Judged::Keyed(JudgedGroup::All, MEMORY),
        Judged::Keyed(JudgedGroup::Zone, MEMORY),
        Judged::NotIdempotent,
    ];
    Figures {
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
        window: calm().window,
        fall_slack: 0.0,
        joining: None,
        crowds_from: u64::MAX,
    }
}

fn deployment() -> Deployment {
    let deduplication_window = Micros(MEMORY);
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
