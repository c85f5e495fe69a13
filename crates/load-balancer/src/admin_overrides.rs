//! Does an operator's word take a server out of service or put it back?
//!
//! Inputs: what operators said of servers, by name and with its time (µs). Answer: disabled or not, and since when
//! enabled. Reason: the word holds whatever the endpoint list says, also for a server that is not listed yet.

use crate::ids::ServerId;
use crate::time::Micros;
use std::collections::BTreeMap;

/// Servers whose override is remembered: more than any fleet has. A further one replaces the oldest of those that
/// are enabled, else one that is disabled.
const MAX_OVERRIDE_COUNT: usize = 4096;

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

    /// Takes a server out of service.
    pub fn disable(&mut self, server: ServerId) {
        self.set(server, AdminOverride::Disabled);
    }

    /// Puts a server back into service at `at`. False if that changes nothing: the server is not disabled, and this is
    /// not the report of another process which heard of it earlier.
    pub fn enable(&mut self, server: ServerId, at: Micros, now: Micros) -> bool {
        // The clock of another process may run ahead.
        let at = at.min(now);
        let is_reported_later = at < now && at > self.enabled_at(&server);
        let is_change = self.is_disabled(&server) || is_reported_later;
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

    /// Each server with an override.
    pub fn iter(&self) -> impl Iterator<Item = (&ServerId, AdminOverride)> {
        self.0.iter().map(|(server, value)| (server, *value))
    }
}
