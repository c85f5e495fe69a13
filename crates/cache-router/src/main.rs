//! asterport: a router on real sockets between the clients of a fleet of cache servers and its servers.
//!
//! The decisions are those of the library; this program translates them to connections.

mod admin_state;
mod operator;
mod summary;
mod takeover;

use admin_state::AdminState;
use hot_restart::channel::RendezvousSocket;
use hot_restart::inherited_listener;
use hot_restart::message::HandoverState;
use hot_restart::store::StateStore;
use load_balancer::ServerId;
use load_balancer::deployment::{self, Deployment};
use operator::OperatorFile;
use router_runtime::tokio_environment::{self, TokioEnvironment};
use router_runtime::{EndpointList, RouterConfig, RouterRuntime, ShutdownReport};
use serde::Deserialize;
use serde_json::Value;
use std::fmt::Display;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

#[derive(Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// Where operators call; nowhere without it.
    admin: Option<SocketAddr>,
    seed: String,
    limits: ConfigLimits,
    known: Option<EndpointList>,
    settings: Value,
}

#[derive(Deserialize)]
struct ConfigLimits {
    sockets: usize,
    #[serde(default = "usual_memory")]
    memory_mb: usize,
}

/// Where a configuration says nothing of memory.
fn usual_memory() -> usize {
    192
}

fn main() -> ExitCode {
    // A panic leaves the module in an unknown state: end at once, to be started again from nothing.
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("asterport: {panic}");
        std::process::exit(101);
    }));
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("asterport: {problem}");
            ExitCode::from(2)
        }
    }
}

fn plainly(what: &str, problem: impl Display) -> String {
    format!("{what}: {problem}")
}

/// The file as it stands now.
fn read_file() -> Result<Config, String> {
    let path = std::env::var("GW_CONFIG")
        .map_err(|_| "GW_CONFIG names no configuration file".to_string())?;
    let text = std::fs::read(&path).map_err(|e| plainly(&path, e))?;
    serde_json::from_slice(&text).map_err(|e| plainly(&path, e))
}

/// The configuration at the start, in which the environment takes precedence.
fn read_config() -> Result<Config, String> {
    let mut config = read_file()?;
    for (name, addr) in [
        ("GW_LISTEN", &mut config.listen),
        ("GW_DISCOVERY", &mut config.discovery),
    ] {
        if let Ok(text) = std::env::var(name) {
            *addr = text
                .parse()
                .map_err(|_| format!("{name}: '{text}' is not an address"))?;
        }
    }
    if let Ok(text) = std::env::var("GW_ADMIN") {
        config.admin = Some(
            text.parse()
                .map_err(|_| format!("GW_ADMIN: '{text}' is not an address"))?,
        );
    }
    if let Ok(name) = std::env::var("GW_NAME") {
        config.name = name;
    }
    Ok(config)
}

impl Config {
    fn deployment(&self) -> Result<Deployment, String> {
        let mut pairs = Vec::new();
        flatten("", &self.settings, &mut pairs);
        let pairs = pairs
            .iter()
            .map(|(path, value)| (path.as_str(), value.as_str()));
        let deployment = deployment::read(pairs).map_err(|e| e.to_string())?;
        deployment.settings.validate().map_err(|e| e.to_string())?;
        Ok(deployment)
    }
}

/// Takes the file anew at each SIGHUP, for as long as the program runs. What the environment said at the start no
/// longer counts then: the file was changed since. Of a running router only `discovery` can change.
async fn reload(mut hangup: Signal, settings: Value, engine: Rc<RouterRuntime<TokioEnvironment>>) {
    while hangup.recv().await.is_some() {
        match read_file().and_then(|config| config.deployment().map(|_| config)) {
            Ok(config) => {
                let rest = if config.settings == settings {
                    ""
                } else {
                    "; other settings at the next start"
                };
                eprintln!(
                    "asterport: new configuration: discovery {}{rest}",
                    config.discovery
                );
                engine.move_watch_to(config.discovery);
            }
            Err(problem) => eprintln!("asterport: the old configuration holds: {problem}"),
        }
    }
}

/// What joining came to so far, where it is on.
fn say_joined(engine: &RouterRuntime<TokioEnvironment>) {
    let Some((counters, oldest)) = engine.coalescing_counters() else {
        return;
    };
    let (now, oldest) = (
        engine.resource_usage(),
        oldest.map_or(0, |age| age.0 / 1_000),
    );
    let (waiters, flights) = (now.coalesced_waiters, now.coalesced_flights);
    eprintln!(
        "asterport: joining: {counters}; now {waiters} waiters on {flights} flights, the oldest {oldest} ms old"
    );
}

/// The settings in the form of the bench's pairs, so that both have one reader: a list of plain values is joined
/// with commas, a list of objects states its length under `.count` and its items under their numbers.
fn flatten(path: &str, value: &Value, pairs: &mut Vec<(String, String)>) {
    let below = |name: &str| {
        if path.is_empty() {
            name.to_string()
        } else {
            format!("{path}.{name}")
        }
    };
    match value {
        Value::Null => {}
        Value::Object(members) => members
            .iter()
            .for_each(|(name, value)| flatten(&below(name), value, pairs)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            pairs.push((below("count"), items.len().to_string()));
            items
                .iter()
                .enumerate()
                .for_each(|(i, item)| flatten(&below(&i.to_string()), item, pairs));
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain).collect();
            pairs.push((path.to_string(), items.join(",")));
        }
        value => pairs.push((path.to_string(), plain(value))),
    }
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}

fn run() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = runtime.map_err(|e| plainly("runtime", e))?;
    LocalSet::new().block_on(&runtime, route())
}

/// Where clients connect: the socket that the platform holds, where it names one, else one of this process's own.
fn listener(addr: SocketAddr) -> Result<TcpListener, String> {
    let Ok(text) = std::env::var("GW_FD") else {
        return tokio_environment::listen(addr).map_err(|e| plainly(&addr.to_string(), e));
    };
    let descriptor = text
        .parse()
        .map_err(|_| format!("GW_FD: '{text}' is not a descriptor"))?;
    let inherited = inherited_listener(descriptor, addr);
    let inherited = inherited.map_err(|e| format!("GW_FD: descriptor {descriptor}: {e}"))?;
    TcpListener::from_std(inherited).map_err(|e| plainly("GW_FD", e))
}

/// What the last process of this router left on disk; a file that cannot be used is one line, and nothing.
fn left_behind(store: &StateStore) -> HandoverState {
    store
        .load()
        .unwrap_or_else(|problem| {
            eprintln!("asterport: {}: {problem}", store.path().display());
            None
        })
        .unwrap_or_default()
}

/// The list of the process before this one, if it came from the same discovery.
fn newest(list: Option<(SocketAddr, Vec<u8>)>, discovery: SocketAddr) -> Option<EndpointList> {
    let (_, text) = list.filter(|(from, _)| *from == discovery)?;
    serde_json::from_slice(&text).ok()
}

/// How the process ended, for the log.
fn ended(stopped: ShutdownReport) -> String {
    let ShutdownReport {
        failed, unanswered, ..
    } = stopped;
    match (failed, unanswered) {
        (0, 0) => "all answered".into(),
        (failed, 0) => format!("{failed} answered as failed: the time before SIGKILL was over"),
        (failed, left) => {
            format!(
                "{failed} failed and {left} of them unanswered: the time before SIGKILL was over"
            )
        }
    }
}

async fn route() -> Result<(), String> {
    // Before anything else: without a handler either signal kills the program.
    let hangup = signal(SignalKind::hangup()).map_err(|e| plainly("signals", e))?;
    let mut stop = signal(SignalKind::terminate()).map_err(|e| plainly("signals", e))?;
    let mut tell = signal(SignalKind::user_defined1()).map_err(|e| plainly("signals", e))?;
    let config = read_config()?;
    let deployment = config.deployment()?;
    let seed = u64::from_str_radix(&config.seed, 16)
        .map_err(|_| format!("seed: '{}' is not hex", config.seed))?;
    let (operator, operator_path) = OperatorFile::read()?;
    let joining = operator
        .joining
        .rules(&deployment)
        .map_err(|e| plainly(&operator_path, e))?;
    let store =
        std::env::var_os("TMPDIR").map(|folder| StateStore::new(Path::new(&folder), &config.name));
    // Another process of this router can serve only where the platform holds the listener for both.
    let meeting = std::env::var_os("TMPDIR").filter(|_| std::env::var_os("GW_FD").is_some());
    let meeting = meeting.map(|folder| RendezvousSocket::new(Path::new(&folder), &config.name));
    let before = match &meeting {
        Some(meeting) => takeover::meet(meeting, &config.name).await,
        None => None,
    };
    let (before, left) = match before {
        Some((link, state)) => (Some(link), state),
        None => (None, store.as_ref().map(left_behind).unwrap_or_default()),
    };
    let known = newest(left.list, config.discovery)
        .or(config.known)
        .unwrap_or_default();
    let (count, discovery, sockets) = (known.servers(), config.discovery, config.limits.sockets);
    let memory = config.limits.memory_mb.saturating_mul(1 << 20);
    let engine = Rc::new(RouterRuntime::new(
        TokioEnvironment,
        RouterConfig {
            deployment,
            seed,
            discovery,
            initial_endpoints: known,
            memory_bytes: memory,
            descriptor_limit: sockets,
            coalescing: joining,
        },
    )?);
    engine.apply_admin_overrides(
        left.words
            .into_iter()
            .map(|(server, said)| (ServerId::from(&server[..]), admin_state::word(said))),
    );
    // What does not fit is left out, and all of it where it cannot be read: it is learnt anew.
    if let Ok(learnt) = postcard::from_bytes(&left.learnt) {
        engine.restore_warm_state(learnt);
    }
    if left.drained {
        engine.drain_router();
    }
    let listener = listener(config.listen)?;
    let addr = listener.local_addr().map_err(|e| plainly("listener", e))?;
    let desk = AdminState::new(engine.clone(), store, before.is_none());
    if let Some(admin) = config.admin {
        let listener =
            tokio_environment::listen(admin).map_err(|e| plainly(&admin.to_string(), e))?;
        spawn_local(admin_api::server::serve(listener, desk.clone()));
    }
    eprintln!(
        "asterport: {} on {addr}, {count} servers known",
        config.name
    );
    if let Some(link) = before {
        spawn_local(takeover::take_over(link, engine.clone(), desk.clone()));
    }
    let given_way = meeting.map(|meeting| {
        let (engine, desk) = (engine.clone(), desk.clone());
        spawn_local(takeover::give_way(meeting, config.name, engine, desk))
    });
    spawn_local(reload(hangup, config.settings, engine.clone()));
    let telling = engine.clone();
    spawn_local(async move {
        while tell.recv().await.is_some() {
            say_joined(&telling);
        }
    });
    if operator.summary.every_second {
        spawn_local(summary::write(engine.clone()));
    }
    let stopped = async {
        stop.recv().await;
    };
    let stopped = engine.run(listener, stopped).await;
    if let Some(given_way) = given_way.filter(|_| engine.lifecycle().is_handed_over()) {
        // What came to rest is still on its way to the successor, however much that is.
        let _ = tokio::time::timeout_at(stopped.exit_deadline.into(), given_way).await;
    }
    say_joined(&engine);
    eprintln!("asterport: stopped, {}", ended(stopped));
    Ok(())
}
