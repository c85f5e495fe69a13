//! Rule 3: nothing new is sent to a server that drains or is gone, once the router has learned of it.
//!
//! A router learns of it when the line of the endpoint list is whole at its machine, when an operator disables the
//! server there, or at the latest [`DEEMED_KNOWN_AFTER`] after discovery has announced it. What a silent watch misses counts as
//! known so long after the watch fell silent, or at once if it is announced later than that. Where an agent pushes lists, a
//! router learns of what is announced at once, from its first moment on, unless its watch is silent.

use crate::executor::Time;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What discovery announces counts as known this much later, whether or not it arrived: the longest that PROTOCOL lets
/// a router do without its list.
const DEEMED_KNOWN_AFTER: Time = 6_000_000;

/// What a router knows of a server.
#[derive(Clone, Copy, Debug)]
struct ServerKnowledge {
    /// Since when the router counts it as draining or gone.
    unavailable_since: Option<Time>,
    /// The start of its process, Unix time in milliseconds.
    born_ms: u64,
}

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Announcement {
    pub(super) is_up: bool,
    pub(super) born_ms: u64,
}

/// An announcement that has yet to count as known.
#[derive(Clone, Copy)]
struct PendingAnnouncement {
    /// The router that it will count as known to; none: all.
    router: Option<usize>,
    server: usize,
    announcement: Announcement,
}

/// A watch that has fallen silent.
struct SilentWatch {
    connection: u32,
    since: Time,
}

/// A router and a server, by their numbers.
type Pair = (usize, usize);

/// What routers know of servers.
pub(super) struct Drains {
    server_numbers: BTreeMap<String, usize>,
    knowledge: BTreeMap<Pair, ServerKnowledge>,
    /// Since when operators have a server disabled. It holds whatever the list says.
    disabled_since: BTreeMap<Pair, Time>,
    /// By when they count as known, and their numbers.
    pending: BTreeMap<(Time, u64), PendingAnnouncement>,
    last_pending: u64,
    /// By router, until a list comes on another watch.
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
            last_pending: 0,
            silent: BTreeMap::new(),
            latest: BTreeMap::new(),
        }
    }

    /// A router starts with this list.
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
        self.last_pending += 1;
        self.pending
            .insert((deemed_known_at, self.last_pending), pending);
    }

    /// The watch of a router on this connection brings nothing from now on.
    pub(super) fn watch_silenced(&mut self, now: Time, router: usize, connection: u32) {
        let watch = SilentWatch {
            connection,
            since: now,
        };
        self.silent.entry(router).or_insert(watch);
    }

    /// A list has come to a router on this connection: what a silent watch misses from now on is no matter.
    pub(super) fn watch_answered(&mut self, router: usize, connection: u32) {
        let is_silent = |watch: &SilentWatch| watch.connection == connection;
        if !self.silent.get(&router).is_some_and(is_silent) {
            self.silent.remove(&router);
        }
    }

    /// Makes known what counts as known by now.
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
        let is_latest = self.latest.get(&pending.server) == Some(&announcement);
        let routers: BTreeSet<usize> = self.knowledge.keys().map(|pair| pair.0).collect();
        let is_concerned = |router: &usize| pending.router.is_none_or(|only| only == *router);
        for router in routers.into_iter().filter(is_concerned) {
            let known = self.known(router, pending.server, announcement.born_ms);
            // Knowledge from a later announcement stands.
            let is_news = known.born_ms <= announcement.born_ms && is_latest;
            if is_news && !announcement.is_up {
                known.unavailable_since.get_or_insert(deemed_known_at);
            }
        }
    }

    /// A list, or changes to one, that a router knows from now on. What cannot be read tells nothing.
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
        let first = ServerKnowledge {
            unavailable_since: None,
            born_ms,
        };
        self.knowledge.entry((router, server)).or_insert(first)
    }

    /// Whether a router knows of this start of a server.
    pub(super) fn knows_start(&self, router: usize, server: usize, born_ms: u64) -> bool {
        self.knowledge
            .get(&(router, server))
            .is_some_and(|known| known.born_ms == born_ms)
    }

    /// What is wrong with a command whose first byte a router writes to a server now.
    pub(super) fn check_send(&self, now: Time, pair: Pair, drain_grace: Time) -> Option<String> {
        let known = self.knowledge.get(&pair);
        let listed = known.and_then(|known| known.unavailable_since);
        let disabled = self.disabled_since.get(&pair).copied();
        let since = listed.into_iter().chain(disabled).min()?;
        (now > since + drain_grace).then(|| {
            format!(
                "router {} sends to server {} {} us after it was told that it drains or is gone",
                pair.0,
                pair.1,
                now - since
            )
        })
    }
}
