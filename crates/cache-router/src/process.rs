//! The life cycle of one router process: it reads its configuration, starts the runtime with the
//! state of the predecessor process, serves requests, and hands over to its successor.

use crate::Runtime;
use crate::admin_state::AdminState;
use crate::configuration::{Configuration, ConfigurationError};
use crate::hand_over::HandOver;
use crate::operator_file::{OperatorFile, OperatorFileError};
use crate::shared_memory::SharedMemory;
use crate::signals::{self, Signals};
use crate::stored_state;
use crate::summary;
use crate::takeover::{self, Predecessor};
use hot_restart::channel::HandoverChannel;
use hot_restart::message::HandoverState;
use hot_restart::rendezvous::RendezvousSocket;
use hot_restart::store::StateStore;
use hot_restart::{InheritError, inherited_listener};
use load_balancer::OverrideSource;
use load_balancer::deployment::Deployment;
use request_coalescing::{CoalescingRules, SettingsError};
use router_runtime::tokio_environment::{self, TokioEnvironment};
use router_runtime::{EndpointList, RouterConfig, RouterRuntime, ShutdownReport};
use std::error::Error;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::task::{JoinHandle, spawn_local};

/// Environment variable with the file descriptor number of the inherited listening socket.
const LISTENER_VARIABLE: &str = "GW_FD";
/// Environment variable with the directory of the rendezvous socket and the state file.
const STATE_DIRECTORY_VARIABLE: &str = "TMPDIR";

/// Why the process cannot start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The async executor cannot be built.
    #[error("cannot build the async executor: {0}")]
    Executor(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler: {0}")]
    Signals(#[source] io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The operator file is invalid.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The coalescing rules of the operator file do not match the settings.
    #[error("{path}: {source}")]
    CoalescingRules {
        /// Path of the operator file.
        path: String,
        /// The rule that does not match.
        source: SettingsError,
    },
    /// The runtime rejects its settings or limits.
    #[error("{0}")]
    Runtime(#[source] Box<dyn Error + Send + Sync>),
    /// The process cannot listen on this address.
    #[error("{addr}: cannot listen: {source}")]
    Listen {
        /// The address.
        addr: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// `GW_FD` is not a file descriptor number.
    #[error("{LISTENER_VARIABLE}: '{0}' is not a file descriptor number")]
    NotADescriptor(String),
    /// The inherited descriptor cannot be used as the listener.
    #[error("{LISTENER_VARIABLE}: descriptor {descriptor}: {source}")]
    Inherit {
        /// The descriptor number.
        descriptor: i32,
        /// Why it cannot be used.
        source: InheritError,
    },
    /// The inherited listener cannot be registered with the executor.
    #[error("{LISTENER_VARIABLE}: cannot register the inherited listener: {0}")]
    RegisterListener(#[source] io::Error),
    /// The address of the listener cannot be read.
    #[error("cannot read the address of the listener: {0}")]
    LocalAddress(#[source] io::Error),
}

/// Runs the process until SIGTERM and the graceful shutdown after it.
///
/// # Errors
/// If the process cannot start. Once it serves, no error is returned.
pub async fn run() -> Result<(), StartError> {
    // Done first, because each of these signals kills a process that has no handler for it.
    let signals = Signals::install().map_err(StartError::Signals)?;
    let settings = StartSettings::read()?;
    let writes_summary = settings.writes_summary;
    let rendezvous = rendezvous_socket(&settings.configuration.name);
    let predecessor = match &rendezvous {
        Some(socket) => takeover::request_takeover(socket, &settings.configuration.name).await,
        None => None,
    };
    let process = Process::start(settings, predecessor)?;
    let runtime = process.runtime;
    let shared_memory = rendezvous.is_some().then(|| {
        let shared_memory = shared_memory(&process.configuration.name, &runtime);
        // Detached task; dropped with the thread's `LocalSet` at exit.
        spawn_local(shared_memory.clone().follow_peers());
        shared_memory
    });
    if let (Some(channel), Some(shared_memory)) = (process.predecessor, &shared_memory) {
        let admin_state = process.admin_state.clone();
        // Detached task; it ends when the predecessor process has ended.
        spawn_local(takeover::complete_takeover(
            channel,
            runtime.clone(),
            admin_state,
            shared_memory.clone(),
        ));
    }
    let hand_over = rendezvous
        .zip(shared_memory)
        .map(|(socket, shared_memory)| HandOver {
            socket,
            router: process.configuration.name,
            runtime: runtime.clone(),
            admin_state: process.admin_state,
            shared_memory,
        });
    // Joined after the runtime has ended if there is a successor; otherwise dropped with the
    // thread's `LocalSet` at exit.
    let hand_over = hand_over.map(|hand_over| spawn_local(hand_over.run()));
    let settings = process.configuration.settings;
    signals::spawn_tasks(signals.reload, signals.log_counters, settings, &runtime);
    if writes_summary {
        // Detached task; dropped with the thread's `LocalSet` at exit.
        spawn_local(summary::write(runtime.clone()));
    }
    serve_until_stopped(&runtime, process.listener, signals.terminate, hand_over).await;
    Ok(())
}

/// A process that is ready to serve.
struct Process {
    configuration: Configuration,
    runtime: Rc<Runtime>,
    listener: TcpListener,
    admin_state: Rc<AdminState>,
    /// The channel to the predecessor, which serves until this process takes over; `None` if there
    /// is no predecessor.
    predecessor: Option<HandoverChannel>,
}

impl Process {
    /// Builds the runtime with the predecessor's state, or with the state on disk if there is no
    /// predecessor, and opens the listeners.
    fn start(
        settings: StartSettings,
        predecessor: Option<Predecessor>,
    ) -> Result<Process, StartError> {
        let mut configuration = settings.configuration;
        let store = state_store(&configuration.name);
        let (predecessor, mut state, source) = match predecessor {
            Some(Predecessor { channel, state }) => {
                (Some(channel), state, OverrideSource::PreviousProcess)
            }
            None => {
                let state = store.as_ref().map(load_state).unwrap_or_default();
                (None, state, OverrideSource::StateFile)
            }
        };
        let endpoints =
            stored_state::initial_endpoints(&mut configuration, state.endpoint_list.take());
        let endpoint_count = endpoints.endpoint_count();
        let runtime = build_runtime(&configuration, settings.runtime_settings, endpoints)?;
        stored_state::restore(&runtime, state, source);
        let listener = open_listener(configuration.listen)?;
        let local_addr = listener.local_addr().map_err(StartError::LocalAddress)?;
        let admin_state = AdminState::new(runtime.clone(), store, predecessor.is_some());
        // Detached task; dropped with the thread's `LocalSet` at exit.
        spawn_local(admin_state.clone().sync_and_retry_saves());
        if let Some(admin) = configuration.admin {
            let listener = listen(admin)?;
            // Detached task; dropped with the thread's `LocalSet` at exit.
            spawn_local(admin_api::server::serve(listener, admin_state.clone()));
        }
        let name = &configuration.name;
        eprintln!("asterport: {name} on {local_addr}, {endpoint_count} servers known");
        Ok(Process {
            configuration,
            runtime,
            listener,
            admin_state,
            predecessor,
        })
    }
}

/// Serves until SIGTERM and the graceful shutdown after it. If there is a successor process, also
/// waits until it has received all connections.
async fn serve_until_stopped(
    runtime: &Runtime,
    listener: TcpListener,
    mut terminate: Signal,
    hand_over: Option<JoinHandle<()>>,
) {
    let stop = async {
        terminate.recv().await;
    };
    let report = runtime.run(listener, stop).await;
    if let Some(hand_over) = hand_over.filter(|_| runtime.lifecycle().hands_over_connections()) {
        // Idle connections may still be queued for the successor when the runtime has ended.
        let _ = tokio::time::timeout_at(report.exit_deadline.into(), hand_over).await;
    }
    signals::log_coalescing_counters(runtime);
    eprintln!("asterport: stopped, {}", describe_shutdown(&report));
}

/// Validated settings from the configuration file, the environment and the operator file.
struct StartSettings {
    configuration: Configuration,
    runtime_settings: RuntimeSettings,
    writes_summary: bool,
}

/// Settings of the runtime other than addresses, resource limits and endpoints.
struct RuntimeSettings {
    deployment: Deployment,
    seed: u64,
    coalescing: Option<CoalescingRules>,
}

impl StartSettings {
    fn read() -> Result<StartSettings, StartError> {
        let configuration = Configuration::read_at_start()?;
        let deployment = configuration.deployment()?;
        let seed = configuration.seed()?;
        let operator_file = OperatorFile::read()?;
        let coalescing = match operator_file.coalescing.rules(&deployment) {
            Ok(rules) => rules,
            Err(source) => {
                let path = operator_file.path;
                return Err(StartError::CoalescingRules { path, source });
            }
        };
        Ok(StartSettings {
            configuration,
            runtime_settings: RuntimeSettings {
                deployment,
                seed,
                coalescing,
            },
            writes_summary: operator_file.summary.every_second,
        })
    }
}

/// Returns the store of operators' overrides; `None` if no directory is set for it.
fn state_store(router: &str) -> Option<StateStore> {
    let directory = std::env::var_os(STATE_DIRECTORY_VARIABLE)?;
    Some(StateStore::new(Path::new(&directory), router))
}

/// Returns the socket at which a new process of this router connects to the running one; `None` if
/// no directory is set for it, or if the platform holds no listener that both processes can share.
fn rendezvous_socket(router: &str) -> Option<RendezvousSocket> {
    std::env::var_os(LISTENER_VARIABLE)?;
    let directory = std::env::var_os(STATE_DIRECTORY_VARIABLE)?;
    Some(RendezvousSocket::new(Path::new(&directory), router))
}

/// The memory that this process shares with the others of its router, in the directory of the
/// rendezvous socket.
fn shared_memory(router: &str, runtime: &Rc<Runtime>) -> Rc<SharedMemory> {
    let directory = std::env::var_os(STATE_DIRECTORY_VARIABLE).unwrap_or_default();
    SharedMemory::open(Path::new(&directory), router, runtime.clone())
}

/// Loads the state that the last process of this router left on disk. An invalid file is logged and
/// treated as missing.
fn load_state(store: &StateStore) -> HandoverState {
    match store.load() {
        Ok(state) => state.unwrap_or_default(),
        Err(error) => {
            eprintln!(
                "asterport: {}: state file ignored: {error}",
                store.path().display()
            );
            HandoverState::default()
        }
    }
}

fn build_runtime(
    configuration: &Configuration,
    settings: RuntimeSettings,
    initial_endpoints: EndpointList,
) -> Result<Rc<Runtime>, StartError> {
    let config = RouterConfig {
        deployment: settings.deployment,
        seed: settings.seed,
        discovery: configuration.discovery,
        initial_endpoints,
        memory_bytes: configuration.limits.memory_bytes(),
        descriptor_limit: configuration.limits.descriptors,
        coalescing: settings.coalescing,
    };
    match RouterRuntime::new(TokioEnvironment, config) {
        Ok(runtime) => Ok(Rc::new(runtime)),
        Err(error) => Err(StartError::Runtime(error.into())),
    }
}

/// Opens the listener for clients: the inherited one that `GW_FD` names, otherwise a new one.
fn open_listener(addr: SocketAddr) -> Result<TcpListener, StartError> {
    let Ok(number) = std::env::var(LISTENER_VARIABLE) else {
        return listen(addr);
    };
    let Ok(descriptor) = number.parse() else {
        return Err(StartError::NotADescriptor(number));
    };
    let inherited = inherited_listener(descriptor, addr)
        .map_err(|source| StartError::Inherit { descriptor, source })?;
    TcpListener::from_std(inherited).map_err(StartError::RegisterListener)
}

fn listen(addr: SocketAddr) -> Result<TcpListener, StartError> {
    tokio_environment::listen(addr).map_err(|source| StartError::Listen { addr, source })
}

/// Describes the result of the shutdown for the log.
fn describe_shutdown(report: &ShutdownReport) -> String {
    let ShutdownReport {
        failed, unanswered, ..
    } = report;
    match (failed, unanswered) {
        (0, 0) => "all answered".into(),
        (failed, 0) => format!("{failed} answered as failed: the time before SIGKILL was over"),
        (failed, unanswered) => format!(
            "{failed} failed and {unanswered} of them unanswered: the time before SIGKILL was over"
        ),
    }
}
