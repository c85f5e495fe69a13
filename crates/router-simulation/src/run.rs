//! Plays a plan: the real engine as every router, stand-ins for all else, faults at their times, the judge throughout.

use crate::UNIX_START;
use crate::clients::{Clients, Manner};
use crate::discovery::{Discovery, Health};
use crate::executor::{Exec, Node, Time};
use crate::fault_plan::{
    Act, Acted, Ask, Burst, CLASSES, CROWD, CROWD_CONNECTIONS, Fault, Kind, MILLI, Plan, SECOND,
};
use crate::fleet::{Server, Shared, Trouble};
use crate::invariant_checker::{
    Breach, Counts, DeduplicationScope as JudgedGroup, Figures, Idempotency as Judged, Judge, Role,
    Rule, Shares,
};
use crate::net::{Net, Observer, SimulatedEnvironment};
use crate::rng::Dice;
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

/// What a day came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// Its seed.
    pub seed: u64,
    /// Equal for equal days.
    pub digest: u64,
    /// Steps on the wire.
    pub steps: u64,
    /// What passed.
    pub counts: Counts,
    /// Of the requests taken once all was calm: how many, and how many of them were served.
    pub calm: (u64, u64),
    /// How many attempts each crowd had, its clients' own repeats aside, in their order.
    pub crowds: Vec<u64>,
    /// What was not kept.
    pub breaches: Vec<Breach>,
    /// What passed, step by step, if that was wanted.
    pub trace: Vec<String>,
}

/// From so many requests on, the share of served ones in the calm tells.
const CALM_REQUESTS: u64 = 20;
/// The least share of them that must be served: less, and service has not come back.
const CALM_SERVED: f64 = 0.1;
/// What the protocol leaves a router after SIGTERM, beside its longest deadline.
const KILL_MARGIN: Time = 700 * MILLI;
/// The module asks for the list again after each loss: one timer may always be set.
const RESTING_TIMERS: usize = 1;

/// Of what a day is to keep for those who look at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Keep {
    /// The verdict alone.
    CandidateVerdict,
    /// Every step.
    Trace,
}

/// Plays a plan up to this step or to its end.
pub fn play(plan: &Plan, keep: Keep) -> Report {
    let plan = Rc::new(plan.clone());
    let exec = Exec::new(Dice::new(plan.seed, 5));
    let names: Vec<(String, usize)> = plan
        .servers
        .iter()
        .enumerate()
        .map(|(i, server)| (format!("s-{i:02}"), server.zone))
        .collect();
    let judge = Rc::new(RefCell::new(Judge::new(
        figures(&plan),
        &names,
        keep == Keep::Trace,
    )));
    let observer: Rc<RefCell<dyn Observer>> = judge.clone();
    let net = Net::new(
        exec.clone(),
        observer,
        plan.weather,
        Dice::new(plan.seed, 6),
    );
    let day = Day::set_up(&plan, &exec, &net, &judge);
    day.schedule_faults();
    day.schedule_acts();
    day.schedule_asks();
    day.schedule_crowds();
    judge.borrow_mut().calm = Some((plan.calm_from, 0, 0));
    if exec.run_until(plan.ends()) {
        day.check_end();
    } else {
        let text = "tasks wake one another without end".into();
        judge
            .borrow_mut()
            .breach(Rule::Liveness, exec.now(), None, text);
    }
    let report = report(&plan, &mut judge.borrow_mut());
    exec.end();
    report
}

fn report(plan: &Plan, judge: &mut Judge) -> Report {
    let (_, taken, served) = judge.calm.unwrap_or_default();
    Report {
        seed: plan.seed,
        digest: judge.digest(),
        steps: judge.steps(),
        counts: judge.counts,
        calm: (taken, served),
        crowds: plan
            .bursts
            .iter()
            .map(|burst| attempts(judge, burst))
            .collect(),
        breaches: std::mem::take(&mut judge.breaches),
        trace: judge.trace().collect(),
    }
}

fn attempts(judge: &Judge, burst: &Burst) -> u64 {
    let key = burst
        .asks
        .first()
        .map(|ask| format!("{:016x}", ask.key).into_bytes())
        .unwrap_or_default();
    judge.crowds.get(&key).copied().unwrap_or(0)
}

fn figures(plan: &Plan) -> Figures {
    let effects = [
        Judged::Idempotent,
        Judged::Keyed(JudgedGroup::All, plan.memory),
        Judged::Keyed(JudgedGroup::Zone, plan.memory),
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
        hedging: plan.hedging,
        overload_multiple: plan.overload_multiple,
        overload_duration: plan.overload_duration,
        window: plan.weather.window,
        fall_slack: 6.0 * plan.mean_work,
        joining: plan.joining.then(|| Shares {
            class: CLASSES[0].to_string(),
            flights: 2,
        }),
        crowds_from: plan
            .bursts
            .iter()
            .flat_map(|burst| &burst.asks)
            .map(|ask| u64::from(ask.number) << 8)
            .min()
            .unwrap_or(u64::MAX),
    }
}

fn deployment(plan: &Plan, zone: usize) -> Deployment {
    let deduplication_window = Micros(plan.memory);
    let class = |place: usize, idempotency: Idempotency| Class {
        latency_objective: Micros(plan.latency_objective),
        deadline: Micros(plan.deadline(place)),
        priority_weight: if place == 0 { 1.0 } else { 8.0 },
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
        connection_idle: Micros(plan.conn_idle),
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
pub(crate) fn joins(deployment: &Deployment) -> Option<CoalescingRules> {
    let file = CoalescingFile {
        classes: vec![CLASSES[0].to_string()],
        ..CoalescingFile::default()
    };
    match file.rules(deployment) {
        Ok(rules) => rules,
        Err(problem) => panic!("the rig's settings are usable: {problem}"),
    }
}

fn addr(net: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, net, 0, index as u8 + 1), port))
}

struct RouterProcess {
    index: usize,
    node: Node,
    addr: SocketAddr,
    engine: RefCell<Option<Rc<RouterRuntime<SimulatedEnvironment>>>>,
    stop: RefCell<Rc<Notify>>,
    /// Counts its starts.
    life: Cell<u64>,
    /// What operators said, as its file keeps it.
    words: RefCell<BTreeMap<ServerId, AdminOverride>>,
}

struct Day {
    plan: Rc<Plan>,
    exec: Exec,
    net: Net,
    judge: Rc<RefCell<Judge>>,
    shared: Rc<Shared>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    routers: Vec<Rc<RouterProcess>>,
    clients: Vec<Rc<Clients>>,
}

impl Day {
    fn set_up(plan: &Rc<Plan>, exec: &Exec, net: &Net, judge: &Rc<RefCell<Judge>>) -> Rc<Day> {
        let machine = |role: Role, zone: usize, limit: usize| {
            judge.borrow_mut().machine(role);
            net.machine(zone, limit)
        };
        let shared = Shared::new(exec.clone(), net.clone(), judge.clone(), plan.clone());
        let servers: Vec<Rc<Server>> = plan
            .servers
            .iter()
            .enumerate()
            .map(|(i, server)| {
                let node = machine(Role::Server(i), server.zone, usize::MAX);
                Server::new(i, node, addr(1, i, 6379), server.clone(), shared.clone())
            })
            .collect();
        let zones = plan.servers.iter().map(|server| server.zone).collect();
        let node = machine(Role::Discovery, 0, usize::MAX);
        let discovery = Discovery::start(
            exec.clone(),
            net.clone(),
            judge.clone(),
            node,
            addr(2, 0, 8500),
            &servers,
            zones,
        );
        servers.iter().for_each(|server| server.start(0));
        let mut routers = Vec::new();
        let mut clients = Vec::new();
        for (index, &zone) in plan.routers.iter().enumerate() {
            let node = machine(Role::Router(index), zone, plan.sockets);
            shared.router(node, index);
            let stop = RefCell::new(Rc::new(Notify::new()));
            let (addr, engine, life) = (addr(3, index, 6379), RefCell::new(None), Cell::new(0));
            routers.push(Rc::new(RouterProcess {
                index,
                node,
                addr,
                engine,
                stop,
                life,
                words: RefCell::default(),
            }));
            let node = machine(Role::Client, zone, usize::MAX);
            clients.push(Clients::new(
                exec.clone(),
                net.clone(),
                node,
                addr,
                plan.clone(),
            ));
        }
        let day = Rc::new(Day {
            plan: plan.clone(),
            exec: exec.clone(),
            net: net.clone(),
            judge: judge.clone(),
            shared,
            servers,
            discovery,
            routers,
            clients,
        });
        day.routers
            .iter()
            .for_each(|router| day.start_router(router));
        day
    }

    fn at(self: &Rc<Self>, time: Time, act: impl FnOnce(&Rc<Day>) + 'static) {
        let day = self.clone();
        self.exec.call_at(time, move || act(&day));
    }

    fn after(self: &Rc<Self>, time: Time, act: impl FnOnce(&Rc<Day>) + 'static) {
        self.at(self.exec.now() + time, act);
    }

    // ---- routers

    fn start_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        let known = self.discovery.known_to(router.node);
        self.judge
            .borrow_mut()
            .router_started(self.exec.now(), router.index, &known);
        let known: EndpointList = serde_json::from_str(&known).unwrap_or_default();
        let life = router.life.get() + 1;
        router.life.set(life);
        let deployment = deployment(&self.plan, self.plan.routers[router.index]);
        let joining = self.plan.joining.then(|| joins(&deployment)).flatten();
        let start = RouterConfig {
            deployment,
            seed: Dice::new(self.plan.seed, 1_000 + 100 * router.index as u64 + life).number(),
            discovery: self.discovery.addr,
            initial_endpoints: known,
            descriptor_limit: self.plan.sockets,
            memory_bytes: 64 << 20,
            coalescing: joining,
        };
        let engine = match RouterRuntime::new(self.net.world(router.node), start) {
            Ok(engine) => Rc::new(engine),
            Err(problem) => {
                let mut judge = self.judge.borrow_mut();
                judge.breach(
                    Rule::Liveness,
                    self.exec.now(),
                    None,
                    format!("a router does not start: {problem}"),
                );
                return;
            }
        };
        engine.apply_admin_overrides(router.words.borrow().clone());
        *router.engine.borrow_mut() = Some(engine.clone());
        let stop = Rc::new(Notify::new());
        *router.stop.borrow_mut() = stop.clone();
        let listener = self.net.listen(router.node, router.addr);
        let (day, router) = (self.clone(), router.clone());
        self.exec.spawn(router.node, async move {
            engine
                .run(listener, async move { stop.notified().await })
                .await;
            let (now, ended) = (day.exec.now(), router.clone());
            // A process does not end within itself.
            day.at(now, move |day| day.router_ended(&ended, life));
        });
    }

    /// It has ended by itself: its machine closes what it held.
    fn router_ended(self: &Rc<Self>, router: &Rc<RouterProcess>, life: u64) {
        if router.life.get() != life || router.engine.borrow().is_none() {
            return;
        }
        router.engine.borrow_mut().take();
        self.exec.kill(router.node);
        self.judge
            .borrow_mut()
            .router_died(self.exec.now(), router.index);
        let router = router.clone();
        let pause = 30 * MILLI + 7 * MILLI * router.index as Time;
        self.after(pause, move |day| day.start_router(&router));
    }

    fn kill_router(self: &Rc<Self>, router: &Rc<RouterProcess>, back_after: Time) {
        if router.engine.borrow_mut().take().is_none() {
            return;
        }
        // Told first: what its end tears down is nobody's fault.
        self.judge
            .borrow_mut()
            .router_died(self.exec.now(), router.index);
        self.net.kill(router.node, false);
        let router = router.clone();
        self.after(back_after, move |day| day.start_router(&router));
    }

    fn terminate_router(self: &Rc<Self>, router: &Rc<RouterProcess>) {
        if router.engine.borrow().is_none() {
            return;
        }
        router.stop.borrow().notify_one();
        let (router, life) = (router.clone(), router.life.get());
        self.after(self.plan.longest_deadline() + KILL_MARGIN, move |day| {
            if router.life.get() == life && router.engine.borrow().is_some() {
                let (mut judge, text) = (
                    day.judge.borrow_mut(),
                    "a router is still there when it is killed",
                );
                judge.breach(Rule::Liveness, day.exec.now(), None, text.into());
                drop(judge);
                day.kill_router(&router, 50 * MILLI);
            }
        });
    }

    // ---- servers

    /// The list hears of it some time later.
    fn list(self: &Rc<Self>, server: usize, health: Health, born_ms: u64, late: Time) {
        self.after(self.plan.notice + late, move |day| {
            day.discovery.set(server, health, born_ms)
        });
    }

    fn born_now(&self) -> u64 {
        (UNIX_START + self.exec.now()) / 1_000
    }

    fn start_server(self: &Rc<Self>, server: usize, late: Time) {
        let born_ms = self.born_now();
        self.net.restore(self.servers[server].node);
        self.servers[server].start(born_ms);
        self.list(server, Health::Up, born_ms, late);
    }

    // ---- faults

    fn schedule_faults(self: &Rc<Self>) {
        for fault in self.plan.faults.clone() {
            self.at(fault.at, move |day| day.begin(&fault));
        }
    }

    // ---- operators

    fn schedule_acts(self: &Rc<Self>) {
        for &Acted { act, at, length } in &self.plan.acts {
            self.at(at, move |day| match act {
                Act::ServerOut(server) => day.call_out(server, length),
                Act::RouterDrain(router) => day.drain(router, length),
            });
        }
    }

    /// Every router is told, one that is down as soon as it is back; the server is restarted meanwhile.
    fn call_out(self: &Rc<Self>, server: usize, length: Time) {
        self.tell(server, true);
        self.after(length / 3, move |day| day.servers[server].kill(false));
        self.after(length * 2 / 3, move |day| {
            day.start_server(server, 20 * MILLI)
        });
        self.after(length, move |day| day.tell(server, false));
    }

    fn tell(self: &Rc<Self>, server: usize, is_out: bool) {
        let (now, name) = (
            self.exec.now(),
            ServerId::from(&format!("s-{server:02}")[..]),
        );
        for router in &self.routers {
            let said = if is_out {
                AdminOverride::Disabled
            } else {
                AdminOverride::EnabledAt(Micros(UNIX_START + now))
            };
            router.words.borrow_mut().insert(name.clone(), said);
            if let Some(engine) = &*router.engine.borrow() {
                // One that was just called out and has never heard of it is told all the same when it does.
                let _ = if is_out {
                    engine.disable_server(&name.0)
                } else {
                    engine.enable_server(&name.0)
                };
                engine.apply_admin_overrides(router.words.borrow().clone());
            }
            self.judge
                .borrow_mut()
                .called(now, router.index, server, is_out);
        }
    }

    fn drain(self: &Rc<Self>, router: usize, length: Time) {
        let engine = self.routers[router].engine.borrow().clone();
        engine.iter().for_each(|engine| engine.drain_router());
        self.after(length, move |day| {
            let engine = day.routers[router].engine.borrow().clone();
            engine.iter().for_each(|engine| engine.resume_router());
        });
    }

    fn begin(self: &Rc<Self>, fault: &Fault) {
        let (now, length) = (self.exec.now(), fault.length);
        match fault.kind {
            Kind::RouterCrash => {
                for &router in &fault.targets {
                    self.kill_router(&self.routers[router], length);
                }
            }
            Kind::RouterRoll => {
                for (turn, &router) in fault.targets.iter().enumerate() {
                    let router = self.routers[router].clone();
                    let gap = 50 * MILLI + (fault.size * 300.0) as Time * MILLI;
                    self.after(gap * turn as Time, move |day| day.terminate_router(&router));
                }
            }
            Kind::ServerCrash | Kind::ServerVanish => {
                let vanishes = fault.kind == Kind::ServerVanish;
                for &server in &fault.targets {
                    self.servers[server].kill(vanishes);
                    // The list says so if it is gone for long; else it shows a new start alone.
                    if length > SECOND {
                        let born = self.servers[server].born_ms.get();
                        self.list(server, Health::Removed, born, 0);
                    }
                    self.after(length, move |day| day.start_server(server, 20 * MILLI));
                }
            }
            Kind::ServerDrain => {
                for &server in &fault.targets {
                    let born = self.servers[server].born_ms.get();
                    self.list(server, Health::Draining, born, 0);
                    self.after(self.plan.notice + 300 * MILLI, move |day| {
                        day.servers[server].drains.set(true)
                    });
                    self.after(self.plan.notice + length, move |day| {
                        day.list(server, Health::Removed, born, 0);
                        day.servers[server].kill(false);
                        day.after(400 * MILLI, move |day| {
                            day.start_server(server, 300 * MILLI)
                        });
                    });
                }
            }
            Kind::OriginSlow => {
                self.shared.slow_origin(1.5 + 5.0 * fault.size);
                self.after(length, |day| day.shared.slow_origin(0.0));
            }
            Kind::DiscoveryDown => {
                self.discovery.down_until.set(now + length);
                self.discovery.end_watches();
            }
            Kind::DiscoveryFlaps => {
                for turn in 0..6 {
                    self.after(length / 6 * turn, |day| day.discovery.end_watches());
                }
            }
            // Late news: connections to discovery crawl as if its zone were cut off for some time.
            Kind::DiscoveryLate => self.net.cut(0, now + length / 2),
            Kind::ZoneCut => fault
                .targets
                .iter()
                .for_each(|&zone| self.net.cut(zone, now + length)),
            Kind::Deaf => {
                for &server in &fault.targets {
                    self.net.deafen(self.servers[server].node, now + length);
                }
            }
            Kind::LateDials => {
                // Most come up before the router has waited long enough, some do not.
                let by = (self.plan.dial_timeout as f64 * (0.4 + 0.7 * fault.size)) as Time;
                for &server in &fault.targets {
                    self.net
                        .delay_connects(self.servers[server].node, now + length, by);
                }
            }
            Kind::SilentWatches => self.discovery.silence_watches(),
            Kind::ClockSteps => {
                for &router in &fault.targets {
                    let node = self.routers[router].node;
                    // Up to an hour, either way.
                    self.net
                        .set_clock(node, ((fault.size - 0.5) * 7.2e9) as i64);
                    self.after(length, move |day| day.net.set_clock(node, 0));
                }
            }
            Kind::IdleReset => {
                for turn in 0..8 {
                    let targets = fault.targets.clone();
                    self.after(length / 8 * turn, move |day| {
                        targets
                            .iter()
                            .for_each(|&server| day.servers[server].reset_idle());
                    });
                }
            }
            Kind::FastErrors => self.trouble(fault, |trouble, size| trouble.errors = size),
            Kind::Spoils => self.trouble(fault, |trouble, size| trouble.spoils = size),
            Kind::Full => self.trouble(fault, |trouble, size| trouble.full = size),
            Kind::Hangs => self.trouble(fault, |trouble, size| trouble.hangs = size > 0.0),
            Kind::ServerSlow => self.trouble(fault, |trouble, size| trouble.slow = 6.0 * size),
            // These are in what clients do.
            Kind::ClientsLeave | Kind::ClientsPipeline | Kind::ClientsReadSlowly => {}
        }
    }

    fn trouble(self: &Rc<Self>, fault: &Fault, set: fn(&mut Trouble, f64)) {
        let change = move |server: &Server, size: f64| {
            let mut trouble = server.trouble.get();
            set(&mut trouble, size);
            server.trouble.set(trouble);
        };
        for &server in &fault.targets {
            change(&self.servers[server], 0.2 + 0.8 * fault.size);
            self.after(fault.length, move |day| change(&day.servers[server], 0.0));
        }
    }

    // ---- clients

    fn schedule_asks(self: &Rc<Self>) {
        let mut taken = vec![false; self.plan.asks.len()];
        for place in 0..self.plan.asks.len() {
            if std::mem::replace(&mut taken[place], true) {
                continue;
            }
            let ask = self.plan.asks[place].clone();
            let mut asks = vec![ask.clone()];
            if let Some(fault) = self.during(&ask, Kind::ClientsPipeline) {
                // The next ones of this router come with it.
                let wanted = 2 + (fault.size * 5.0) as usize;
                for (later, next) in self.plan.asks.iter().enumerate().skip(place + 1).take(40) {
                    let near = next.router == ask.router && next.at < ask.at + 400 * MILLI;
                    if asks.len() < wanted && near && !std::mem::replace(&mut taken[later], true) {
                        asks.push(Ask {
                            at: ask.at,
                            ..next.clone()
                        });
                    }
                }
            }
            let manner = self.manner(&ask);
            self.at(ask.at, move |day| day.clients[ask.router].ask(asks, manner));
        }
    }

    /// Crowds come on as many connections as they may, and their writers on one each.
    fn schedule_crowds(self: &Rc<Self>) {
        for burst in &self.plan.bursts {
            let chunks = burst
                .asks
                .chunks(CROWD / CROWD_CONNECTIONS)
                .chain(burst.writes.chunks(1));
            for chunk in chunks {
                let (first, asks) = (chunk[0].clone(), chunk.to_vec());
                let manner = self.manner(&first);
                self.at(first.at, move |day| {
                    day.clients[first.router].ask_as_crowd(asks, manner)
                });
            }
        }
    }

    fn manner(&self, ask: &Ask) -> Manner {
        let mut manner = Manner::default();
        if self
            .during(ask, Kind::ClientsLeave)
            .is_some_and(|fault| ask.lot < 0.2 + 0.6 * fault.size)
        {
            manner.leaves = Some((ask.wait as f64 * ask.lot * ask.lot) as Time);
        }
        if self.during(ask, Kind::ClientsReadSlowly).is_some() {
            manner.reads_late = (ask.lot * 600.0) as Time * MILLI;
        }
        manner
    }

    fn during(&self, ask: &Ask, kind: Kind) -> Option<&Fault> {
        self.plan.faults.iter().find(|fault| {
            fault.kind == kind && (fault.at..fault.at + fault.length).contains(&ask.at)
        })
    }

    // ---- the end

    /// Once every deadline has passed, nothing may be left of any request, and nothing may have been given up on.
    fn check_end(&self) {
        let (now, mut judge) = (self.exec.now(), self.judge.borrow_mut());
        for router in &self.routers {
            let engine = router.engine.borrow().clone();
            let Some(engine) = engine else {
                judge.breach(
                    Rule::Liveness,
                    now,
                    None,
                    format!("router {} is not back", router.index),
                );
                continue;
            };
            let held = engine.resource_usage();
            let open = self.net.open(router.node);
            let left = held.unanswered_requests
                + held.open_requests
                + held.tracked_requests
                + held.coalesced_waiters
                + held.coalesced_flights;
            if left > 0 || held.timers > RESTING_TIMERS {
                let text = format!(
                    "router {} still holds {held:?} when all is over",
                    router.index
                );
                judge.breach(Rule::Bounds, now, None, text);
            }
            // Its watch is one more.
            if open > held.client_connections + held.idle_upstream_connections + 1 {
                let text = format!(
                    "router {} holds {open} connections and knows of {held:?}",
                    router.index
                );
                judge.breach(Rule::Bounds, now, None, text);
            }
        }
        if let Some((_, taken, served)) = judge.calm
            && taken >= CALM_REQUESTS
            && (served as f64) < CALM_SERVED * taken as f64
        {
            let text = format!("only {served} of {taken} requests were served once all was calm");
            judge.breach(Rule::Liveness, now, None, text);
        }
    }
}
