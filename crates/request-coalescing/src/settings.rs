//! The `[joining]` table of the operator file: its format, its validation, and the rules derived
//! from it for a deployment.

use load_balancer::{Class, Idempotency, Micros, deployment::Deployment};
use serde::Deserialize;

/// The highest allowed value of a bound; a higher one is most likely a typing error.
const MAX_BOUND: usize = 1_000_000;
/// Fields that always distinguish reads and must not be ignored: class, tenant and idempotency key.
const REQUIRED_FIELDS: [&str; 3] = ["c", "t", "k"];

/// Bounds on memory and on the load of one key. When one of the first three is reached, a read
/// bypasses coalescing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Waiters of all flights together.
    pub waiters: usize,
    /// Waiters of one flight.
    pub waiters_per_flight: usize,
    /// Flights of one key together, over all variants and classes.
    pub flights_per_key: usize,
    /// Open flights for one read in addition to the first, each replacing a hung one.
    /// `second_flights` in the file.
    #[serde(rename = "second_flights")]
    pub replacement_flights: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            waiters: 20_000,
            waiters_per_flight: 5_000,
            flights_per_key: 32,
            replacement_flights: 1,
        }
    }
}

impl Bounds {
    /// # Errors
    /// [`SettingsError::BoundOutOfRange`] for the first bound that is zero where it must not be, or
    /// too high.
    fn check(&self) -> Result<(), SettingsError> {
        let rows = [
            ("waiters", self.waiters, 1),
            ("waiters_per_flight", self.waiters_per_flight, 1),
            ("flights_per_key", self.flights_per_key, 1),
            ("second_flights", self.replacement_flights, 0),
        ];
        for (key, value, minimum) in rows {
            if !(minimum..=MAX_BOUND).contains(&value) {
                return Err(SettingsError::BoundOutOfRange {
                    key,
                    value,
                    minimum,
                });
            }
        }
        Ok(())
    }
}

/// The `[joining]` table of the operator file, as written.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoalescingFile {
    /// Names of the classes whose reads are coalesced. If empty, coalescing is disabled.
    pub classes: Vec<String>,
    /// Names of command fields that do not change the answer, in addition to those defined by the
    /// protocol.
    pub ignore: Vec<String>,
    /// Whether reads of different tenants never share a flight.
    pub per_tenant: bool,
    /// Bounds; omitted ones have their default.
    pub bounds: Bounds,
}

/// What the coalescer needs to know of a request class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSettings {
    /// Latency objective: until latencies are known, a flight older than this counts as hung.
    pub latency_objective: Micros,
    /// A retry is not sent for a request with less time left than this.
    pub minimum_retry_time: Micros,
}

impl ClassSettings {
    fn of(class: &Class) -> ClassSettings {
        ClassSettings {
            latency_objective: class.latency_objective,
            minimum_retry_time: class.minimum_retry_time(),
        }
    }
}

/// A validated `[joining]` table, resolved against a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoalescingRules {
    /// Whether a class's reads are coalesced, indexed by class id.
    pub is_coalesced: Vec<bool>,
    /// Class settings, indexed by class id.
    pub classes: Vec<ClassSettings>,
    /// See [`CoalescingFile::ignore`].
    pub ignored_fields: Vec<String>,
    /// See [`CoalescingFile::per_tenant`].
    pub per_tenant: bool,
    /// See [`Bounds`].
    pub bounds: Bounds,
    /// The longest Retry-After; `None` where the deployment allows none.
    pub max_retry_after: Option<Micros>,
}

/// Why a `[joining]` table cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The deployment has no class of this name.
    #[error("joining.classes: there is no class '{name}'")]
    UnknownClass {
        /// The name in the file.
        name: String,
    },
    /// The class is idempotent only with an idempotency key.
    #[error(
        "joining.classes: '{name}' cannot be coalesced: its effect is deduplicated, not idempotent"
    )]
    KeyedClass {
        /// The class.
        name: String,
    },
    /// The class is not idempotent.
    #[error(
        "joining.classes: '{name}' cannot be coalesced: its effect is at_most_once, not idempotent"
    )]
    NotIdempotentClass {
        /// The class.
        name: String,
    },
    /// A bound is zero where it must not be, or too high.
    #[error("joining.bounds.{key}: {value} does not lie between {minimum} and {MAX_BOUND}")]
    BoundOutOfRange {
        /// Its key in the file.
        key: &'static str,
        /// Its value in the file.
        value: usize,
        /// The lowest value allowed.
        minimum: usize,
    },
    /// The field always changes the answer, or the name is empty.
    #[error("joining.ignore: '{name}' cannot be ignored; remove it (not allowed: c, t, k, empty)")]
    RequiredField {
        /// The name in the file.
        name: String,
    },
}

impl CoalescingFile {
    /// The rules for this deployment; `None` if coalescing is disabled.
    ///
    /// # Errors
    /// The first error found, in the order classes, bounds, ignored fields.
    pub fn rules(&self, deployment: &Deployment) -> Result<Option<CoalescingRules>, SettingsError> {
        let is_coalesced = self.coalesced_classes(deployment)?;
        self.bounds.check()?;
        self.check_ignored_fields()?;
        if !is_coalesced.contains(&true) {
            return Ok(None);
        }
        let classes = &deployment.settings.classes;
        let limits = &deployment.settings.limits;
        Ok(Some(CoalescingRules {
            is_coalesced,
            classes: classes.iter().map(ClassSettings::of).collect(),
            ignored_fields: self.ignore.clone(),
            per_tenant: self.per_tenant,
            bounds: self.bounds,
            max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
        }))
    }

    /// Whether each class of the deployment is coalesced. A name that is unknown or not idempotent
    /// is an error.
    fn coalesced_classes(&self, deployment: &Deployment) -> Result<Vec<bool>, SettingsError> {
        let known = &deployment.names.classes;
        let classes = &deployment.settings.classes;
        let mut is_coalesced = vec![false; classes.len()];
        for name in &self.classes {
            let Some(class) = known.iter().position(|known| known == name) else {
                return Err(SettingsError::UnknownClass { name: name.clone() });
            };
            match classes[class].idempotency {
                Idempotency::Idempotent => is_coalesced[class] = true,
                Idempotency::Keyed { .. } => {
                    return Err(SettingsError::KeyedClass { name: name.clone() });
                }
                Idempotency::NotIdempotent => {
                    return Err(SettingsError::NotIdempotentClass { name: name.clone() });
                }
            }
        }
        Ok(is_coalesced)
    }

    fn check_ignored_fields(&self) -> Result<(), SettingsError> {
        let is_required =
            |name: &&String| name.is_empty() || REQUIRED_FIELDS.contains(&name.as_str());
        match self.ignore.iter().find(is_required) {
            Some(name) => Err(SettingsError::RequiredField { name: name.clone() }),
            None => Ok(()),
        }
    }
}
