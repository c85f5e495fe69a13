//! Conversion between the state of this process and its stored forms.
//!
//! Stored times are on the wall clock of the process that wrote them, so they mean nothing to another process.
//! A state that is told to a successor says when it was taken, on the same clock, and the successor uses
//! the ages that follow. Of a state without that time the ages are unknown, and each counts as zero.

use crate::Runtime;
use crate::configuration::Configuration;
use hot_restart::message::{HandoverState, StoredOverride};
use load_balancer::{AddressClaims, AdminOverride, Micros, OverrideSource, ServerId, WarmState};
use router_runtime::EndpointList;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// The clock of this process and the one of stored times, read at one moment.
#[derive(Clone, Copy, Debug)]
struct StoredClock {
    own: Micros,
    stored: u64,
}

impl StoredClock {
    fn read(runtime: &Runtime) -> StoredClock {
        let own = runtime.now();
        // A wall clock that shows a time before 1970 could not express all ages.
        let stored = runtime.wall_now().unix_micros().max(own.0);
        StoredClock { own, stored }
    }

    fn to_stored(self, at: Micros) -> u64 {
        self.stored.saturating_sub(self.own.since(at).0)
    }
}

/// What operators have set, in stored form.
pub fn stored_overrides(runtime: &Runtime) -> Vec<(String, StoredOverride)> {
    let clock = StoredClock::read(runtime);
    let to_stored = |admin_override| match admin_override {
        AdminOverride::Disabled => StoredOverride::Disabled,
        AdminOverride::EnabledAt(at) => StoredOverride::EnabledAt(clock.to_stored(at)),
    };
    let overrides = runtime.admin_overrides().into_iter();
    overrides
        .map(|(server, admin_override)| (server.to_string(), to_stored(admin_override)))
        .collect()
}

/// Stands for the discovery server of a list that holds the entries of disabled servers alone. Processes that
/// know of whole lists only ignore a list of another discovery server than theirs.
const DISABLED_ENDPOINTS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// The entries of disabled servers, so that a later process uses their addresses under no other name.
pub fn stored_disabled_endpoints(runtime: &Runtime) -> Option<(SocketAddr, Vec<u8>)> {
    let overrides = runtime.admin_overrides();
    let is_disabled = |name: &str| {
        let mut overrides = overrides.iter();
        overrides.any(|(server, admin_override)| {
            &*server.0 == name && *admin_override == AdminOverride::Disabled
        })
    };
    let endpoints = runtime.endpoint_list().endpoints.filtered(is_disabled);
    let json = serde_json::to_vec(&endpoints).ok()?;
    (endpoints.endpoint_count() > 0).then_some((DISABLED_ENDPOINTS, json))
}

/// The endpoints to start with: the predecessor's if they come from the same discovery server, otherwise those of
/// the configuration, with the entries of disabled servers that the last process knew.
pub fn initial_endpoints(
    configuration: &mut Configuration,
    stored: Option<(SocketAddr, Vec<u8>)>,
) -> EndpointList {
    let stored = stored.and_then(|(discovery, json)| {
        let endpoints = serde_json::from_slice::<EndpointList>(&json).ok()?;
        Some((discovery, endpoints))
    });
    match stored {
        Some((discovery, endpoints)) if discovery == configuration.discovery => endpoints,
        Some((DISABLED_ENDPOINTS, disabled)) => {
            let mut endpoints = configuration.initial_endpoints.take().unwrap_or_default();
            // Without other servers the process must not seem to know any.
            if endpoints.endpoint_count() > 0 {
                endpoints.add_missing(disabled);
            }
            endpoints
        }
        _ => configuration.initial_endpoints.take().unwrap_or_default(),
    }
}

/// What follows the warm state in its stored form. Processes that do not know of it ignore it. Stored by
/// position: the order and types of fields are fixed.
#[derive(Debug, Serialize, Deserialize)]
struct StoredSupplement {
    /// When the state was taken, on the clock of stored times.
    taken_at: u64,
    address_claims: AddressClaims,
}

/// The warm state in stored form, with its supplement.
pub fn stored_warm_state(runtime: &Runtime) -> Vec<u8> {
    let clock = StoredClock::read(runtime);
    let warm_state = runtime.warm_state();
    let warm_state = warm_state.moved_to_clock(clock.own.0, clock.stored);
    let mut bytes = postcard::to_stdvec(&warm_state).unwrap_or_default();
    let supplement = StoredSupplement {
        taken_at: clock.stored,
        address_claims: runtime.address_claims(),
    };
    bytes.extend(postcard::to_stdvec(&supplement).unwrap_or_default());
    bytes
}

/// Restores the state of a previous process. Overrides come first, because restoring the warm state depends on
/// them.
pub fn restore(runtime: &Runtime, state: HandoverState, source: OverrideSource) {
    // A warm state that cannot be decoded is ignored: the router starts without it.
    let warm_state = postcard::take_from_bytes::<WarmState>(&state.warm_state).ok();
    let supplement = warm_state
        .as_ref()
        .and_then(|(_, rest)| postcard::from_bytes::<StoredSupplement>(rest).ok());
    let taken_at = supplement.as_ref().map(|supplement| supplement.taken_at);
    let now = runtime.now();
    let overrides = state.overrides.into_iter().map(|(server, stored)| {
        let server = ServerId::from(server.as_str());
        (server, from_stored(stored, taken_at, now))
    });
    runtime.apply_admin_overrides(overrides, source);
    if let Some((warm_state, _)) = warm_state {
        runtime.restore_warm_state(match taken_at {
            Some(taken_at) => warm_state.moved_to_clock(taken_at, now.0),
            None => warm_state.without_ages(now),
        });
    }
    if let Some(supplement) = supplement {
        runtime.restore_address_claims(supplement.address_claims);
    }
    if state.drained {
        runtime.drain_router();
    }
}

/// Converts an override from the stored form of a state that was taken at `taken_at`.
fn from_stored(stored: StoredOverride, taken_at: Option<u64>, now: Micros) -> AdminOverride {
    match stored {
        StoredOverride::Disabled => AdminOverride::Disabled,
        StoredOverride::EnabledAt(at) => {
            let age = taken_at.map_or(0, |taken_at| taken_at.saturating_sub(at));
            AdminOverride::EnabledAt(now.since(Micros(age)))
        }
    }
}

/// Converts an override that another running process has just set.
pub fn from_other_process(stored: StoredOverride, now: Micros) -> AdminOverride {
    from_stored(stored, None, now)
}
