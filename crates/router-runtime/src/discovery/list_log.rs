//! Log lines about updates of the endpoint list.

use crate::endpoint_list::{Health, ListedEndpoint};
use load_balancer::EndpointUpdate;
use std::collections::{BTreeMap, HashSet};
use std::fmt::Write;

/// Maximum number of changed entries that one line names.
const MAX_NAMED_ENTRIES: usize = 8;

/// Where an update comes from.
pub(super) fn source(update: EndpointUpdate) -> &'static str {
    match update {
        EndpointUpdate::SnapshotOfOtherServer => "whole list of another discovery server",
        EndpointUpdate::Snapshot => "whole list",
        _ => "change",
    }
}

/// Describes the entries that an update changes; empty if it changes none.
pub(super) fn describe_changes(
    known: &BTreeMap<String, ListedEndpoint>,
    entries: &[ListedEndpoint],
    is_whole_list: bool,
) -> String {
    let mut changes = ChangeList::default();
    for entry in entries.iter().filter(|entry| is_change(known, entry)) {
        changes.add(entry, entry.health);
    }
    if is_whole_list {
        let listed: HashSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        for (_, entry) in known
            .iter()
            .filter(|(name, _)| !listed.contains(name.as_str()))
        {
            changes.add(entry, Health::Removed);
        }
    }
    changes.finish()
}

fn is_change(known: &BTreeMap<String, ListedEndpoint>, entry: &ListedEndpoint) -> bool {
    known.get(&entry.name).is_none_or(|known| {
        known.health != entry.health
            || known.addr != entry.addr
            || known.started_ms != entry.started_ms
    })
}

#[derive(Default)]
struct ChangeList {
    text: String,
    count: usize,
}

impl ChangeList {
    fn add(&mut self, entry: &ListedEndpoint, health: Health) {
        self.count += 1;
        if self.count > MAX_NAMED_ENTRIES {
            return;
        }
        let ListedEndpoint {
            name,
            addr,
            started_ms,
            ..
        } = entry;
        // Writing to a `String` cannot fail.
        let _ = write!(
            self.text,
            ", {name} {addr} {health:?} started {started_ms} ms"
        );
    }

    fn finish(mut self) -> String {
        if self.count > MAX_NAMED_ENTRIES {
            let further = self.count - MAX_NAMED_ENTRIES;
            let _ = write!(self.text, ", {further} more");
        }
        self.text
    }
}
