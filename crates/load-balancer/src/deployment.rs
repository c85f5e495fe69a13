//! Reads the settings of a router from pairs of a dotted path and a value.
//!
//! The simulator sends the pairs in its first message, and the router program reads them from its
//! configuration. The paths are part of that protocol. Unknown paths are ignored.
//!
//! Optional paths and their defaults: `peers_total` 1, `slot_no` none, `over_share_worth` 1,
//! `customers` none, `credit` of a class 1 and its `late_value` 0, `invariants.drain_close` none,
//! `weight_kind` unknown, `limits.max_attempts` 1, the flags of `limits` false,
//! `limits.max_retry_after` 0, `specifics.mode` through, `stats` none, `discovery` automatic,
//! `limits.conn_idle` and `limits.dial_timeout` unlimited, `deductions.connection` and
//! `deductions.handshake` 0. All other paths that are read here are required.

use crate::ids::{MachineKindId, ZoneId};
use crate::load_report::LoadReportFormat;
use crate::settings::{
    CacheMode, Class, ConnectionCosts, DeduplicationScope, DiscoveryMode, Idempotency, Limits,
    Rules, Settings, Tenant, WeightKind,
};
use crate::time::Micros;
use std::collections::HashMap;

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeploymentError {
    /// A required setting is missing.
    #[error("setting {path} is missing")]
    Missing {
        /// The path of the setting.
        path: String,
    },
    /// A value is not a finite number of at least zero.
    #[error("setting {path}: '{value}' is not a number of at least zero")]
    NotANumber {
        /// The path of the setting.
        path: String,
        /// The given value.
        value: String,
    },
    /// A value is none of `true`, `1`, `false` and `0`.
    #[error("setting {path}: '{value}' is not a flag, expected true, 1, false or 0")]
    NotAFlag {
        /// The path of the setting.
        path: String,
        /// The given value.
        value: String,
    },
    /// A value is not one of the known words.
    #[error("setting {path}: unknown value '{value}', expected {expected}")]
    UnknownWord {
        /// The path of the setting.
        path: String,
        /// The given value.
        value: String,
        /// The known words, as a phrase.
        expected: &'static str,
    },
}

/// The names that a deployment uses for items that the library identifies by number.
#[derive(Clone, Debug)]
pub struct Names {
    /// Names of the classes, in the order of [`ClassId`](crate::ClassId).
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`TenantId`](crate::TenantId).
    pub tenants: Vec<String>,
    /// Names of the zones, in the order of [`ZoneId`].
    pub zones: Vec<String>,
    /// Names of the machine kinds, in the order of [`MachineKindId`].
    pub kinds: Vec<String>,
}

/// The settings of a deployment for one router.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of the decision library.
    pub settings: Settings,
    /// The number of this router among `settings.routers`, from 0, if it is set.
    pub router_number: Option<u32>,
    /// The names of classes, tenants, zones and machine kinds.
    pub names: Names,
    /// If connecting to a server takes longer than this, the server counts as unreachable.
    pub dial_timeout: Micros,
    /// The fields of the load reports in answers; empty if answers carry none.
    pub report_format: LoadReportFormat,
}

/// Values and their names, in the same order.
struct Named<T> {
    values: Vec<T>,
    names: Vec<String>,
}

impl<T> Named<T> {
    fn new() -> Named<T> {
        Named {
            values: Vec::new(),
            names: Vec::new(),
        }
    }
}

/// The pairs by path.
struct Params<'a>(HashMap<&'a str, &'a str>);

impl<'a> Params<'a> {
    fn optional(&self, path: &str) -> Option<&'a str> {
        self.0.get(path).copied()
    }

    fn text(&self, path: &str) -> Result<&'a str, DeploymentError> {
        self.optional(path)
            .ok_or_else(|| DeploymentError::Missing { path: path.into() })
    }

    fn number(&self, path: &str) -> Result<f64, DeploymentError> {
        let text = self.text(path)?;
        match text.parse() {
            Ok(value) if f64::is_finite(value) && value >= 0.0 => Ok(value),
            _ => Err(DeploymentError::NotANumber {
                path: path.into(),
                value: text.into(),
            }),
        }
    }

    fn number_or(&self, path: &str, default: f64) -> Result<f64, DeploymentError> {
        match self.optional(path) {
            Some(_) => self.number(path),
            None => Ok(default),
        }
    }

    fn flag_or(&self, path: &str, default: bool) -> Result<bool, DeploymentError> {
        match self.optional(path) {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(text) => Err(DeploymentError::NotAFlag {
                path: path.into(),
                value: text.into(),
            }),
        }
    }

    /// A time, in seconds.
    fn time(&self, path: &str) -> Result<Micros, DeploymentError> {
        Ok(Micros::from_secs_f64(self.number(path)?))
    }

    fn optional_time(&self, path: &str) -> Result<Option<Micros>, DeploymentError> {
        self.optional(path).map(|_| self.time(path)).transpose()
    }

    /// A list of words separated by commas.
    fn list(&self, path: &str) -> Vec<String> {
        let text = self.optional(path).unwrap_or("");
        text.split(',')
            .filter(|word| !word.is_empty())
            .map(str::to_string)
            .collect()
    }
}

fn unknown_word(path: impl Into<String>, value: &str, expected: &'static str) -> DeploymentError {
    DeploymentError::UnknownWord {
        path: path.into(),
        value: value.into(),
        expected,
    }
}

/// Reads the settings from pairs of a path and a value.
///
/// # Errors
///
/// The first setting that is missing or invalid.
pub fn read<'a>(
    pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Deployment, DeploymentError> {
    let params = Params(pairs.into_iter().collect());
    let classes = classes(&params)?;
    let tenants = tenants(&params)?;
    let names = Names {
        classes: classes.names,
        tenants: tenants.names,
        zones: params.list("zones"),
        kinds: params.list("kinds"),
    };
    let settings = settings(&params, classes.values, tenants.values, &names.zones)?;
    let dial_timeout = params
        .optional_time("limits.dial_timeout")?
        .unwrap_or(Micros::MAX);
    let router_number = match params.optional("slot_no") {
        Some(_) => Some(params.number("slot_no")? as u32),
        None => None,
    };
    Ok(Deployment {
        settings,
        router_number,
        names,
        dial_timeout,
        report_format: report_format(&params),
    })
}

fn settings(
    params: &Params<'_>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    zones: &[String],
) -> Result<Settings, DeploymentError> {
    let collapse_multiple = "specifics.origin_fall_multiple";
    Ok(Settings {
        routers: params.number_or("peers_total", 1.0)? as u32,
        stagger_fraction: None,
        zone: zone(params, zones),
        classes,
        tenants,
        over_quota_weight: params.number_or("over_share_worth", 1.0)?,
        mode: mode(params)?,
        discovery: discovery(params)?,
        weight_kind: weight_kind(params),
        rules: rules(params)?,
        limits: limits(params)?,
        connection_idle_timeout: params
            .optional_time("limits.conn_idle")?
            .unwrap_or(Micros::MAX),
        connection_costs: ConnectionCosts {
            connection: params.number_or("deductions.connection", 0.0)?,
            handshake: params.number_or("deductions.handshake", 0.0)?,
        },
        origin_collapses_under_overload: params.number_or(collapse_multiple, 1.0)? > 0.0,
    })
}

fn zone(params: &Params<'_>, zones: &[String]) -> Option<ZoneId> {
    let name = params.optional("zone")?;
    zones.iter().position(|zone| zone == name).map(ZoneId)
}

fn weight_kind(params: &Params<'_>) -> WeightKind {
    match params.optional("weight_kind") {
        Some("rough") => WeightKind::Rough,
        Some("nominal") => WeightKind::Nominal,
        _ => WeightKind::Unknown,
    }
}

fn rules(params: &Params<'_>) -> Result<Rules, DeploymentError> {
    Ok(Rules {
        answer_grace: params.time("invariants.grace_to_answer")?,
        drain_grace: params.time("invariants.drain_grace")?,
        initial_capacity_ratio: params.number("invariants.cold_from")?,
        slow_start_duration: params.time("invariants.cold")?,
        overload_multiple: params.number("invariants.overload_factor")?,
        overload_duration: params.time("invariants.fall")?,
        drain_close: params.optional_time("invariants.drain_close")?,
    })
}

fn limits(params: &Params<'_>) -> Result<Limits, DeploymentError> {
    Ok(Limits {
        max_attempts: params.number_or("limits.max_attempts", 1.0)? as u32,
        cancel: params.flag_or("limits.cancel", false)?,
        hedging: params.flag_or("limits.may_duplicate", false)?,
        retry_after: params.flag_or("limits.retry_after", false)?,
        max_retry_after: params
            .optional_time("limits.max_retry_after")?
            .unwrap_or_default(),
    })
}

fn classes(params: &Params<'_>) -> Result<Named<Class>, DeploymentError> {
    let count = params.number("request_classes.count")? as usize;
    let mut classes = Named::new();
    for index in 0..count {
        let path = |field: &str| format!("request_classes.{index}.{field}");
        let idempotency = idempotency(params, &path)?;
        classes.values.push(Class {
            latency_objective: params.time(&path("target"))?,
            deadline: params.time(&path("give_up"))?,
            priority_weight: params.number_or(&path("credit"), 1.0)?,
            late_weight: params.number_or(&path("late_value"), 0.0)?,
            idempotency,
        });
        classes.names.push(params.text(&path("name"))?.to_string());
    }
    Ok(classes)
}

fn idempotency(
    params: &Params<'_>,
    path: &dyn Fn(&str) -> String,
) -> Result<Idempotency, DeploymentError> {
    match params.text(&path("effect"))? {
        "idempotent" => Ok(Idempotency::Idempotent),
        "deduplicated" => Ok(Idempotency::Keyed {
            scope: deduplication_scope(params, &path("group"))?,
            deduplication_window: params.time(&path("memory_span"))?,
        }),
        "at_most_once" => Ok(Idempotency::NotIdempotent),
        other => Err(unknown_word(
            path("effect"),
            other,
            "idempotent, deduplicated or at_most_once",
        )),
    }
}

fn deduplication_scope(
    params: &Params<'_>,
    path: &str,
) -> Result<DeduplicationScope, DeploymentError> {
    match params.text(path)? {
        "all" => Ok(DeduplicationScope::All),
        "zone" => Ok(DeduplicationScope::Zone),
        "cell" => Ok(DeduplicationScope::Cell),
        other => Err(unknown_word(path, other, "all, zone or cell")),
    }
}

fn tenants(params: &Params<'_>) -> Result<Named<Tenant>, DeploymentError> {
    let count = params.number_or("customers.count", 0.0)? as usize;
    let mut tenants = Named::new();
    for index in 0..count {
        let path = |field: &str| format!("customers.{index}.{field}");
        tenants.values.push(Tenant {
            quota_per_s: params.number(&path("quota_per_s"))?,
            share: params.number_or(&path("share"), 0.0)?,
        });
        tenants.names.push(params.text(&path("name"))?.to_string());
    }
    Ok(tenants)
}

fn mode(params: &Params<'_>) -> Result<CacheMode, DeploymentError> {
    match params.optional("specifics.mode") {
        None | Some("through") => Ok(CacheMode::Through),
        Some("aside") => {
            let origin = MachineKindId(params.number("specifics.origin_kind")? as usize);
            Ok(CacheMode::Aside { origin })
        }
        Some(other) => Err(unknown_word("specifics.mode", other, "through or aside")),
    }
}

/// The format of reports in answers. Reports in answers to probes are not read, since this router
/// sends no probes.
fn report_format(params: &Params<'_>) -> LoadReportFormat {
    let meaning = |path: &str| params.optional(path).unwrap_or("");
    let names = if meaning("stats.how") == "inline" {
        params.list("stats.columns")
    } else {
        Vec::new()
    };
    let extra_meanings = [
        meaning("specifics.report_x0"),
        meaning("specifics.report_x1"),
    ];
    LoadReportFormat::new(&names, extra_meanings)
}

fn discovery(params: &Params<'_>) -> Result<DiscoveryMode, DeploymentError> {
    match params.optional("discovery") {
        None | Some("automatic") => Ok(DiscoveryMode::Push),
        Some("subscribe") => Ok(DiscoveryMode::Subscribe {
            poll_within: params.time("invariants.ask_within")?,
        }),
        Some(other) => Err(unknown_word("discovery", other, "automatic or subscribe")),
    }
}
