//! What a router learnt that its successor would have to learn anew: how much each server bears, which key is kept
//! where, what is asked for, how the origin does.
//!
//! Guards against a process that begins as if the fleet were new to it while its clients are the same: it takes known keys
//! for fetches and cold servers' budgets for unused. Decides nothing; a part that does not fit what the list says now is
//! left out.

use crate::api::Micros;
use crate::state::Router;
use serde::{Deserialize, Serialize};

/// More is no router's: what a form holds beyond is left out.
const SERVERS: usize = 8192;
const KEYS: usize = 65_536;

/// What was learnt of one process of a server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LearntServer {
    name: String,
    started: u64,
    limit: f64,
    usual: u64,
    down_at: u64,
    last_sent: u64,
    due: f64,
}

/// See the module. Times are on the clock of the events that a router was given.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WarmState {
    servers: Vec<LearntServer>,
    /// A key's place, and the number of its server above.
    known: Vec<(u32, u32)>,
    popular: Vec<(u32, f64)>,
    asked_for: f64,
    usual: u64,
    fetches: f64,
    misses: Vec<f64>,
    mean_worth: f64,
    asked: Vec<f64>,
    mix: Vec<f64>,
    retry_tokens: f64,
}

/// A share or a count as it can be used.
fn is_sound(value: f64) -> bool {
    value.is_finite() && (0.0..1e9).contains(&value)
}

impl Router {
    /// What this router learnt so far.
    pub fn warm_state(&self) -> WarmState {
        let server = |s: &crate::state::Server| LearntServer {
            name: s.member.server.to_string(),
            started: s.member.started.0,
            limit: s.load.believed(self.now),
            usual: s.usual.0,
            down_at: s.down_at.0,
            last_sent: s.last_sent.0,
            due: s.due,
        };
        let mut popular: Vec<(u32, f64)> = self
            .demand
            .popular
            .iter()
            .map(|(&place, &count)| (place, count))
            .collect();
        popular.sort_unstable_by_key(|&(place, _)| place);
        let known = self
            .known
            .iter()
            .filter(|(_, index)| *index < self.servers.len());
        WarmState {
            servers: self.servers.iter().map(server).collect(),
            known: known.map(|(place, index)| (place, index as u32)).collect(),
            popular,
            asked_for: self.demand.asked_for,
            usual: self.usual.0,
            fetches: self.fetches.limit,
            misses: self.fetches.misses.to_vec(),
            mean_worth: self.demand.mean_worth,
            asked: self.demand.asked.clone(),
            mix: self.demand.mix.clone(),
            retry_tokens: self.retry_tokens,
        }
    }

    /// Takes what another process of this router learnt, after its list and the operators' word. A server that has been
    /// started anew since is met as new.
    pub fn restore_warm_state(&mut self, now: Micros, learnt: WarmState) {
        self.now = self.now.max(now);
        let mut places = Vec::new();
        for old in learnt.servers.into_iter().take(SERVERS) {
            let place = self.by_name.get(old.name.as_str()).copied();
            let place = place.filter(|&i| self.servers[i].member.started == Micros(old.started));
            places.push(place);
            let Some(server) = place.map(|i| &mut self.servers[i]) else {
                continue;
            };
            if is_sound(old.limit) && old.limit > 0.0 {
                server.load.limit = old.limit;
                server.load.recalled(now);
            }
            server.usual = Micros(old.usual).min(Micros::from_millis(60_000));
            server.down_at = server.down_at.max(Micros(old.down_at).min(now));
            server.last_sent = Micros(old.last_sent).min(now);
            server.due = if is_sound(old.due) {
                old.due.min(1.0)
            } else {
                server.due
            };
        }
        for (place, index) in learnt.known.into_iter().take(KEYS) {
            if let Some(Some(index)) = places.get(index as usize) {
                self.known.learn(place, *index);
            }
        }
        let popular = learnt
            .popular
            .into_iter()
            .filter(|(_, count)| is_sound(*count));
        self.demand.popular = popular.take(KEYS).collect();
        if is_sound(learnt.asked_for) {
            self.demand.asked_for = learnt.asked_for;
        }
        if learnt.usual > 0 {
            self.usual = Micros(learnt.usual).min(self.shortest_aim);
        }
        if is_sound(learnt.fetches) && learnt.fetches > 0.0 {
            self.fetches.limit = learnt.fetches;
        }
        if let Ok(misses) = <[f64; crate::origin_fetch_limit::FAMILIAR]>::try_from(learnt.misses)
            && misses.iter().all(|share| (0.0..=1.0).contains(share))
        {
            self.fetches.misses = misses;
        }
        if is_sound(learnt.mean_worth) && learnt.mean_worth > 0.0 {
            self.demand.mean_worth = learnt.mean_worth;
        }
        let shares = |mine: &mut Vec<f64>, theirs: Vec<f64>| {
            if theirs.len() == mine.len() && theirs.iter().all(|share| (0.0..=1.0).contains(share))
            {
                *mine = theirs;
            }
        };
        shares(&mut self.demand.asked, learnt.asked);
        shares(&mut self.demand.mix, learnt.mix);
        // Both processes are one router: what is left of its further attempts is not given out twice.
        if is_sound(learnt.retry_tokens) {
            self.retry_tokens = self.retry_tokens.min(learnt.retry_tokens);
        }
    }
}
