//! Servers that operators disabled or enabled.
//!
//! Keeps the latest override of each server by name, with the time at which it was enabled, on this
//! process's clock. An override applies regardless of the endpoint list, even to a server that is not listed yet.

use crate::ids::ServerId;
use crate::time::Micros;
use std::collections::BTreeMap;
use std::fmt;

/// Maximum number of overrides, larger than any fleet. A further one replaces the override of the
/// server that was enabled first, or that of a disabled server if all are disabled.
const MAX_OVERRIDE_COUNT: usize = 4096;

/// The latest override of a server by an operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOverride {
    /// Nothing new is sent to the server.
    Disabled,
    /// Put back into service at this time. The server may have restarted before, so its slow start
    /// begins then.
    EnabledAt(Micros),
}

/// Who reports an override.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverrideSource {
    /// An operator, at this process.
    Operator,
    /// Another running process of this router.
    OtherProcess,
    /// The state of the previous process.
    PreviousProcess,
    /// The state on disk.
    StateFile,
}

impl fmt::Display for OverrideSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            OverrideSource::Operator => "an operator",
            OverrideSource::OtherProcess => "the other process",
            OverrideSource::PreviousProcess => "the previous process",
            OverrideSource::StateFile => "the state file",
        })
    }
}

/// The overrides by server. They are kept when a server leaves the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct AdminOverrides(BTreeMap<ServerId, AdminOverride>);

impl AdminOverrides {
    /// Whether a server is disabled.
    pub fn is_disabled(&self, server: &ServerId) -> bool {
        self.0.get(server) == Some(&AdminOverride::Disabled)
    }

    /// When a server was last enabled; 0 if never or if it is disabled.
    pub fn enabled_at(&self, server: &ServerId) -> Micros {
        match self.0.get(server) {
            Some(AdminOverride::EnabledAt(at)) => *at,
            _ => Micros(0),
        }
    }

    /// Takes a server out of service.
    pub fn disable(&mut self, server: ServerId) {
        self.set(server, AdminOverride::Disabled);
    }

    /// Puts a server back into service at `at`. Returns false if that changes nothing: an operator
    /// enables a server that is not disabled. What another process reports is always a change, since
    /// its reports arrive in their order.
    pub fn enable(&mut self, server: ServerId, at: Micros, source: OverrideSource) -> bool {
        let is_change = self.is_disabled(&server) || source != OverrideSource::Operator;
        if is_change {
            self.set(server, AdminOverride::EnabledAt(at));
        }
        is_change
    }

    fn set(&mut self, server: ServerId, value: AdminOverride) {
        if self.0.len() >= MAX_OVERRIDE_COUNT && !self.0.contains_key(&server) {
            self.remove_oldest();
        }
        self.0.insert(server, value);
    }

    fn remove_oldest(&mut self) {
        let oldest = self.0.iter().min_by_key(|(_, value)| match value {
            AdminOverride::EnabledAt(at) => *at,
            AdminOverride::Disabled => Micros::MAX,
        });
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            self.0.remove(&name);
        }
    }

    /// Iterates over the servers with an override.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, AdminOverride)> {
        self.0.iter().map(|(server, value)| (server, *value))
    }
}
