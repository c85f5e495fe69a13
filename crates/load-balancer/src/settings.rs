//! Settings of a router: types, defaults and validation.

use crate::ids::{KindId, ZoneId};
use crate::time::Micros;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// Carries an idempotency key: the servers of one scope drop repeats within the window.
    Keyed {
        /// Which servers share the record of keys.
        scope: DeduplicationScope,
        /// How long after the first attempt repeats are dropped.
        deduplication_window: Micros,
    },
    /// Must never run twice.
    NotIdempotent,
}

/// The servers that drop each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time have the full priority weight.
    pub latency_objective: Micros,
    /// After this time the client gives up, all its tries included.
    pub deadline: Micros,
    /// Weight of one request against those of other classes; at least 0.
    pub priority_weight: f64,
    /// Share of that weight which an answer past the latency objective still has; at least 0.
    pub late_weight: f64,
    /// Whether it may be repeated.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all routers, within its share; at least 0.
    pub quota_per_s: f64,
    /// Its share of the service; at least 0.
    pub share: f64,
}

/// Which side fetches from the origin what a cache server lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// The cache server itself (read-through).
    Through,
    /// The router, by a further attempt (cache-aside); writes go to the origin too.
    Aside {
        /// Servers of this kind are the origin and stay off the ring.
        origin: KindId,
    },
}

/// What an [`Endpoint::weight`](crate::Endpoint::weight) tells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightKind {
    /// Nothing, or something that varies from list to list.
    #[default]
    Unknown,
    /// The size of the machine, roughly: cores rather than speed.
    Rough,
    /// The registered size, the speed of its cores included.
    Nominal,
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Updates are pushed without a subscription.
    Push,
    /// Updates come while subscribed; a router that is not subscribed and has not polled for `poll_within` (four
    /// times that after a failed call) counts as told of the list as it was that long ago.
    Subscribe {
        /// The longest time between polls.
        poll_within: Micros,
    },
}

/// The rules of a deployment that every router keeps.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this much after the client gave up.
    pub answer_grace: Micros,
    /// New requests to a draining or removed server must end this soon after the router was told.
    pub drain_grace: Micros,
    /// A server starts with at least this ratio of its capacity, 0 to 1.
    pub initial_capacity_ratio: f64,
    /// Slow start lasts this long at most.
    pub slow_start_duration: Micros,
    /// A server in slow start that is sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long fails.
    pub overload_duration: Micros,
    /// Idle connections to a draining server must be closed this soon after the notice or the last use; `None`
    /// where no such rule holds.
    pub drain_close: Option<Micros>,
}

/// What the router may do.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Attempts of one request; at least 1.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of a request may be in flight together.
    pub hedging: bool,
    /// Clients are told when to retry.
    pub retry_after: bool,
    /// The longest retry-after time that clients heed.
    pub max_retry_after: Micros,
}

/// What a router is told once, at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Routers that share the fleet, this one included; at least 1.
    pub routers: u32,
    /// This router's place among them, from 0 to 1, where it is known: evenly apart, for what not all may do at once.
    pub stagger_fraction: Option<f64>,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// Classes of requests; at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The weight of a request beyond its tenant's quota, as a ratio.
    pub over_quota_weight: f64,
    /// Which side fetches from the origin.
    pub mode: CacheMode,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// What the weights on it tell.
    pub weight_kind: WeightKind,
    /// The rules of the deployment.
    pub rules: Rules,
    /// What the router may do.
    pub limits: Limits,
    /// Idle connections are closed by either side after this long.
    pub connection_idle_timeout: Micros,
    /// What connections cost.
    pub connection_costs: ConnectionCosts,
    /// An origin that is sent too much for too long stops for some seconds.
    pub origin_collapses_under_overload: bool,
}

/// What connections cost a deployment, as ratios of the weight of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionCosts {
    /// A hundred open connections to each server, all the time; 0 where they cost nothing.
    pub connection: f64,
    /// A new connection for each request.
    pub handshake: f64,
}

/// A setting that cannot be used, with its path, such as `classes.0.aim`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A count is zero.
    #[error("setting {setting}: must be at least 1")]
    ZeroCount {
        /// Its path.
        setting: String,
    },
    /// There is no class of requests.
    #[error("setting classes: at least one class is needed")]
    NoClasses,
    /// A time is zero.
    #[error("setting {setting}: must be above zero")]
    ZeroTime {
        /// Its path.
        setting: String,
    },
    /// A number is negative, infinite or none.
    #[error("setting {setting}: must be a number of at least zero")]
    NotANumber {
        /// Its path.
        setting: String,
    },
    /// A ratio is not between 0 and 1.
    #[error("setting {setting}: must lie between 0 and 1")]
    NotARatio {
        /// Its path.
        setting: String,
    },
}

impl Class {
    /// The longest latency of which an answer is of use: past the objective, by the weight that it still has.
    pub(crate) fn longest_useful_latency(&self) -> Micros {
        let late_time = self.deadline.since(self.latency_objective);
        self.latency_objective
            .plus(late_time.scaled(self.late_weight))
    }

    /// Checks the values of the class at this index.
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let path = |field: &str| format!("classes.{index}.{field}");
        require_positive(self.latency_objective, || path("aim"))?;
        require_positive(self.deadline, || path("deadline"))?;
        require_number(self.priority_weight, || path("worth"))?;
        require_number(self.late_weight, || path("late_worth"))
    }
}

impl Tenant {
    /// Checks the values of the tenant at this index.
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let path = |field: &str| format!("tenants.{index}.{field}");
        require_number(self.quota_per_s, || path("quota_per_s"))?;
        require_number(self.share, || path("share"))
    }
}

impl Settings {
    /// Checks every value.
    ///
    /// # Errors
    ///
    /// The first setting that cannot be used.
    pub fn validate(&self) -> Result<(), SettingsError> {
        require_count(self.routers, "routers")?;
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        for (index, class) in self.classes.iter().enumerate() {
            class.validate(index)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            tenant.validate(index)?;
        }
        require_number(self.over_quota_weight, || "over_quota_worth".into())?;
        if !(0.0..=1.0).contains(&self.rules.initial_capacity_ratio) {
            let setting = "rules.cold_share".into();
            return Err(SettingsError::NotARatio { setting });
        }
        let overload_multiple = self.rules.overload_multiple;
        require_number(overload_multiple, || "rules.fall_multiple".into())?;
        require_count(self.limits.max_attempts, "limits.max_attempts")
    }
}

fn require_count(count: u32, setting: &str) -> Result<(), SettingsError> {
    if count == 0 {
        let setting = setting.into();
        return Err(SettingsError::ZeroCount { setting });
    }
    Ok(())
}

fn require_positive(time: Micros, setting: impl FnOnce() -> String) -> Result<(), SettingsError> {
    if time == Micros(0) {
        let setting = setting();
        return Err(SettingsError::ZeroTime { setting });
    }
    Ok(())
}

fn require_number(value: f64, setting: impl FnOnce() -> String) -> Result<(), SettingsError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    let setting = setting();
    Err(SettingsError::NotANumber { setting })
}

impl Default for Settings {
    /// One router, no tenants, a pushed list and a read-through fleet; classes must be filled in.
    fn default() -> Self {
        Settings {
            routers: 1,
            stagger_fraction: None,
            zone: None,
            classes: Vec::new(),
            tenants: Vec::new(),
            over_quota_weight: 1.0,
            mode: CacheMode::Through,
            discovery: DiscoveryMode::Push,
            weight_kind: WeightKind::Unknown,
            rules: Rules {
                answer_grace: Micros::from_millis(20),
                drain_grace: Micros::from_millis(250),
                initial_capacity_ratio: 0.1,
                slow_start_duration: Micros::from_millis(30_000),
                overload_multiple: 2.0,
                overload_duration: Micros::from_millis(1_000),
                drain_close: None,
            },
            limits: Limits {
                max_attempts: 3,
                cancel: false,
                hedging: false,
                retry_after: false,
                max_retry_after: Micros::from_millis(1_000),
            },
            connection_idle_timeout: Micros::from_millis(15_000),
            connection_costs: ConnectionCosts::default(),
            origin_collapses_under_overload: true,
        }
    }
}
