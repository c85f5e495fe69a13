//! What operators said of servers, by name and apart from the endpoint list.

use crate::ids::ServerId;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Servers whose override is remembered: more than any fleet has. A further one replaces the oldest of those that
/// are enabled, else one that is disabled.
const OVERRIDE_COUNT: usize = 4096;

/// The operators' latest word on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOverride {
    /// Nothing new is sent to it.
    Disabled,
    /// Put back into service at this time; it may have restarted since, so slow start begins then.
    EnabledAt(Micros),
}

/// The overrides by server; they outlive the entries of the endpoint list.
#[derive(Debug, Default)]
pub(crate) struct AdminOverrides(BTreeMap<ServerId, AdminOverride>);

impl AdminOverrides {
    /// Whether a server is disabled and not enabled since.
    pub fn is_disabled(&self, server: &ServerId) -> bool {
        self.0.get(server) == Some(&AdminOverride::Disabled)
    }

    /// When a server was enabled last; 0 if never.
    pub fn enabled_at(&self, server: &ServerId) -> Micros {
        match self.0.get(server) {
            Some(AdminOverride::EnabledAt(at)) => *at,
            _ => Micros(0),
        }
    }

    /// Sets the override of a server.
    pub fn set(&mut self, server: ServerId, value: AdminOverride) {
        if self.0.len() >= OVERRIDE_COUNT && !self.0.contains_key(&server) {
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

    /// Each server with an override.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, AdminOverride)> {
        self.0.iter().map(|(server, value)| (server, *value))
    }
}
