//! The settings of a router, from pairs of a dotted path and a value: the adapter finds them in its first message,
//! the router in its configuration. Keys that are not read here are passed over.
//!
//! What a deployment may leave out, and what then holds: `peers_total` 1, `over_share_worth` 1, `customers` none, a
//! class's `credit` 1 and `late_value` 0, `invariants.drain_close` none,
//! `weight_kind` off, `limits.max_attempts` 1, what `limits` allows: no, `limits.max_retry_after` 0,
//! `specifics.mode` through, `stats` none, `discovery` automatic, `limits.conn_idle` and `limits.dial_timeout` without end,
//! `deductions.connection` and `deductions.handshake` 0. All else that is read here must be there.

use crate::api::*;
use crate::load_report::LoadReportFormat;
use std::collections::HashMap;
use std::fmt;

/// A setting that is missing or cannot be read, in one plain sentence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeploymentError(String);

impl DeploymentError {
    fn new(text: String) -> Self {
        DeploymentError(text)
    }
}

impl fmt::Display for DeploymentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for DeploymentError {}

/// The names that a deployment uses where the library takes numbers.
#[derive(Clone, Debug)]
pub struct Names {
    /// Of the classes, in the order of [`ClassId`].
    pub classes: Vec<String>,
    /// Of the tenants, in the order of [`TenantId`].
    pub tenants: Vec<String>,
    /// Of the zones, in the order of [`ZoneId`].
    pub zones: Vec<String>,
    /// Of the kinds of machine, in the order of [`KindId`].
    pub kinds: Vec<String>,
}

/// What a deployment tells a router.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The names behind its numbers.
    pub names: Names,
    /// A connection that is not up after this long never will be.
    pub dial_timeout: Micros,
    /// What the load reports in answers hold; empty where answers bring none.
    pub reports: LoadReportFormat,
}

struct Params<'a>(HashMap<&'a str, &'a str>);

impl<'a> Params<'a> {
    fn text(&self, path: &str) -> Result<&'a str, DeploymentError> {
        self.0
            .get(path)
            .copied()
            .ok_or_else(|| DeploymentError::new(format!("setting {path} is missing")))
    }

    fn number(&self, path: &str) -> Result<f64, DeploymentError> {
        let text = self.text(path)?;
        match text.parse() {
            Ok(value) if f64::is_finite(value) && value >= 0.0 => Ok(value),
            _ => Err(DeploymentError::new(format!(
                "setting {path}: '{text}' is not a number of at least zero"
            ))),
        }
    }

    /// A number that a deployment may leave out.
    fn number_or(&self, path: &str, default: f64) -> Result<f64, DeploymentError> {
        if self.0.contains_key(path) {
            self.number(path)
        } else {
            Ok(default)
        }
    }

    fn flag_or(&self, path: &str, default: bool) -> Result<bool, DeploymentError> {
        match self.0.get(path).copied() {
            None => Ok(default),
            Some("true" | "1") => Ok(true),
            Some("false" | "0") => Ok(false),
            Some(text) => Err(DeploymentError::new(format!(
                "setting {path}: '{text}' is neither true nor false"
            ))),
        }
    }

    fn time(&self, path: &str) -> Result<Micros, DeploymentError> {
        Ok(Micros::from_secs_f64(self.number(path)?))
    }

    /// A time that a deployment may leave out.
    fn optional_time(&self, path: &str) -> Result<Option<Micros>, DeploymentError> {
        if self.0.contains_key(path) {
            self.time(path).map(Some)
        } else {
            Ok(None)
        }
    }

    fn list(&self, path: &str) -> Vec<String> {
        let text = self.0.get(path).copied().unwrap_or("");
        text.split(',')
            .filter(|s| !s.is_empty())
            .map(str::to_string)
            .collect()
    }
}

/// Reads the pairs.
pub fn read<'a>(
    pairs: impl IntoIterator<Item = (&'a str, &'a str)>,
) -> Result<Deployment, DeploymentError> {
    let params = Params(pairs.into_iter().collect());
    let zones = params.list("zones");
    let kinds = params.list("kinds");
    let (classes, class_names) = classes(&params)?;
    let (tenants, tenant_names) = tenants(&params)?;
    let zone = params
        .0
        .get("zone")
        .and_then(|zone| zones.iter().position(|z| z == zone))
        .map(ZoneId);
    let settings = Settings {
        routers: params.number_or("peers_total", 1.0)? as u32,
        zone,
        classes,
        tenants,
        over_quota_weight: params.number_or("over_share_worth", 1.0)?,
        mode: mode(&params)?,
        discovery: discovery(&params)?,
        weights: match params.0.get("weight_kind").copied() {
            Some("rough") => Weights::Rough,
            Some("nominal") => Weights::Nominal,
            _ => Weights::Unknown,
        },
        rules: Rules {
            answer_grace: params.time("invariants.grace_to_answer")?,
            drain_grace: params.time("invariants.drain_grace")?,
            initial_capacity_ratio: params.number("invariants.cold_from")?,
            slow_start_duration: params.time("invariants.cold")?,
            overload_multiple: params.number("invariants.overload_factor")?,
            overload_duration: params.time("invariants.fall")?,
            drain_close: params.optional_time("invariants.drain_close")?,
        },
        limits: Limits {
            max_attempts: params.number_or("limits.max_attempts", 1.0)? as u32,
            cancel: params.flag_or("limits.cancel", false)?,
            hedging: params.flag_or("limits.may_duplicate", false)?,
            retry_after: params.flag_or("limits.retry_after", false)?,
            max_retry_after: Micros::from_secs_f64(
                params.number_or("limits.max_retry_after", 0.0)?,
            ),
        },
        connection_idle: params
            .optional_time("limits.conn_idle")?
            .unwrap_or(Micros::MAX),
        connection_costs: ConnectionCosts {
            connection: params.number_or("deductions.connection", 0.0)?,
            handshake: params.number_or("deductions.handshake", 0.0)?,
        },
        origin_collapses_under_overload: params.number_or("specifics.origin_fall_multiple", 1.0)?
            > 0.0,
    };
    let names = Names {
        classes: class_names,
        tenants: tenant_names,
        zones,
        kinds,
    };
    let dial_timeout = params
        .optional_time("limits.dial_timeout")?
        .unwrap_or(Micros::MAX);
    Ok(Deployment {
        settings,
        names,
        dial_timeout,
        reports: reports(&params),
    })
}

fn classes(params: &Params<'_>) -> Result<(Vec<Class>, Vec<String>), DeploymentError> {
    let count = params.number("request_classes.count")? as usize;
    let mut classes = (Vec::new(), Vec::new());
    for i in 0..count {
        let path = |field: &str| format!("request_classes.{i}.{field}");
        let idempotency = match params.text(&path("effect"))? {
            "idempotent" => Idempotency::Idempotent,
            "deduplicated" => Idempotency::Keyed {
                scope: match params.text(&path("group"))? {
                    "all" => DeduplicationScope::All,
                    "zone" => DeduplicationScope::Zone,
                    "cell" => DeduplicationScope::Cell,
                    other => {
                        return Err(DeploymentError::new(format!(
                            "setting {}: '{other}' is not known",
                            path("group")
                        )));
                    }
                },
                deduplication_window: params.time(&path("memory_span"))?,
            },
            "at_most_once" => Idempotency::NotIdempotent,
            other => {
                return Err(DeploymentError::new(format!(
                    "setting {}: '{other}' is not known",
                    path("effect")
                )));
            }
        };
        classes.0.push(Class {
            latency_objective: params.time(&path("target"))?,
            deadline: params.time(&path("give_up"))?,
            priority_weight: params.number_or(&path("credit"), 1.0)?,
            late_weight: params.number_or(&path("late_value"), 0.0)?,
            idempotency,
        });
        classes.1.push(params.text(&path("name"))?.to_string());
    }
    Ok(classes)
}

fn tenants(params: &Params<'_>) -> Result<(Vec<Tenant>, Vec<String>), DeploymentError> {
    let count = params.number_or("customers.count", 0.0)? as usize;
    let mut tenants = (Vec::new(), Vec::new());
    for i in 0..count {
        let path = |field: &str| format!("customers.{i}.{field}");
        tenants.0.push(Tenant {
            quota_per_s: params.number(&path("quota_per_s"))?,
            share: params.number_or(&path("share"), 0.0)?,
        });
        tenants.1.push(params.text(&path("name"))?.to_string());
    }
    Ok(tenants)
}

fn mode(params: &Params<'_>) -> Result<CacheMode, DeploymentError> {
    match params.0.get("specifics.mode").copied() {
        None | Some("through") => Ok(CacheMode::Through),
        Some("aside") => {
            let origin = KindId(params.number("specifics.origin_kind")? as usize);
            Ok(CacheMode::Aside { origin })
        }
        Some(other) => Err(DeploymentError::new(format!(
            "setting specifics.mode: '{other}' is not known"
        ))),
    }
}

/// Reports that come with probes alone are none: this router sends no probes.
fn reports(params: &Params<'_>) -> LoadReportFormat {
    let meaning = |path: &str| params.0.get(path).copied().unwrap_or("");
    let names = if meaning("stats.how") == "inline" {
        params.list("stats.columns")
    } else {
        Vec::new()
    };
    LoadReportFormat::new(
        &names,
        [
            meaning("specifics.report_x0"),
            meaning("specifics.report_x1"),
        ],
    )
}

fn discovery(params: &Params<'_>) -> Result<Discovery, DeploymentError> {
    match params.0.get("discovery").copied() {
        None | Some("automatic") => Ok(Discovery::Push),
        Some("subscribe") => Ok(Discovery::Subscribe {
            poll_within: params.time("invariants.ask_within")?,
        }),
        Some(other) => Err(DeploymentError::new(format!(
            "setting discovery: '{other}' is not known"
        ))),
    }
}
