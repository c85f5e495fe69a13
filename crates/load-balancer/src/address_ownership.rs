//! Which of the processes that are listed at one address has it.
//!
//! A process that has gone may stay on the list for a while after another one, under another name, has come
//! up at its address. Whatever is sent to that address reaches the new process. Start times come from other
//! machines' clocks and give no order, so the order is that in which this router was told of the processes:
//!
//! - A process under a name that was not listed at the address before supersedes those that were listed there
//!   before it. What is told of these later no longer counts.
//! - Processes whose order is unknown contend for the address: those that one update names first, a restart
//!   under a name that was listed there before, and the list of another discovery server. Nothing is sent to
//!   the address while one of them drains or is disabled; otherwise the one told last has it.
//! - When a process that had or contended for an address leaves the list, those that are still listed there
//!   wait for [`ADDRESS_HOLD`], as the process that left may still run. They return through slow start.

use crate::endpoint::{Endpoint, EndpointState};
use crate::server_table::{Server, ServerTable};
use crate::time::{Micros, WallTime};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How long an address is not used after a process there has left the list: it finishes its requests, whose
/// longest deadline is 3 s, and the list may be 6 s late.
pub(crate) const ADDRESS_HOLD: Micros = Micros::from_millis(10_000);

/// Maximum number of restored claims, larger than any fleet.
const MAX_STORED_CLAIMS: usize = 8_192;

/// The claim of a listed process to its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AddressClaim {
    /// Number of the list update that first named the process.
    pub told_in: u64,
    /// Whether a process that was told later has taken the address.
    pub is_superseded: bool,
    /// Whether no other process keeps it from using its address.
    pub owns_address: bool,
    /// Whether it was listed at the last update.
    was_listed: bool,
}

impl AddressClaim {
    /// Whether a removed process was still listed before the current update.
    pub fn has_just_left(self) -> bool {
        self.was_listed
    }
}

impl Default for AddressClaim {
    fn default() -> AddressClaim {
        AddressClaim {
            told_in: 0,
            is_superseded: false,
            owns_address: true,
            was_listed: false,
        }
    }
}

/// The claims to addresses that several processes have, for the successor of this process. Stored by position:
/// the order and types of fields are fixed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AddressClaims {
    claims: Vec<StoredClaim>,
    /// Addresses that are not used, and for how long, in microseconds.
    holds: Vec<(SocketAddr, u64)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredClaim {
    server: String,
    address: SocketAddr,
    told_in: u64,
    is_superseded: bool,
}

/// What was listed under a name before an update.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PreviousClaim {
    address: Option<SocketAddr>,
    claim: AddressClaim,
}

impl PreviousClaim {
    /// What the server table holds of a name.
    pub fn of(server: &Server) -> PreviousClaim {
        PreviousClaim {
            address: server.endpoint.address,
            claim: server.claim,
        }
    }

    /// Whether it was listed, and not only remembered.
    pub fn was_listed(self) -> bool {
        self.claim.was_listed
    }
}

/// A change of who uses an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OwnershipChange {
    /// Index of the server in the table.
    pub server: usize,
    /// Whether it uses its address from now on.
    pub owns_address: bool,
    /// The server that keeps it from doing so, if one is listed.
    pub other: Option<usize>,
}

/// Decides who uses which address.
#[derive(Debug, Default)]
pub(crate) struct AddressOwnership {
    update_count: u64,
    /// Whether the current update is known to come after all earlier ones.
    is_in_order: bool,
    /// Until when addresses are not used.
    held_until: BTreeMap<SocketAddr, Micros>,
}

impl AddressOwnership {
    /// Begins an update of the list.
    pub fn begin_update(&mut self, is_in_order: bool) {
        self.update_count += 1;
        self.is_in_order = is_in_order;
    }

    /// Takes in a process that the current update names first. `previous` is what was listed under its name
    /// before.
    pub fn add_process(
        &mut self,
        servers: &mut ServerTable,
        index: usize,
        previous: Option<PreviousClaim>,
        now: Micros,
    ) {
        let update = self.update_count;
        // One that is first told when it has left was at its address until then.
        servers[index].claim = AddressClaim {
            told_in: update,
            was_listed: true,
            ..AddressClaim::default()
        };
        let address = servers[index].endpoint.address;
        let has_left_address = |previous: &PreviousClaim| {
            previous.was_listed() && previous.address != address && !previous.claim.is_superseded
        };
        if let Some(moved) = previous.filter(has_left_address) {
            self.hold(moved.address, now);
        }
        let Some(address) = address.filter(|_| self.is_in_order) else {
            return;
        };
        if previous.is_some_and(|previous| previous.address == Some(address)) {
            return;
        }
        self.held_until.remove(&address);
        for other in servers.iter_mut() {
            if other.endpoint.address == Some(address) && other.claim.told_in < update {
                other.claim.is_superseded = true;
            }
        }
    }

    /// Decides anew who uses which address, after an update or another change of the servers. Returns the
    /// changes, in the order of addresses.
    pub fn resolve(&mut self, servers: &mut ServerTable, now: Micros) -> Vec<OwnershipChange> {
        self.hold_addresses_of_removed(servers, now);
        self.held_until.retain(|_, until| *until > now);
        let listed = listed_by_address(servers);
        let mut changes = Vec::new();
        for claimants in listed.chunk_by(|one, other| one.0 == other.0) {
            self.resolve_address(servers, claimants, &mut changes);
        }
        let addresses = |address: &SocketAddr| listed.binary_search_by(|(at, _)| at.cmp(address));
        self.held_until
            .retain(|address, _| addresses(address).is_ok());
        changes
    }

    /// The claims to addresses at which several processes are listed, and to those that are not used.
    pub fn claims(&self, servers: &ServerTable, now: Micros) -> AddressClaims {
        let listed = listed_by_address(servers);
        let claims = listed
            .chunk_by(|one, other| one.0 == other.0)
            .filter(|claimants| {
                claimants.len() > 1 || self.held_until.contains_key(&claimants[0].0)
            })
            .flatten()
            .map(|&(address, index)| {
                let Server {
                    endpoint, claim, ..
                } = &servers[index];
                StoredClaim {
                    server: endpoint.server.to_string(),
                    address,
                    told_in: claim.told_in,
                    is_superseded: claim.is_superseded,
                }
            });
        let holds = self.held_until.iter();
        AddressClaims {
            claims: claims.collect(),
            holds: holds
                .map(|(address, until)| (*address, until.since(now).0))
                .collect(),
        }
    }

    /// Takes over the claims of a previous process, for the processes that are listed now.
    pub fn restore(&mut self, servers: &mut ServerTable, stored: AddressClaims, now: Micros) {
        for stored_claim in stored.claims.into_iter().take(MAX_STORED_CLAIMS) {
            let Some(index) = servers.index_of(&stored_claim.server) else {
                continue;
            };
            if servers[index].endpoint.address == Some(stored_claim.address) {
                let claim = &mut servers[index].claim;
                claim.told_in = stored_claim.told_in;
                claim.is_superseded = stored_claim.is_superseded;
                self.update_count = self.update_count.max(stored_claim.told_in);
            }
        }
        for (address, left) in stored.holds.into_iter().take(MAX_STORED_CLAIMS) {
            let left = Micros(left).min(ADDRESS_HOLD);
            self.held_until.insert(address, now.plus(left));
        }
    }

    /// When the next address may be used again.
    pub fn next_release(&self) -> Option<Micros> {
        self.held_until.values().min().copied()
    }

    fn hold(&mut self, address: Option<SocketAddr>, now: Micros) {
        if let Some(address) = address {
            self.held_until.insert(address, now.plus(ADDRESS_HOLD));
        }
    }

    fn hold_addresses_of_removed(&mut self, servers: &mut ServerTable, now: Micros) {
        for server in servers.iter_mut() {
            let is_listed = is_listed(server);
            let has_left = std::mem::replace(&mut server.claim.was_listed, is_listed) && !is_listed;
            if has_left && !server.claim.is_superseded {
                self.hold(server.endpoint.address, now);
            }
        }
    }

    fn resolve_address(
        &self,
        servers: &mut ServerTable,
        claimants: &[(SocketAddr, usize)],
        changes: &mut Vec<OwnershipChange>,
    ) {
        let &[(address, first), ..] = claimants else {
            return;
        };
        let is_held = self.held_until.contains_key(&address);
        let is_alone = claimants.len() == 1 && !servers[first].claim.is_superseded && !is_held;
        if is_alone && servers[first].claim.owns_address {
            return;
        }
        let indices = || claimants.iter().map(|&(_, index)| index);
        if !is_held && indices().all(|index| servers[index].claim.is_superseded) {
            for index in indices() {
                servers[index].claim.is_superseded = false;
            }
        }
        let owner = (!is_held).then(|| owner(servers, indices())).flatten();
        let blocker = owner.or_else(|| indices().find(|&index| blocks_address(&servers[index])));
        for index in indices() {
            let owns_address = is_alone || owner == Some(index);
            let claim = &mut servers[index].claim;
            if std::mem::replace(&mut claim.owns_address, owns_address) != owns_address {
                changes.push(OwnershipChange {
                    server: index,
                    owns_address,
                    other: blocker.filter(|other| *other != index),
                });
            }
        }
    }
}

fn is_listed(server: &Server) -> bool {
    server.endpoint.state != EndpointState::Removed
}

/// The address and index of each listed server with an address, in the order of addresses.
fn listed_by_address(servers: &ServerTable) -> Vec<(SocketAddr, usize)> {
    let servers = servers.iter().enumerate();
    let mut listed: Vec<(SocketAddr, usize)> = servers
        .filter(|(_, server)| is_listed(server))
        .filter_map(|(index, server)| Some((server.endpoint.address?, index)))
        .collect();
    listed.sort_unstable();
    listed
}

/// Whether a server keeps all others from using its address.
fn blocks_address(server: &Server) -> bool {
    let takes_nothing = server.endpoint.state != EndpointState::Ready || server.is_disabled;
    takes_nothing && !server.claim.is_superseded
}

/// The server that uses an address; `None` if none may. Of servers that were told at once, one that may be
/// cold comes first.
fn owner(servers: &ServerTable, claimants: impl Iterator<Item = usize> + Clone) -> Option<usize> {
    if claimants
        .clone()
        .any(|index| blocks_address(&servers[index]))
    {
        return None;
    }
    claimants
        .filter(|&index| !servers[index].claim.is_superseded)
        .max_by_key(|&index| {
            let Endpoint {
                started, server, ..
            } = &servers[index].endpoint;
            let may_be_cold = *started != WallTime::UNKNOWN;
            (servers[index].claim.told_in, may_be_cold, Reverse(server))
        })
}
