//! Helpers that start a router together with its cache servers and discovery service.

use crate::cache_server::CacheServer;
use crate::configuration::configuration;
use crate::discovery::{Discovery, endpoint_list};
use crate::router_process::RouterProcess;
use crate::wait::wait_until;
use serde_json::Value;

/// A router and its discovery service.
pub struct Fleet {
    /// The router.
    pub router: RouterProcess,
    /// The discovery service that the router watches.
    pub discovery: Discovery,
}

/// A router, its two cache servers and its discovery service.
pub struct TwoServerFleet {
    /// The cache server that owns the test's key.
    pub owner: CacheServer,
    /// The other cache server.
    pub other: CacheServer,
    /// The router.
    pub router: RouterProcess,
    /// The discovery service that the router watches.
    pub discovery: Discovery,
}

/// Starts a router with these cache servers in its initial endpoint list. The discovery service
/// sends no changes of its own.
pub fn start_router(servers: &[&CacheServer]) -> Fleet {
    start_router_with_settings(servers, |_| {})
}

/// Like [`start_router`], with settings that `change` edits in the `settings` object of the
/// configuration.
pub fn start_router_with_settings(
    servers: &[&CacheServer],
    change: impl FnOnce(&mut Value),
) -> Fleet {
    let discovery = Discovery::start(endpoint_list(7, false, &[]));
    let known: Vec<String> = servers.iter().map(|server| server.entry("up")).collect();
    let mut configuration = configuration(discovery.addr, &known);
    change(&mut configuration["settings"]);
    let router = RouterProcess::start(&configuration);
    wait_until("the router watches", || !discovery.calls().is_empty());
    Fleet { router, discovery }
}

/// Starts two cache servers and a router, and determines which server owns `key`.
pub fn start_router_with_two_servers(key: &str) -> TwoServerFleet {
    start_router_with_two_servers_and_settings(key, |_| {})
}

/// Like [`start_router_with_two_servers`], with settings that `change` edits as in
/// [`start_router_with_settings`].
pub fn start_router_with_two_servers_and_settings(
    key: &str,
    change: impl FnOnce(&mut Value),
) -> TwoServerFleet {
    let a = CacheServer::start("s-a");
    let b = CacheServer::start("s-b");
    let Fleet { router, discovery } = start_router_with_settings(&[&a, &b], change);
    assert!(router.client().request("read", key).contains("s-"));
    let (owner, other) = if a.commands().is_empty() {
        (b, a)
    } else {
        (a, b)
    };
    TwoServerFleet {
        owner,
        other,
        router,
        discovery,
    }
}
