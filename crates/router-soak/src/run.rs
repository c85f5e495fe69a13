//! A run of the soak test: starts the fakes and the router, carries out the plan, shuts the router
//! down, and reports.

mod membership;
mod report;
mod shutdown;

use crate::client::{ClientPool, open_idle_connections};
use crate::crowd::start_crowd;
use crate::discovery::{Discovery, Health};
use crate::plan::{FaultKind, LOAD_MS, PlannedFault, SoakPlan};
use crate::recorder::Recorder;
use crate::server::{Server, ServerFaults};
use router_simulation::fault_plan::CLASSES;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use test_support::{Platform, RouterProcess, configuration, unused_addr};
use tokio::task::{JoinHandle, LocalSet, spawn_blocking, spawn_local};

pub use report::SoakReport;

/// Maximum number of attempts per request.
pub(crate) const MAX_ATTEMPTS: usize = 5;
/// Time that the router gets after SIGTERM on top of the longest deadline before it is killed.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Time for which a server that is listed as draining still accepts requests.
const DRAIN_DELAY: Duration = Duration::from_millis(300);
/// Time between the end of a server process and its restart.
const RESTART_PAUSE: Duration = Duration::from_millis(400);
/// Interval at which the router's memory and descriptors are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Time before the end of the load at which a successor is started.
const TAKEOVER_LEAD: Duration = Duration::from_millis(2_000);
/// Time after a process was killed during which ended connections are attributed to the kill.
const KILL_GRACE: Duration = Duration::from_millis(500);

/// Sets or clears a fault of a server.
type SetFault = fn(&mut ServerFaults, bool);

const HANGING: SetFault = |faults, is_active| faults.hangs = is_active;
const MALFORMED_REPLIES: SetFault = |faults, is_active| faults.sends_malformed_replies = is_active;
const RESETTING: SetFault = |faults, is_active| faults.resets_connections = is_active;
const LATE_FIRST_ANSWERS: SetFault = |faults, is_active| faults.delays_first_answer = is_active;
const LONG_VALUES: SetFault = |faults, is_active| faults.has_long_values = is_active;
const PAUSED_VALUES: SetFault = |faults, is_active| {
    faults.has_long_values = is_active;
    faults.pauses_long_values = is_active;
};
const UNRESPONSIVE: SetFault = |faults, is_active| faults.is_unresponsive = is_active;

/// A running router process.
struct RunningProcess {
    process: RouterProcess,
    /// Address for operators' commands, in runs that have some.
    admin: Option<SocketAddr>,
}

/// Runs the plan of a seed in real time.
pub fn soak(seed: u64) -> SoakReport {
    let plan = SoakPlan::draw(seed);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("the tokio runtime can be built");
    LocalSet::new().block_on(&runtime, run_plan(plan))
}

/// Environment variable with the path of the `failing-system-calls` library. If it is unset, no
/// system calls are made to fail.
const FAILING_CALLS_VARIABLE: &str = "ASTERPORT_FAILING_CALLS";

/// Path and seed of the library that makes system calls of the router fail, if the plan includes
/// such failures and the path is set.
fn failing_calls(plan: &SoakPlan) -> Option<(PathBuf, u64)> {
    let library = std::env::var_os(FAILING_CALLS_VARIABLE).filter(|_| plan.has_failing_calls)?;
    Some((library.into(), plan.seed))
}

/// State of a run.
struct Run {
    plan: SoakPlan,
    recorder: Rc<Recorder>,
    servers: Vec<Rc<Server>>,
    discovery: Rc<Discovery>,
    clients: Rc<ClientPool>,
    platform: Arc<Platform>,
    configuration: Value,
    /// Router processes, the newest last.
    processes: RefCell<Vec<RunningProcess>>,
    /// Processes that another one has replaced, until they are killed.
    ending: RefCell<Vec<RunningProcess>>,
    /// Offset of the servers' wall clocks.
    server_clock_offset_ms: Cell<i64>,
    /// Tasks that carry out the plan.
    tasks: RefCell<Vec<JoinHandle<()>>>,
    rig_failures: RefCell<Vec<String>>,
    logs: RefCell<Vec<Arc<Mutex<Vec<String>>>>>,
    peak_memory_kb: Cell<usize>,
    peak_descriptors: Cell<usize>,
}

async fn run_plan(plan: SoakPlan) -> SoakReport {
    let recorder = Rc::new(Recorder::new(&plan));
    let mut servers = Vec::new();
    for number in 0..plan.servers {
        let server = Server::start(number, plan.seed, plan.max_service_ms, recorder.clone());
        servers.push(server.await);
    }
    let discovery = Discovery::start(&servers, recorder.clone()).await;
    for number in plan.servers..plan.all_servers() {
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let (max_service_ms, recorder) = (plan.max_service_ms, recorder.clone());
        servers.push(Server::new(
            number,
            plan.seed,
            max_service_ms,
            recorder,
            unset,
        ));
    }
    let mut platform = match plan.has_membership_faults() {
        true => Platform::with_stepped_clock(),
        false => Platform::new(),
    };
    platform.failing_calls = failing_calls(&plan);
    let platform = Arc::new(platform);
    let run = Rc::new(Run {
        clients: ClientPool::new(&plan, platform.addr(), recorder.clone()),
        configuration: router_configuration(&plan, &discovery),
        recorder,
        servers,
        discovery,
        platform,
        processes: RefCell::default(),
        ending: RefCell::default(),
        server_clock_offset_ms: Cell::new(0),
        tasks: RefCell::default(),
        rig_failures: RefCell::default(),
        logs: RefCell::default(),
        peak_memory_kb: Cell::new(0),
        peak_descriptors: Cell::new(0),
        plan,
    });
    run.start_process().await;
    run.recorder.router_started(&run.discovery.snapshot());
    spawn_local(run.clone().sample());
    let idle_clients = open_idle_connections(run.platform.addr(), run.plan.idle_clients).await;
    let crowd = start_crowd(run.platform.addr(), run.plan.crowd);
    for _ in 0..run.plan.clients {
        spawn_local(run.clients.clone().run());
    }
    for fault in run.plan.faults.clone() {
        run.spawn(run.clone().inject(fault));
    }
    tokio::time::sleep(Duration::from_millis(LOAD_MS) - TAKEOVER_LEAD).await;
    run.shut_down().await;
    drop(idle_clients);
    drop(crowd);
    run.record_failed_tasks().await;
    run.report()
}

impl Run {
    /// Starts a router process, which takes over from a running one.
    async fn start_process(&self) {
        let (platform, mut configuration) = (self.platform.clone(), self.configuration.clone());
        let admin = self.plan.has_membership_faults().then(unused_addr);
        if let Some(admin) = admin {
            configuration["admin"] = admin.to_string().into();
        }
        let starting = spawn_blocking(move || platform.start(&configuration));
        let process = starting.await.expect("the router starts");
        self.logs.borrow_mut().push(process.log.clone());
        let process = RunningProcess { process, admin };
        self.processes.borrow_mut().push(process);
    }

    /// Spawns a task that carries out a part of the plan.
    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.borrow_mut().push(spawn_local(task));
    }

    /// Records the tasks that have panicked, and ends the others.
    async fn record_failed_tasks(&self) {
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        for task in tasks {
            task.abort();
            if let Err(error) = task.await
                && error.is_panic()
            {
                let failure = format!("a task of the rig failed: {error}");
                self.rig_failures.borrow_mut().push(failure);
            }
        }
    }

    /// Samples memory and descriptors of the router processes for the whole run.
    async fn sample(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            for running in self.processes.borrow().iter() {
                let memory_kb = resident_kb(running.process.pid()).unwrap_or(0);
                let descriptors = descriptor_count(running.process.pid()).unwrap_or(0);
                self.peak_memory_kb
                    .set(self.peak_memory_kb.get().max(memory_kb));
                self.peak_descriptors
                    .set(self.peak_descriptors.get().max(descriptors));
            }
        }
    }

    /// Carries out a fault of the plan at its time.
    async fn inject(self: Rc<Self>, fault: PlannedFault) {
        tokio::time::sleep(Duration::from_millis(fault.at_ms)).await;
        let duration = Duration::from_millis(fault.duration_ms);
        match fault.kind {
            FaultKind::Silence { hanging, failing } => {
                self.discovery.silence_watches();
                self.discovery.calls_to_hang.set(hanging);
                self.discovery.calls_to_fail.set(failing);
            }
            FaultKind::WatchReset => self.discovery.end_watches(),
            FaultKind::DiscoveryDown => {
                let until = Instant::now() + duration;
                self.discovery.down_until.set(Some(until));
                self.discovery.end_watches();
            }
            FaultKind::Drain(server) => self.drain(server, duration).await,
            FaultKind::Restart(server) => {
                self.servers[server].kill();
                self.restart(server).await;
            }
            FaultKind::Hang(server) => self.inject_server_fault(&[server], duration, HANGING).await,
            FaultKind::Malformed(server) => {
                self.inject_server_fault(&[server], duration, MALFORMED_REPLIES)
                    .await
            }
            FaultKind::Resets(server) => {
                self.inject_server_fault(&[server], duration, RESETTING)
                    .await
            }
            FaultKind::LateConnections(server) => {
                self.inject_server_fault(&[server], duration, LATE_FIRST_ANSWERS)
                    .await
            }
            FaultKind::LongValues => {
                self.inject_server_fault(&self.all_servers(), duration, LONG_VALUES)
                    .await
            }
            FaultKind::PausedValues => {
                self.inject_server_fault(&self.all_servers(), duration, PAUSED_VALUES)
                    .await;
            }
            FaultKind::Vanish(server) => {
                self.inject_server_fault(&[server], duration, UNRESPONSIVE)
                    .await;
                self.servers[server].kill();
                self.restart(server).await;
            }
            FaultKind::StepClocks(offset_ms) => self.step_clocks(offset_ms),
            FaultKind::Remove(server) => self.remove(server, duration).await,
            FaultKind::Exclude(server) => self.exclude(server, duration).await,
            FaultKind::ReuseAddress {
                server,
                spare,
                stale_ms,
            } => {
                let stale = Duration::from_millis(stale_ms);
                self.reuse_address(server, spare, stale, duration).await;
            }
            FaultKind::Reload => self.reload(),
            FaultKind::Replace => self.replace().await,
            FaultKind::Kill => self.kill_router().await,
            FaultKind::ClientsLeave => set_during(&self.clients.disconnect_early, duration).await,
            FaultKind::LongWrites => set_during(&self.clients.write_long_values, duration).await,
            FaultKind::SlowReaders => set_during(&self.clients.read_slowly, duration).await,
        }
    }

    fn all_servers(&self) -> Vec<usize> {
        (0..self.plan.servers).collect()
    }

    /// Sets a fault on servers for a duration.
    async fn inject_server_fault(&self, servers: &[usize], duration: Duration, set: SetFault) {
        let set_all = |is_active| {
            for &server in servers {
                self.servers[server].change(|faults| set(faults, is_active));
            }
        };
        set_all(true);
        tokio::time::sleep(duration).await;
        set_all(false);
    }

    async fn drain(&self, server: usize, duration: Duration) {
        if self.servers[server].is_replaced.get() {
            return;
        }
        self.set_health(server, Health::Draining);
        tokio::time::sleep(DRAIN_DELAY).await;
        self.servers[server].change(|faults| faults.is_draining = true);
        tokio::time::sleep(duration).await;
        self.servers[server].kill();
        self.restart(server).await;
    }

    async fn restart(&self, server: usize) {
        tokio::time::sleep(RESTART_PAUSE).await;
        if self.servers[server].is_replaced.get() {
            return;
        }
        self.servers[server].restart().await;
        let address = self.servers[server].address.get();
        let born_ms = self.server_time_ms();
        self.discovery
            .set_endpoint(server, address, Health::Up, born_ms);
    }

    fn log(&self) -> Vec<String> {
        let logs = self.logs.borrow();
        let lines = logs
            .iter()
            .map(|log| log.lock().expect("the log lock is not poisoned").clone());
        lines.flatten().collect()
    }

    fn report(&self) -> SoakReport {
        let limit_kb = self.plan.memory_mb * 1024;
        if self.peak_memory_kb.get() > limit_kb {
            let text = format!(
                "{} KiB resident, the limit is {limit_kb}",
                self.peak_memory_kb.get()
            );
            self.recorder.record_exceeded_limit(text);
        }
        if self.peak_descriptors.get() > self.plan.descriptors {
            let limit = self.plan.descriptors;
            let text = format!(
                "{} descriptors, the limit is {limit}",
                self.peak_descriptors.get()
            );
            self.recorder.record_exceeded_limit(text);
        }
        SoakReport {
            plan: self.plan.clone(),
            requests: self.clients.requests.get(),
            answers: self.clients.answers.get(),
            served: self.clients.served.get(),
            violations: self.recorder.violations(),
            peak_memory_kb: self.peak_memory_kb.get(),
            peak_descriptors: self.peak_descriptors.get(),
            log: self.log(),
            rig_failures: self.rig_failures.borrow().clone(),
        }
    }
}

/// Sets a flag for a duration.
async fn set_during(flag: &Cell<bool>, duration: Duration) {
    flag.set(true);
    tokio::time::sleep(duration).await;
    flag.set(false);
}

fn router_configuration(plan: &SoakPlan, discovery: &Discovery) -> Value {
    let effects = [
        ("idempotent", "all"),
        ("deduplicated", "all"),
        ("deduplicated", "zone"),
        ("at_most_once", "all"),
    ];
    let classes: Vec<Value> = CLASSES
        .into_iter()
        .zip(effects)
        .enumerate()
        .map(|(number, (name, (effect, group)))| {
            let give_up = plan.deadlines_ms[number.min(1)] as f64 / 1_000.0;
            json!({"name": name, "effect": effect, "group": group,
                "memory_span": plan.deduplication_window_ms as f64 / 1_000.0, "target": give_up / 3.0,
                "give_up": give_up, "credit": 1.0, "late_value": 0.5})
        })
        .collect();
    let mut configuration = configuration(discovery.address, &[]);
    let known: Value =
        serde_json::from_str(&discovery.snapshot()).expect("the endpoint list is valid JSON");
    configuration["known"] = known;
    configuration["limits"]["memory_mb"] = plan.memory_mb.into();
    configuration["limits"]["sockets"] = plan.descriptors.into();
    let settings = &mut configuration["settings"];
    settings["request_classes"] = classes.into();
    settings["zones"] = json!(["z0", "z1"]);
    settings["zone"] = "z0".into();
    settings["discovery"] = if plan.lists_are_pushed {
        "automatic"
    } else {
        "subscribe"
    }
    .into();
    settings["invariants"]["ask_within"] = 10.0.into();
    settings["invariants"]["cold"] = 1.0.into();
    settings["limits"]["max_attempts"] = MAX_ATTEMPTS.into();
    configuration
}

/// Resident memory of a process, in KiB; `None` if the process has ended.
fn resident_kb(pid: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// Number of descriptors of a process; `None` if the process has ended.
fn descriptor_count(pid: u32) -> Option<usize> {
    Some(std::fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
