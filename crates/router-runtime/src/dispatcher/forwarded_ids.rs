//! Client-chosen ids of requests that may have run and must not run twice.
//!
//! A client that has left may send a request again under its id, on another connection, while the
//! first copy runs or after it has. The id is all that tells the copies from two requests.

use rustc_hash::FxBuildHasher;
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, VecDeque};
use std::hash::BuildHasher;
use std::time::{Duration, Instant};

/// How long an id is remembered. Clients that send a request again do so within their deadline.
const REMEMBERED_TIME: Duration = Duration::from_secs(30);
/// The most ids that are remembered; beyond them the oldest is forgotten.
const MAX_IDS: usize = 16 * 1024;

/// The ids, as keyed hashes: clients choose them, and cannot choose the hashes.
#[derive(Debug, Default)]
pub struct ForwardedIds {
    hasher: RandomState,
    /// When each id was recorded last.
    recorded_at: HashMap<u64, Instant, FxBuildHasher>,
    /// In the order of recording. An entry is outdated if its id was recorded again or removed.
    order: VecDeque<(Instant, u64)>,
}

impl ForwardedIds {
    /// Records that a request of this id is about to be sent.
    pub fn insert(&mut self, now: Instant, id: &[u8]) {
        self.remove_old(now);
        let hash = self.hasher.hash_one(id);
        self.recorded_at.insert(hash, now);
        self.order.push_back((now, hash));
    }

    /// Records that the request of this id has certainly not run.
    pub fn remove(&mut self, id: &[u8]) {
        let hash = self.hasher.hash_one(id);
        self.recorded_at.remove(&hash);
    }

    /// Whether a request of this id may have run.
    pub fn contains(&self, now: Instant, id: &[u8]) -> bool {
        let recorded_at = self.recorded_at.get(&self.hasher.hash_one(id));
        recorded_at.is_some_and(|&at| now.saturating_duration_since(at) < REMEMBERED_TIME)
    }

    fn remove_old(&mut self, now: Instant) {
        while let Some(&(at, hash)) = self.order.front() {
            let is_old = now.saturating_duration_since(at) >= REMEMBERED_TIME;
            if !is_old && self.order.len() < MAX_IDS {
                break;
            }
            self.order.pop_front();
            if self.recorded_at.get(&hash) == Some(&at) {
                self.recorded_at.remove(&hash);
            }
        }
    }
}
