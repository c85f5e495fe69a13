//! What operators set, and its checks.

use load_balancer::{Class, Idempotency, Micros, deployment::Deployment};
use serde::Deserialize;
use std::fmt;

/// Bounds on memory and on what one key may cause. Past each of the first three a read travels alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Waiters of all flights together.
    pub waiters: usize,
    /// Waiters of one flight.
    pub waiters_per_flight: usize,
    /// Flights of one key together, whatever else its reads differ in.
    pub flights_per_key: usize,
    /// Flights for the same that newcomers may join: the first, and those begun since it hangs.
    pub second_flights: usize,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            waiters: 20_000,
            waiters_per_flight: 5_000,
            flights_per_key: 32,
            second_flights: 1,
        }
    }
}

/// The `[joining]` table of an operator file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CoalescingFile {
    /// Names of the classes whose reads are joined; none: joining is off.
    pub classes: Vec<String>,
    /// Names of command fields that do not change the answer, beside those of the protocol.
    pub ignore: Vec<String>,
    /// Whether reads of different tenants are kept apart.
    pub per_tenant: bool,
    /// See there.
    pub bounds: Bounds,
}

/// What the module has to know of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClassSettings {
    /// Its aim: until answer times are known a flight of this age counts as hanging.
    pub latency_objective: Micros,
    /// A further attempt with less time than this is of no use, as the decision library has it.
    pub needs: Micros,
}

impl ClassSettings {
    fn of(class: &Class) -> ClassSettings {
        ClassSettings {
            latency_objective: class.latency_objective,
            needs: class.minimum_retry_time(),
        }
    }
}

/// A checked `[joining]` table, in the terms of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CoalescingRules {
    /// By class: whether its reads are joined.
    pub joined: Vec<bool>,
    /// By class.
    pub classes: Vec<ClassSettings>,
    /// See [`CoalescingFile::ignore`].
    pub ignore: Vec<String>,
    /// See [`CoalescingFile::per_tenant`].
    pub per_tenant: bool,
    /// See there.
    pub bounds: Bounds,
    /// The longest advice on when to come back; `None` where none may be given.
    pub advice: Option<Micros>,
}

/// A setting that cannot be used, in one plain sentence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(String);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// No deployment needs more; more is a slip of the pen.
const MOST: usize = 1_000_000;

impl CoalescingFile {
    /// The rules for this deployment; `None` where joining is off.
    ///
    /// # Errors
    /// A class that does not exist or may never be joined, a bound of nothing or beyond reason; the first one is named.
    pub fn rules(&self, deployment: &Deployment) -> Result<Option<CoalescingRules>, SettingsError> {
        let fail = |text: String| Err(SettingsError(text));
        let classes = &deployment.settings.classes;
        let mut joined = vec![false; classes.len()];
        for name in &self.classes {
            let Some(class) = deployment
                .names
                .classes
                .iter()
                .position(|known| known == name)
            else {
                return fail(format!("joining.classes: there is no class '{name}'"));
            };
            let what = match classes[class].idempotency {
                Idempotency::Idempotent => {
                    joined[class] = true;
                    continue;
                }
                Idempotency::Keyed { .. } => "its effect is keyed",
                Idempotency::NotIdempotent => "its effect is unsafe",
            };
            return fail(format!(
                "joining.classes: '{name}' can never be joined: {what}"
            ));
        }
        let Bounds {
            waiters,
            waiters_per_flight,
            flights_per_key,
            second_flights,
        } = self.bounds;
        for (name, value, least) in [
            ("waiters", waiters, 1),
            ("waiters_per_flight", waiters_per_flight, 1),
            ("flights_per_key", flights_per_key, 1),
            ("second_flights", second_flights, 0),
        ] {
            if !(least..=MOST).contains(&value) {
                return fail(format!(
                    "joining.bounds.{name}: {value} does not lie between {least} and {MOST}"
                ));
            }
        }
        let names = ["c", "t", "k"];
        if let Some(name) = self
            .ignore
            .iter()
            .find(|name| names.contains(&name.as_str()) || name.is_empty())
        {
            return fail(format!(
                "joining.ignore: '{name}' cannot be left out of account"
            ));
        }
        let limits = &deployment.settings.limits;
        Ok(joined.contains(&true).then(|| CoalescingRules {
            joined,
            classes: classes.iter().map(ClassSettings::of).collect(),
            ignore: self.ignore.clone(),
            per_tenant: self.per_tenant,
            bounds: self.bounds,
            advice: limits.retry_after.then_some(limits.max_retry_after),
        }))
    }
}
