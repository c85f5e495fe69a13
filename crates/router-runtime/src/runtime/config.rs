//! What a router is started with, and what follows from it.

use crate::clock::duration;
use crate::discovery::DiscoveryConfig;
use crate::endpoint_list::EndpointList;
use crate::mutation::hooks;
use crate::upstream::UpstreamLimits;
use load_balancer::deployment::{Deployment, Names};
use load_balancer::{Class, DiscoveryMode, LoadReportFormat, Micros, Router, SilentWatchPolicy};
use request_coalescing::CoalescingRules;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Descriptors that are neither clients' nor cache servers': standard streams, the async runtime's, the listener's,
/// discovery's, and some to spare.
const RESERVED_DESCRIPTORS: usize = 48;
/// Clients and cache servers get one part each of the other descriptors.
const DESCRIPTOR_USES: usize = 2;
/// Longer timeouts of the settings count as a day: instants beyond may not be representable.
const MAX_TIMEOUT: Micros = Micros::from_millis(86_400_000);

/// What a router needs at its start.
pub struct RouterConfig {
    /// Its settings, and the names behind their numbers.
    pub deployment: Deployment,
    /// For its random numbers; new with each start.
    pub seed: u64,
    /// Where the list of servers is watched.
    pub discovery: SocketAddr,
    /// The list as this router last had it.
    pub initial_endpoints: EndpointList,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: usize,
    /// Descriptors that the process may hold.
    pub descriptor_limit: usize,
    /// Which reads are coalesced; `None`: none are.
    pub coalescing: Option<CoalescingRules>,
}

/// Why a router cannot start with its configuration.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The descriptors leave none for clients and cache servers.
    #[error("limits.sockets: {0} is too few")]
    TooFewDescriptors(usize),
    /// The decision library does not take the settings.
    #[error(transparent)]
    Settings(#[from] load_balancer::SettingsError),
}

/// What the parts of a router are made of.
pub(super) struct RouterSetup {
    /// The decision library.
    pub router: Router,
    /// Names behind the numbers of the settings.
    pub names: Rc<Names>,
    /// Classes of the settings.
    pub classes: Vec<Class>,
    /// What load reports hold.
    pub report_format: LoadReportFormat,
    /// For connections to cache servers.
    pub upstream_limits: UpstreamLimits,
    /// For the watch on the list of servers.
    pub discovery: DiscoveryConfig,
    /// The list as this router last had it.
    pub initial_endpoints: EndpointList,
    /// Which reads are coalesced.
    pub coalescing: Option<CoalescingRules>,
    /// Attempts for nobody are cancelled.
    pub may_cancel: bool,
    /// The longest deadline of any class.
    pub longest_deadline: Duration,
    /// Memory that the process may use.
    pub memory_bytes: usize,
}

impl RouterSetup {
    /// Checks a configuration and derives the setup.
    pub fn new(config: RouterConfig) -> Result<RouterSetup, ConfigError> {
        let deployment = config.deployment;
        let mut settings = hooks::settings(deployment.settings);
        let routers = settings.routers;
        settings.stagger_fraction = deployment
            .router_number
            .map(|number| place(number, routers));
        let chance = config.seed as f64 / u64::MAX as f64;
        let upstream_limits = UpstreamLimits {
            connect_timeout: duration(deployment.dial_timeout.min(MAX_TIMEOUT)),
            server_idle_timeout: duration(settings.connection_idle_timeout.min(MAX_TIMEOUT)),
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
                settings.stagger_fraction.unwrap_or(chance),
            ),
        };
        let classes = settings.classes.clone();
        let deadlines = classes.iter().map(|class| class.deadline);
        let longest_deadline = duration(deadlines.max().unwrap_or_default());
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
            memory_bytes: config.memory_bytes,
        })
    }
}

/// The place among the others, from 0 to 1, of the router of this number.
fn place(number: u32, routers: u32) -> f64 {
    f64::from(number % routers.max(1)) / f64::from(routers.max(1))
}

/// How many connections clients, and how many cache servers, may have.
fn connection_limit(descriptors: usize) -> Result<usize, ConfigError> {
    let limit = descriptors.saturating_sub(RESERVED_DESCRIPTORS) / DESCRIPTOR_USES;
    if limit == 0 {
        return Err(ConfigError::TooFewDescriptors(descriptors));
    }
    Ok(limit)
}
