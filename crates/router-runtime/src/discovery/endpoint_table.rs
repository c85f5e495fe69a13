//! The endpoint list as discovery wrote it: applied to the upstream pools and to the decision library, and kept for a
//! successor process. What the decision library makes of it is its own `ServerTable`.

use crate::dispatcher::Dispatcher;
use crate::endpoint_list::{EndpointList, Health, ListedEndpoint};
use crate::environment::Environment;
use crate::mutation::hooks;
use crate::upstream::UpstreamPools;
use load_balancer::deployment::Names;
use load_balancer::{
    AdminOverride, CellId, Endpoint, EndpointState, EndpointUpdate, KindId, Micros, ServerId,
    ZoneId,
};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;

/// The weight of a server whose list gives none that can be used.
const DEFAULT_WEIGHT: f64 = 1.0;

/// See the module.
pub struct EndpointTable<E: Environment> {
    environment: E,
    names: Rc<Names>,
    dispatcher: Rc<Dispatcher<E>>,
    upstream: Rc<UpstreamPools<E>>,
    /// The version of the list, as the present discovery server counts.
    version: Cell<u64>,
    /// By name.
    hosts: RefCell<BTreeMap<String, ListedEndpoint>>,
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
            hosts: RefCell::default(),
        })
    }

    /// The version of the list; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Forgets the version: another discovery server counts anew.
    pub fn reset_version(&self) {
        self.version.set(0);
    }

    /// The whole list as it stands.
    pub fn list(&self) -> EndpointList {
        EndpointList {
            version: self.version.get(),
            is_snapshot: true,
            hosts: self.hosts.borrow().values().cloned().collect(),
        }
    }

    /// Applies the list that this router had before its start.
    pub fn restore(self: &Rc<Self>, list: EndpointList) {
        self.apply(list, EndpointUpdate::Restored);
    }

    /// Applies a list of the watch: a snapshot or a delta.
    pub fn update(self: &Rc<Self>, list: EndpointList) {
        let update = if list.is_snapshot {
            EndpointUpdate::Snapshot
        } else {
            EndpointUpdate::Delta
        };
        self.apply(list, update);
    }

    fn apply(self: &Rc<Self>, list: EndpointList, update: EndpointUpdate) {
        let is_whole = update != EndpointUpdate::Delta;
        self.remember(is_whole, &list.hosts);
        let table = self.clone();
        let hosts = hooks::hosts(&self.environment, update, list.hosts, move |late| {
            table.apply_hosts(late, EndpointUpdate::Delta);
        });
        self.version.set(list.version);
        self.apply_hosts(hosts, update);
    }

    /// First the addresses, so that the decision library's actions find them; then the event.
    fn apply_hosts(&self, hosts: Vec<ListedEndpoint>, update: EndpointUpdate) {
        let mut endpoints = Vec::with_capacity(hosts.len());
        for host in hosts {
            let endpoint = self.endpoint(&host);
            self.upstream
                .set_server(&endpoint.server, host.addr, endpoint.state, host.started_ms);
            endpoints.push(endpoint);
        }
        hooks::endpoints_listed(&endpoints, |server| {
            let enabled = AdminOverride::EnabledAt(self.dispatcher.now());
            self.dispatcher
                .apply_admin_override(server.clone(), enabled);
        });
        if update != EndpointUpdate::Delta {
            let listed: HashSet<&ServerId> =
                endpoints.iter().map(|endpoint| &endpoint.server).collect();
            self.upstream.keep_only(|server| listed.contains(server));
        }
        self.dispatcher.endpoints_changed(update, endpoints);
    }

    /// A host of the list in the decision library's terms.
    fn endpoint(&self, host: &ListedEndpoint) -> Endpoint {
        let state = match host.health {
            Health::Up => EndpointState::Ready,
            Health::Draining => EndpointState::Draining,
            Health::Removed => EndpointState::Removed,
        };
        let has_weight = host.weight.is_finite() && host.weight >= 0.0;
        let weight = if has_weight {
            host.weight
        } else {
            DEFAULT_WEIGHT
        };
        Endpoint {
            server: ServerId::from(host.name.as_str()),
            state,
            zone: position(&self.names.zones, host.zone.as_ref()).map(ZoneId),
            cell: CellId(host.cell),
            kind: position(&self.names.kinds, host.kind.as_ref()).map(KindId),
            started: Micros::from_millis(host.started_ms),
            weight,
        }
    }

    /// Keeps the list as it stands, for a successor.
    fn remember(&self, is_whole: bool, changed: &[ListedEndpoint]) {
        let mut hosts = self.hosts.borrow_mut();
        if is_whole {
            hosts.clear();
        }
        for host in changed {
            if host.health == Health::Removed {
                hosts.remove(&host.name);
            } else {
                hosts.insert(host.name.clone(), host.clone());
            }
        }
    }
}

/// The place of a name among the names of the settings.
fn position(names: &[String], name: Option<&String>) -> Option<usize> {
    names.iter().position(|known| Some(known) == name)
}
