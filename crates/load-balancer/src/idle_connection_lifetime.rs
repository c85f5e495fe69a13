//! How long a connection at rest to a cache server is kept, and whether servers turn routers away for want of
//! places for connections.
//!
//! Guards against what is harmless at one router and harms when all do it: a hundred routers that each keep a
//! connection to each server for as long as the server lets them fill its table with connections at rest. The next
//! one is turned away although the server has time to spare, and a router that takes this for too much work sends
//! less there for the rest of the day. Hurts where servers have places to spare and handshakes are dear: what
//! rests for longer than it is worth is opened anew.

use crate::api::{Action, AttemptEnd, ConnectionCosts, ConnectionUse, Micros, Outcome};
use crate::state::{Router, Server};

/// Attempts over which shares of those turned away are averaged.
const SPAN: f64 = 16.0;
/// So much more of the attempts on new connections than of those on kept ones are turned away where places are
/// short: a server with too much work turns both away alike.
const SCARCE: f64 = 0.1;
/// What one attempt on a new connection that is turned away while places are short takes off the time for which
/// connections are kept; and what one that is not adds, as a share of the longest.
const CUT: f64 = 0.3;
const GROW: f64 = 0.003;
/// Connections are kept for this part of the longest at the least: one more turned away tells nothing new then.
const LEAST: f64 = 0.1;
/// A connection may rest until that has cost this part of what opening it anew does: a full table takes some of a
/// server's capacity before it turns anybody away.
const WORTH: f64 = 0.5;

/// What is known of connections, of whichever server: all have tables of about the same size.
#[derive(Debug)]
pub(crate) struct Links {
    /// The shares of attempts on new and on kept connections that are turned away, smoothed.
    fresh: f64,
    kept: f64,
    /// The part of the longest time for which connections are kept.
    part: f64,
}

/// What a router's requests come to over the fleet.
pub(crate) struct Fleet {
    /// Routers, and ready servers.
    pub routers: f64,
    pub servers: f64,
    /// The time between this router's requests.
    pub pace: Micros,
}

impl Links {
    /// Nothing is known.
    pub fn new() -> Links {
        Links {
            fresh: 0.0,
            kept: 0.0,
            part: 1.0,
        }
    }

    /// An attempt ended.
    pub fn learn(&mut self, end: &AttemptEnd) {
        let turned_away = end.outcome == Outcome::Overloaded;
        let share = match end.connection_use {
            ConnectionUse::New if end.outcome != Outcome::Unreachable => &mut self.fresh,
            ConnectionUse::Reused(_) => &mut self.kept,
            _ => return,
        };
        *share += (f64::from(u8::from(turned_away)) - *share) / SPAN;
        if end.connection_use == ConnectionUse::New {
            let part = if turned_away && self.are_scarce() {
                self.part * (1.0 - CUT)
            } else {
                self.part + GROW
            };
            self.part = part.clamp(LEAST, 1.0);
        }
    }

    /// Whether servers turn new connections away for want of places, not for too much work.
    pub fn are_scarce(&self) -> bool {
        self.fresh - self.kept > SCARCE
    }

    /// How long a connection may rest before it is closed. A rest until it has cost as much as opening anew would cost
    /// at most twice the best choice, whatever comes; it is a part of that, and less where places are short.
    pub fn hold(&self, connection_costs: ConnectionCosts, fleet: &Fleet) -> Micros {
        if connection_costs.connection <= 0.0 || fleet.servers < 1.0 {
            return Micros::MAX;
        }
        // A connection's price is for 100 of them to each server, a handshake's for one with each request.
        let per_server = fleet.pace.scaled(100.0 * fleet.servers / fleet.routers);
        per_server
            .scaled(connection_costs.handshake / connection_costs.connection * WORTH * self.part)
    }
}

impl Router {
    /// Guards against connections dropped unseen while idle: one as old as those that failed lately is closed
    /// before it is used. How long the connection was idle, if it is used.
    pub(crate) fn idle_connection(&mut self, index: usize) -> Option<Micros> {
        let server = &self.servers[index];
        let idle = self.now.since(server.last_used);
        let fresh = server.load.in_flight > 0 || server.last_used == Micros(0);
        if fresh || idle >= self.settings.connection_idle || idle == Micros(0) {
            return None;
        }
        if self.kept.are_dead(self.now, idle) {
            self.out.push(Action::CloseIdle {
                server: server.member.server.clone(),
            });
            return None;
        }
        Some(idle)
    }

    /// Guards the rule of closing on drains: what is idle is closed at the notice, the rest as attempts end.
    pub(crate) fn close_drained(&mut self, index: usize) {
        let server = &self.servers[index];
        if self.settings.rules.drain_close.is_some() && !server.is_ready() {
            self.out.push(Action::CloseIdle {
                server: server.member.server.clone(),
            });
        }
    }
}

impl Server {
    /// Guards against taking a connection's end for the server's: a kept one that breaks sooner than any
    /// answer comes was dead before (closed as idle, reset by a firewall, cut off with an old process). The
    /// next attempt at the same server is free: no work was done, and the key is kept there. It goes out on
    /// another connection, at the latest on a new one, which is not free when it breaks. Hurts where a server
    /// breaks all connections at once, by as many attempts as it had, within the limit on attempts.
    pub(crate) fn is_unmet(&self, end: &AttemptEnd) -> bool {
        let early = end.elapsed.scaled(2.0) <= self.usual;
        end.outcome == Outcome::ConnectionLost
            && !end.response_started
            && matches!(end.connection_use, ConnectionUse::Reused(_))
            && early
    }
}
