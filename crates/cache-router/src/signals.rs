//! Signal handlers of the process, and the actions on SIGHUP and SIGUSR1.

use crate::Runtime;
use crate::configuration::Configuration;
use serde_json::Value;
use std::io;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::spawn_local;

/// Streams of the handled signals.
pub struct Signals {
    /// SIGHUP: read the configuration file again.
    pub reload: Signal,
    /// SIGTERM: shut down.
    pub terminate: Signal,
    /// SIGUSR1: log the counters of coalescing.
    pub log_counters: Signal,
}

impl Signals {
    /// Installs the handlers.
    ///
    /// # Errors
    /// If a handler cannot be installed.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            reload: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            log_counters: signal(SignalKind::user_defined1())?,
        })
    }
}

/// Spawns the tasks that handle all signals except SIGTERM. `settings` are those that the process
/// was started with.
pub fn spawn_tasks(
    reload: Signal,
    mut log_counters: Signal,
    settings: Value,
    runtime: &Rc<Runtime>,
) {
    // Both tasks are detached, and dropped with the thread's `LocalSet` at exit.
    spawn_local(reload_configuration(reload, settings, runtime.clone()));
    let runtime = runtime.clone();
    spawn_local(async move {
        while log_counters.recv().await.is_some() {
            log_coalescing_counters(&runtime);
        }
    });
}

/// Reads the configuration file again at each SIGHUP. A running router applies only the discovery
/// address.
async fn reload_configuration(mut hangup: Signal, settings: Value, runtime: Rc<Runtime>) {
    while hangup.recv().await.is_some() {
        match Configuration::read_for_reload() {
            Ok(configuration) => {
                let discovery = configuration.discovery;
                let remark = if configuration.settings == settings {
                    ""
                } else {
                    "; changed settings take effect at the next start"
                };
                eprintln!("asterport: configuration reloaded: discovery {discovery}{remark}");
                runtime.set_discovery_addr(discovery);
            }
            Err(error) => {
                eprintln!("asterport: configuration not reloaded, the old one holds: {error}");
            }
        }
    }
}

/// Logs the counters of coalescing, if it is on.
pub fn log_coalescing_counters(runtime: &Runtime) {
    let Some(report) = runtime.coalescing() else {
        return;
    };
    let usage = runtime.resource_usage();
    let waiters = usage.coalesced_waiters;
    let flights = usage.coalesced_flights;
    let oldest_ms = report.oldest_flight_age.map_or(0, |age| age.0 / 1_000);
    let counters = report.counters;
    eprintln!(
        "asterport: joining: {counters}; now {waiters} waiters on {flights} flights, the oldest {oldest_ms} ms old"
    );
}
