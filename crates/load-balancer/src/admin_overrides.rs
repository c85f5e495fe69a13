//! What operators said of servers, kept by name apart from the list. What follows is decided in `src/life.rs`.

use crate::api::{Micros, ServerId};
use crate::state::Router;
use std::collections::BTreeMap;

/// Servers of which the operators' word is kept. More are no fleet's; the word that was given first is forgotten, and
/// those that are out last of all.
const WORDS: usize = 4096;

/// The operators' last word on a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdminOverride {
    /// Nothing new is sent to it.
    Disabled,
    /// Put back into service at this time; it may have restarted since, so slow start begins then.
    EnabledAt(Micros),
}

/// What the operators said, by server. It outlives the list's entries.
#[derive(Debug, Default)]
pub(crate) struct Words(BTreeMap<ServerId, AdminOverride>);

impl Words {
    /// Called out, and not back yet.
    pub fn is_out(&self, server: &ServerId) -> bool {
        self.0.get(server) == Some(&AdminOverride::Disabled)
    }

    /// When it was put back; 0 if never.
    pub fn back_at(&self, server: &ServerId) -> Micros {
        if let Some(AdminOverride::EnabledAt(at)) = self.0.get(server) {
            *at
        } else {
            Micros(0)
        }
    }

    /// The operators said this.
    pub fn set(&mut self, server: ServerId, word: AdminOverride) {
        if self.0.len() >= WORDS && !self.0.contains_key(&server) {
            let oldest = self.0.iter().min_by_key(|(_, word)| match word {
                AdminOverride::EnabledAt(at) => *at,
                AdminOverride::Disabled => Micros::MAX,
            });
            if let Some(name) = oldest.map(|(name, _)| name.clone()) {
                self.0.remove(&name);
            }
        }
        self.0.insert(server, word);
    }
}

impl Router {
    /// What the operators said of each server that they spoke of, for a successor or for a file.
    pub fn admin_overrides(&self) -> impl Iterator<Item = (&ServerId, AdminOverride)> {
        self.words.0.iter().map(|(server, word)| (server, *word))
    }
}
