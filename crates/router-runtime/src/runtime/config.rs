//! Configuration of a router, and the setup of its components derived from it.

use crate::clock::to_duration;
use crate::discovery::DiscoveryConfig;
use crate::endpoint_list::EndpointList;
use crate::memory_budget::ProcessMemory;
use crate::mutation::hooks;
use crate::upstream::UpstreamLimits;
use load_balancer::deployment::{Deployment, Names};
use load_balancer::{Class, DiscoveryMode, LoadReportFormat, Micros, Router, SilentWatchPolicy};
use request_coalescing::CoalescingRules;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// File descriptors that are not used for clients or cache servers: standard streams, the async
/// runtime, the listener, discovery, and some to spare.
const RESERVED_DESCRIPTORS: usize = 48;
/// The other descriptors are divided equally between clients and cache servers.
const DESCRIPTOR_USES: usize = 2;
/// Fewer descriptors leave none for connections.
const MIN_DESCRIPTORS: usize = RESERVED_DESCRIPTORS + DESCRIPTOR_USES;
/// Longer timeouts in the settings count as one day: instants far ahead may not be representable.
const MAX_TIMEOUT: Micros = Micros::from_millis(86_400_000);

/// Configuration of a router at its start.
pub struct RouterConfig {
    /// Its settings, and the names that their numbers stand for.
    pub deployment: Deployment,
    /// Seed of its random numbers; different at each start.
    pub seed: u64,
    /// Address of the discovery server.
    pub discovery: SocketAddr,
    /// Endpoint list to start with, from a previous process or from the configuration.
    pub initial_endpoints: EndpointList,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// File descriptors that the process may have open.
    pub descriptor_limit: usize,
    /// Which reads are coalesced; `None` if coalescing is off.
    pub coalescing: Option<CoalescingRules>,
}

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The descriptor limit leaves none for clients and cache servers.
    #[error("limits.sockets: {0} is too few, at least {MIN_DESCRIPTORS} are needed")]
    TooFewDescriptors(usize),
    /// The decision library rejects the settings.
    #[error(transparent)]
    Settings(#[from] load_balancer::SettingsError),
}

/// What the components of a router are built from.
pub(super) struct RouterSetup {
    /// The decision library's router.
    pub router: Router,
    /// The names that the numbers of the settings stand for.
    pub names: Rc<Names>,
    /// Request classes of the settings.
    pub classes: Vec<Class>,
    /// Format of load reports.
    pub report_format: LoadReportFormat,
    /// Limits of connections to cache servers.
    pub upstream_limits: UpstreamLimits,
    /// Configuration of the watch on the endpoint list.
    pub discovery: DiscoveryConfig,
    /// Endpoint list to start with, from a previous process or from the configuration.
    pub initial_endpoints: EndpointList,
    /// Which reads are coalesced; `None` if coalescing is off.
    pub coalescing: Option<CoalescingRules>,
    /// Whether attempts that no client waits for may be cancelled.
    pub may_cancel: bool,
    /// The longest deadline of all classes.
    pub longest_deadline: Duration,
    /// Memory that the process may use.
    pub memory: ProcessMemory,
}

impl RouterSetup {
    /// Validates a configuration and derives the setup.
    pub fn new(config: RouterConfig) -> Result<RouterSetup, ConfigError> {
        let deployment = config.deployment;
        let mut settings = hooks::settings(deployment.settings);
        let routers = settings.routers;
        settings.stagger_fraction = deployment
            .router_number
            .map(|number| relative_position(number, routers));
        let random_position = config.seed as f64 / u64::MAX as f64;
        let upstream_limits = UpstreamLimits {
            connect_timeout: to_duration(deployment.dial_timeout.min(MAX_TIMEOUT)),
            server_idle_timeout: to_duration(settings.connection_idle_timeout.min(MAX_TIMEOUT)),
            max_connections: connection_limit(config.descriptor_limit)?,
        };
        let names = Rc::new(deployment.names);
        let discovery = DiscoveryConfig {
            addr: config.discovery,
            names: names.clone(),
            is_push: settings.discovery == DiscoveryMode::Push,
            silent_watch: SilentWatchPolicy::new(
                settings.discovery,
                settings.routers,
                settings.stagger_fraction.unwrap_or(random_position),
            ),
        };
        let classes = settings.classes.clone();
        let deadlines = classes.iter().map(|class| class.deadline);
        let longest_deadline = to_duration(deadlines.max().unwrap_or_default());
        let may_cancel = settings.limits.cancel;
        let router = Router::new(settings, config.seed)?;
        Ok(RouterSetup {
            router,
            names,
            classes,
            report_format: deployment.report_format,
            upstream_limits,
            discovery,
            initial_endpoints: config.initial_endpoints,
            coalescing: config.coalescing,
            may_cancel,
            longest_deadline,
            memory: ProcessMemory {
                bytes: config.memory_bytes,
                connections: upstream_limits.max_connections,
            },
        })
    }
}

/// Position of a router among all routers, from 0 to 1, by its number.
fn relative_position(number: u32, routers: u32) -> f64 {
    f64::from(number % routers.max(1)) / f64::from(routers.max(1))
}

/// Maximum number of connections of clients, and likewise of cache servers.
fn connection_limit(descriptors: usize) -> Result<usize, ConfigError> {
    let limit = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTOR_USES;
    if limit == 0 {
        return Err(ConfigError::TooFewDescriptors(descriptors));
    }
    Ok(limit)
}
