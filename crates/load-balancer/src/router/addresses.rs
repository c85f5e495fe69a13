//! Carries out what [`crate::address_ownership`] decides, and hands its state to a successor.

use super::Router;
use crate::action::Action;
use crate::address_ownership::{AddressClaims, OwnershipChange};
use crate::endpoint::{Endpoint, EndpointState};
use crate::ids::RequestId;
use crate::time::Micros;
use crate::timer::TimerPurpose;

impl Router {
    /// Decides anew who uses which address. A server that may use its address again counts as just started,
    /// since the process there may be another one.
    pub(super) fn resolve_addresses(&mut self) {
        let changes = self.address_ownership.resolve(&mut self.servers, self.now);
        for change in &changes {
            let index = change.server;
            if self.servers[index].endpoint.state == EndpointState::Ready {
                self.log_ownership_change(change);
            }
            if change.owns_address {
                self.servers[index].possible_restart_at = self.now;
                self.servers[index].known_since = self.now;
                self.key_locations.remove_server(index);
            }
            let server = self.servers[index].endpoint.server.clone();
            self.actions.push(Action::CloseIdle { server });
        }
        let release = self.address_ownership.next_release();
        if let Some(at) = release.filter(|_| release != self.address_release_at) {
            self.set_timer(at.since(self.now), RequestId(0), TimerPurpose::Address);
        }
        self.address_release_at = release;
    }

    fn log_ownership_change(&mut self, change: &OwnershipChange) {
        let describe = |index: usize| {
            let Endpoint {
                server,
                state,
                started,
                ..
            } = &self.servers[index].endpoint;
            format!("{server} ({state:?}, started {started})")
        };
        let server = describe(change.server);
        let address = self.servers[change.server].endpoint.address;
        let address = address.map_or_else(String::new, |address| address.to_string());
        let text = match (change.owns_address, change.other.map(describe)) {
            (true, _) => format!("{server} may use {address} again"),
            (false, Some(other)) => format!("{server} does not use {address}: {other} is there"),
            (false, None) => {
                format!("{server} does not use {address}: a process there has left the list")
            }
        };
        self.actions.push(Action::Log(text));
    }

    /// The claims to addresses that a successor has to know beside the endpoint list.
    pub fn address_claims(&self) -> AddressClaims {
        self.address_ownership.claims(&self.servers, self.now)
    }

    /// Restores the claims of a previous process. To be called after the endpoint list is set. Returns actions
    /// like [`Router::handle`].
    pub fn restore_address_claims(
        &mut self,
        now: Micros,
        claims: AddressClaims,
        actions: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        self.address_ownership
            .restore(&mut self.servers, claims, self.now);
        self.on_availability_changed();
        actions.append(&mut self.actions);
    }
}
