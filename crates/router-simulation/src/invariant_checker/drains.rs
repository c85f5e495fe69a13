//! Rule 3: nothing new is sent to a server that drains or is removed, once the router knows of it.
//!
//! A router knows of a drain from the earliest of these times: the line of the endpoint list is
//! complete at its machine, an operator disables the server at the router, or
//! [`DEEMED_KNOWN_AFTER`] has passed since discovery announced the drain. What a silent watch
//! misses counts as known that long after the watch fell silent, or at once if it is announced
//! later. Where an agent pushes lists, a router knows of each announcement at once, from its start
//! on, unless its watch is silent.

use crate::executor::Time;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// An announcement counts as known after this time, whether or not it arrived: the longest time for
/// which PROTOCOL lets a router do without its list.
const DEEMED_KNOWN_AFTER: Time = 6_000_000;

/// What a router knows of a server.
#[derive(Clone, Copy, Debug)]
struct ServerKnowledge {
    /// When the router learned that the server drains or is removed.
    unavailable_since: Option<Time>,
    /// The start of the server's process, Unix time in milliseconds.
    born_ms: u64,
}

/// An entry of discovery's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Announcement {
    pub(super) is_up: bool,
    pub(super) born_ms: u64,
}

/// An announcement that does not count as known yet.
#[derive(Clone, Copy)]
struct PendingAnnouncement {
    /// The router to which it will count as known; `None` for all routers.
    router: Option<usize>,
    server: usize,
    announcement: Announcement,
}

/// A watch on which discovery no longer writes.
struct SilentWatch {
    connection: u32,
    since: Time,
}

/// The numbers of a router and a server.
type Pair = (usize, usize);

/// What the routers know of the servers.
pub(super) struct Drains {
    server_numbers: BTreeMap<String, usize>,
    knowledge: BTreeMap<Pair, ServerKnowledge>,
    /// When an operator disabled a server. It holds independently of the list.
    disabled_since: BTreeMap<Pair, Time>,
    /// The time from which each counts as known, and a sequence number.
    pending: BTreeMap<(Time, u64), PendingAnnouncement>,
    last_sequence: u64,
    /// The silent watch of each router, until a list arrives on another watch.
    silent: BTreeMap<usize, SilentWatch>,
    latest: BTreeMap<usize, Announcement>,
    lists_are_pushed: bool,
}

impl Drains {
    pub(super) fn new(server_numbers: BTreeMap<String, usize>, lists_are_pushed: bool) -> Drains {
        Drains {
            lists_are_pushed,
            server_numbers,
            knowledge: BTreeMap::new(),
            disabled_since: BTreeMap::new(),
            pending: BTreeMap::new(),
            last_sequence: 0,
            silent: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// Records that a router starts with this list.
    pub(super) fn router_started(&mut self, now: Time, router: usize, list: &str) {
        self.knowledge.retain(|&(other, _), _| other != router);
        self.silent.remove(&router);
        self.apply_list(now, router, list, true);
        if self.lists_are_pushed {
            let latest = self.latest.clone();
            for (server, announcement) in latest {
                let pending = PendingAnnouncement {
                    router: Some(router),
                    server,
                    announcement,
                };
                self.deem_known(now, &pending);
            }
        }
    }

    pub(super) fn override_changed(&mut self, now: Time, pair: Pair, is_disabled: bool) {
        if is_disabled {
            self.disabled_since.entry(pair).or_insert(now);
        } else {
            self.disabled_since.remove(&pair);
        }
    }

    pub(super) fn announced(&mut self, now: Time, server: usize, announcement: Announcement) {
        let for_all = PendingAnnouncement {
            router: None,
            server,
            announcement,
        };
        self.add_pending(now + DEEMED_KNOWN_AFTER, for_all);
        let silent = self.silent.iter();
        let due =
            silent.map(|(&router, watch)| (router, now.max(watch.since + DEEMED_KNOWN_AFTER)));
        for (router, deemed_known_at) in due.collect::<Vec<_>>() {
            let for_one = PendingAnnouncement {
                router: Some(router),
                ..for_all
            };
            self.add_pending(deemed_known_at, for_one);
        }
        self.latest.insert(server, announcement);
        if self.lists_are_pushed {
            self.push(now, for_all);
        }
    }

    /// Makes an announcement known to the routers whose watch is not silent.
    fn push(&mut self, now: Time, announced: PendingAnnouncement) {
        let routers: BTreeSet<usize> = self.knowledge.keys().map(|pair| pair.0).collect();
        for router in routers {
            if !self.silent.contains_key(&router) {
                let pending = PendingAnnouncement {
                    router: Some(router),
                    ..announced
                };
                self.deem_known(now, &pending);
            }
        }
    }

    fn add_pending(&mut self, deemed_known_at: Time, pending: PendingAnnouncement) {
        self.last_sequence += 1;
        self.pending
            .insert((deemed_known_at, self.last_sequence), pending);
    }

    /// Records that nothing arrives on the watch of a router from now on.
    pub(super) fn watch_silenced(&mut self, now: Time, router: usize, connection: u32) {
        let watch = SilentWatch {
            connection,
            since: now,
        };
        self.silent.entry(router).or_insert(watch);
    }

    /// Records that a list arrives at a router on this connection. If it is not the silent watch,
    /// the router no longer depends on that.
    pub(super) fn watch_answered(&mut self, router: usize, connection: u32) {
        let is_silent = |watch: &SilentWatch| watch.connection == connection;
        if !self.silent.get(&router).is_some_and(is_silent) {
            self.silent.remove(&router);
        }
    }

    /// Applies the announcements that count as known by now.
    pub(super) fn apply_pending(&mut self, now: Time) {
        while let Some(first) = self.pending.first_entry()
            && first.key().0 <= now
        {
            let deemed_known_at = first.key().0;
            let pending = first.remove();
            self.deem_known(deemed_known_at, &pending);
        }
    }

    fn deem_known(&mut self, deemed_known_at: Time, pending: &PendingAnnouncement) {
        let announcement = pending.announcement;
        // Of a later announcement the router may know more.
        if self.latest.get(&pending.server) != Some(&announcement) {
            return;
        }
        let routers: BTreeSet<usize> = self.knowledge.keys().map(|pair| pair.0).collect();
        let is_addressed = |router: &usize| pending.router.is_none_or(|only| only == *router);
        for router in routers.into_iter().filter(is_addressed) {
            let known = self.known(router, pending.server, announcement.born_ms);
            if !announcement.is_up {
                known.unavailable_since.get_or_insert(deemed_known_at);
            }
        }
    }

    /// Applies a list, or changes to one, that a router knows from now on. A line that cannot be
    /// parsed is ignored.
    pub(super) fn apply_list(&mut self, now: Time, router: usize, line: &str, is_snapshot: bool) {
        let Ok(list) = serde_json::from_str::<Value>(line) else {
            return;
        };
        let mut listed = BTreeSet::new();
        for host in list["hosts"].as_array().into_iter().flatten() {
            let name = host["host"].as_str();
            let Some(&server) = name.and_then(|name| self.server_numbers.get(name)) else {
                continue;
            };
            listed.insert(server);
            self.apply_host(now, router, server, host);
        }
        if is_snapshot || list["whole"].as_bool().unwrap_or(false) {
            self.remove_unlisted(now, router, &listed);
        }
    }

    fn apply_host(&mut self, now: Time, router: usize, server: usize, host: &Value) {
        let born_ms = host["born_ms"].as_u64().unwrap_or(0);
        let known = self.known(router, server, born_ms);
        known.born_ms = born_ms;
        if host["health"] == "up" {
            known.unavailable_since = None;
        } else {
            known.unavailable_since.get_or_insert(now);
        }
    }

    fn remove_unlisted(&mut self, now: Time, router: usize, listed: &BTreeSet<usize>) {
        for (&(other, server), known) in &mut self.knowledge {
            if other == router && !listed.contains(&server) {
                known.unavailable_since.get_or_insert(now);
            }
        }
    }

    fn known(&mut self, router: usize, server: usize, born_ms: u64) -> &mut ServerKnowledge {
        let initial = ServerKnowledge {
            unavailable_since: None,
            born_ms,
        };
        self.knowledge.entry((router, server)).or_insert(initial)
    }

    /// Tells whether a router knows of this start of a server.
    pub(super) fn knows_start(&self, router: usize, server: usize, born_ms: u64) -> bool {
        self.knowledge
            .get(&(router, server))
            .is_some_and(|known| known.born_ms == born_ms)
    }

    /// Returns the violation if a router may not write the first byte of a command to a server now.
    pub(super) fn check_send(&self, now: Time, pair: Pair, drain_grace: Time) -> Option<String> {
        let known = self.knowledge.get(&pair);
        let listed = known.and_then(|known| known.unavailable_since);
        let disabled = self.disabled_since.get(&pair).copied();
        let since = listed.into_iter().chain(disabled).min()?;
        (now > since + drain_grace).then(|| {
            format!(
                "router {} sends to server {} {} us after it learned of the drain or removal",
                pair.0,
                pair.1,
                now - since
            )
        })
    }
}
