//! The endpoint list in the form that discovery sends. Each change is applied to the upstream pools
//! and to the decision library, and the whole list is kept to be handed to a successor process. The
//! decision library keeps its own state of the servers in its `ServerTable`.

use super::list_log;
use crate::dispatcher::Dispatcher;
use crate::endpoint_list::{EndpointList, Health, ListedEndpoint};
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::upstream::UpstreamPools;
use load_balancer::deployment::Names;
use load_balancer::{
    AdminOverride, CellId, Endpoint, EndpointState, EndpointUpdate, MachineKindId, OverrideSource,
    ProcessAge, ServerId, WallTime, ZoneId,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// Weight of a server whose listed weight is negative or not finite.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The current endpoint list; see the module.
pub struct EndpointTable<E: Environment> {
    environment: E,
    names: Rc<Names>,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    /// Version of the list, as counted by the current discovery server.
    version: Cell<u64>,
    /// Whether the next list comes from another discovery server than the current one.
    is_server_changed: Cell<bool>,
    /// By server name.
    entries: RefCell<BTreeMap<String, ListedEndpoint>>,
}

impl<E: Environment> EndpointTable<E> {
    /// A table without servers.
    pub fn new(
        names: Rc<Names>,
        dispatcher: Rc<Dispatcher<E>>,
        upstream: Rc<UpstreamPools<E>>,
        environment: E,
    ) -> Rc<Self> {
        Rc::new(EndpointTable {
            environment,
            names,
            dispatcher,
            upstream,
            version: Cell::new(0),
            is_server_changed: Cell::new(false),
            entries: RefCell::default(),
        })
    }

    /// Version of the list; 0 before the first list.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Resets the version to 0, for a new watch on the same discovery server.
    pub fn reset_version(&self) {
        self.version.set(0);
    }

    /// Expects the next list from another discovery server, which counts its own versions.
    pub fn expect_other_server(&self) {
        self.is_server_changed.set(true);
        self.reset_version();
    }

    /// The whole current list.
    pub fn list(&self) -> EndpointList {
        EndpointList {
            version: self.version.get(),
            is_snapshot: true,
            entries: self.entries.borrow().values().cloned().collect(),
        }
    }

    /// Applies the list that the router starts with.
    pub fn restore(self: &Rc<Self>, list: EndpointList) {
        self.apply(list, EndpointUpdate::Restored);
    }

    /// Applies a list that the watch brought: a snapshot or a delta.
    pub fn update(self: &Rc<Self>, list: EndpointList) {
        let update = match (list.is_snapshot, self.is_server_changed.take()) {
            (true, true) => EndpointUpdate::SnapshotOfOtherServer,
            (true, false) => EndpointUpdate::Snapshot,
            (false, _) => EndpointUpdate::Delta,
        };
        self.apply(list, update);
    }

    fn apply(self: &Rc<Self>, list: EndpointList, update: EndpointUpdate) {
        // The list at the start is logged once the process runs.
        if update != EndpointUpdate::Restored {
            self.log_update(&list, update);
        }
        let entries = list.entries;
        self.store_list(update.is_whole_list(), &entries);
        let table = self.clone();
        let entries = hooks::listed_endpoints(&self.environment, update, entries, move |delayed| {
            table.apply_entries(delayed, EndpointUpdate::Delta);
        });
        self.version.set(list.version);
        self.apply_entries(entries, update);
    }

    /// Logs the list that the router starts with.
    pub fn log_initial_list(&self) {
        let list = self.list();
        let known = BTreeMap::new();
        self.environment.log(format_args!(
            "endpoint list: list at the start, version {}, {} entries, {}{}",
            list.version,
            list.entries.len(),
            self.dispatcher.log_time(),
            list_log::describe_changes(&known, &list.entries, true),
        ));
    }

    fn log_update(&self, list: &EndpointList, update: EndpointUpdate) {
        let known = self.entries.borrow();
        let changes = list_log::describe_changes(&known, &list.entries, update.is_whole_list());
        if changes.is_empty() && update == EndpointUpdate::Delta {
            return;
        }
        self.environment.log(format_args!(
            "endpoint list: {}, version {} after {}, {} entries, {}{changes}",
            list_log::source(update),
            list.version,
            self.version.get(),
            list.entries.len(),
            self.dispatcher.log_time(),
        ));
    }

    /// Updates the addresses before the decision library, whose actions need them.
    fn apply_entries(&self, entries: Vec<ListedEndpoint>, update: EndpointUpdate) {
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            let endpoint = self.to_endpoint(&entry);
            self.upstream.set_server(
                &endpoint.server,
                entry.addr,
                endpoint.state,
                endpoint.started,
            );
            endpoints.push(endpoint);
        }
        hooks::lift_overrides(&endpoints, |server| {
            let enabled = AdminOverride::EnabledAt(self.dispatcher.now());
            self.dispatcher
                .apply_admin_override(server.clone(), enabled, OverrideSource::Operator);
        });
        if update.is_whole_list() {
            let listed_servers: HashSet<&ServerId> =
                endpoints.iter().map(|endpoint| &endpoint.server).collect();
            self.upstream
                .retain_servers(|server| listed_servers.contains(server));
        }
        self.dispatcher.endpoints_changed(update, endpoints);
    }

    /// Converts an entry of the list to an endpoint of the decision library.
    fn to_endpoint(&self, entry: &ListedEndpoint) -> Endpoint {
        let state = match entry.health {
            Health::Up => EndpointState::Ready,
            Health::Draining => EndpointState::Draining,
            Health::Removed => EndpointState::Removed,
        };
        let has_weight = entry.weight.is_finite() && entry.weight >= 0.0;
        let weight = if has_weight {
            entry.weight
        } else {
            DEFAULT_WEIGHT
        };
        Endpoint {
            server: ServerId::from(entry.name.as_str()),
            state,
            zone: position(&self.names.zones, entry.zone.as_ref()).map(ZoneId),
            cell: CellId(entry.cell),
            kind: position(&self.names.kinds, entry.kind.as_ref()).map(MachineKindId),
            address: Some(entry.addr),
            started: WallTime::from_unix_millis(entry.started_ms),
            age: match entry.started_ms {
                0 => ProcessAge::Old,
                _ => ProcessAge::Unknown,
            },
            weight,
        }
    }

    /// Applies the changes to the list kept for a successor process.
    fn store_list(&self, is_snapshot: bool, changed: &[ListedEndpoint]) {
        let mut entries = self.entries.borrow_mut();
        if is_snapshot {
            entries.clear();
        }
        for entry in changed {
            if entry.health == Health::Removed {
                entries.remove(&entry.name);
            } else {
                entries.insert(entry.name.clone(), entry.clone());
            }
        }
    }
}

/// Index of a name among the names of the settings.
fn position(names: &[String], name: Option<&String>) -> Option<usize> {
    names.iter().position(|known| Some(known) == name)
}
