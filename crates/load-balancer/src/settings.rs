//! Settings of a router: types, defaults and validation.

use crate::ids::{MachineKindId, ZoneId};
use crate::time::Micros;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May be repeated without harm.
    Idempotent,
    /// Carries an idempotency key. The servers of one scope drop duplicates within the window.
    Keyed {
        /// The servers that share the record of keys.
        scope: DeduplicationScope,
        /// Duplicates are dropped for this long after the first attempt.
        deduplication_window: Micros,
    },
    /// Must not run twice.
    NotIdempotent,
}

/// The servers among which duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All servers.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time have the full priority weight.
    pub latency_objective: Micros,
    /// The client gives up after this time, counted from its first try.
    pub deadline: Micros,
    /// Weight of one request relative to requests of other classes; at least 0.
    pub priority_weight: f64,
    /// The part of the priority weight that an answer past the latency objective still has; at
    /// least 0.
    pub late_weight: f64,
    /// Whether requests may be repeated.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Quota in requests per second over all routers; at least 0.
    pub quota_per_s: f64,
    /// The share of all requests that the tenant is entitled to; at least 0.
    pub share: f64,
}

/// Which side fetches from the origin after a cache miss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheMode {
    /// The cache server (read-through).
    Through,
    /// The router, with another attempt (cache-aside). Writes go to the origin as well.
    Aside {
        /// Servers of this machine kind are the origin and are not on the ring.
        origin: MachineKindId,
    },
}

/// The meaning of [`Endpoint::weight`](crate::Endpoint::weight).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WeightKind {
    /// None, or one that varies between lists. Weights are ignored.
    #[default]
    Unknown,
    /// The approximate size of the machine: its number of cores rather than its speed.
    Rough,
    /// The nominal capacity of the machine, including the speed of its cores.
    Nominal,
}

/// How the endpoint list arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Updates are pushed; no subscription is needed.
    Push,
    /// Updates arrive while the router is subscribed. A router that is not subscribed and has not
    /// polled for `poll_within` (four times that after a failed call) counts as knowing the list as
    /// it was that long ago.
    Subscribe {
        /// The longest allowed time between polls.
        poll_within: Micros,
    },
}

/// The rules of a deployment that every router must follow.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may be given up to this long after the client gave up.
    pub answer_grace: Micros,
    /// The router must stop sending new requests to a draining or removed server within this time
    /// of the update.
    pub drain_grace: Micros,
    /// Minimum capacity of a server when its slow start begins, as a ratio of its full capacity, 0
    /// to 1.
    pub initial_capacity_ratio: f64,
    /// Maximum duration of slow start.
    pub slow_start_duration: Micros,
    /// A server in slow start fails when it is sent more than this multiple of its current capacity
    /// for `overload_duration`.
    pub overload_multiple: f64,
    /// How long the overload described at `overload_multiple` lasts before the server fails.
    pub overload_duration: Micros,
    /// Idle connections to a draining server must be closed within this time of the drain update or
    /// of their last use; `None` if there is no such rule.
    pub drain_close: Option<Micros>,
}

/// Limits on the attempts and rejections of a router.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of attempts per request; at least 1.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether two attempts of a request may be in flight at the same time.
    pub hedging: bool,
    /// Whether rejections carry a Retry-After time.
    pub retry_after: bool,
    /// The longest Retry-After time that clients respect.
    pub max_retry_after: Micros,
}

/// The settings of a router, fixed when it is created.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Number of routers that share the fleet, including this one; at least 1.
    pub routers: u32,
    /// Staggers actions that not all routers should take at the same time: from 0 to 1, evenly
    /// spaced over the routers; `None` if not known.
    pub stagger_fraction: Option<f64>,
    /// The zone of this router.
    pub zone: Option<ZoneId>,
    /// Classes of requests; at least one.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Weight of a request beyond the quota of its tenant, as a ratio of its weight within the
    /// quota.
    pub over_quota_weight: f64,
    /// Which side fetches from the origin after a miss.
    pub mode: CacheMode,
    /// How the endpoint list arrives.
    pub discovery: DiscoveryMode,
    /// The meaning of the weights in the list.
    pub weight_kind: WeightKind,
    /// The rules of the deployment.
    pub rules: Rules,
    /// Limits on attempts and rejections.
    pub limits: Limits,
    /// Either side closes idle connections after this time.
    pub connection_idle_timeout: Micros,
    /// The costs of connections.
    pub connection_costs: ConnectionCosts,
    /// Whether the origin stops serving for some seconds when it is overloaded for too long.
    pub origin_collapses_under_overload: bool,
}

/// The costs of connections to a deployment, as ratios of the weight of all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionCosts {
    /// Cost of a hundred permanently open connections to each server; 0 if they cost nothing.
    pub connection: f64,
    /// Cost of a new connection for each request.
    pub handshake: f64,
}

/// An invalid setting, with its path, such as `classes.0.aim`.
///
/// The paths differ from those that [`deployment::read`](crate::deployment::read) takes: for
/// example, `classes.0.aim` is read from `request_classes.0.target`, and `rules.cold_share` from
/// `invariants.cold_from`. Operators' tools match the paths, so they must not change.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A count is zero.
    #[error("setting {setting}: must be at least 1")]
    ZeroCount {
        /// The path of the setting.
        setting: String,
    },
    /// There are no request classes.
    #[error("setting classes: at least one class is needed")]
    NoClasses,
    /// A time is zero.
    #[error("setting {setting}: must be above zero")]
    ZeroTime {
        /// The path of the setting.
        setting: String,
    },
    /// A number is negative, infinite or NaN.
    #[error("setting {setting}: must be a number of at least zero")]
    NotANumber {
        /// The path of the setting.
        setting: String,
    },
    /// A ratio is not between 0 and 1.
    #[error("setting {setting}: must lie between 0 and 1")]
    NotARatio {
        /// The path of the setting.
        setting: String,
    },
}

impl Class {
    /// The latency up to which an answer is useful: the objective plus the remaining time to the
    /// deadline scaled by the late weight.
    pub(crate) fn longest_useful_latency(&self) -> Micros {
        let late_time = self.deadline.since(self.latency_objective);
        self.latency_objective
            .plus(late_time.scaled(self.late_weight))
    }

    /// Validates the class at this index.
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let path = |field: &str| format!("classes.{index}.{field}");
        require_positive(self.latency_objective, || path("aim"))?;
        require_positive(self.deadline, || path("deadline"))?;
        require_number(self.priority_weight, || path("worth"))?;
        require_number(self.late_weight, || path("late_worth"))
    }
}

impl Tenant {
    /// Validates the tenant at this index.
    fn validate(&self, index: usize) -> Result<(), SettingsError> {
        let path = |field: &str| format!("tenants.{index}.{field}");
        require_number(self.quota_per_s, || path("quota_per_s"))?;
        require_number(self.share, || path("share"))
    }
}

impl Settings {
    /// Validates all settings.
    ///
    /// # Errors
    ///
    /// The first invalid setting.
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
    /// One router, no tenants, a pushed endpoint list and a read-through fleet. Classes must be
    /// added.
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
