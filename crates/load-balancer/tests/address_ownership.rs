//! Several processes that are listed at one address: nothing is sent to a process that drains, is disabled or
//! has left the list, under whatever name, and no entry is lost for good.

mod common;

use common::*;
use load_balancer::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// After this time without a process at an address, an entry that is still listed there is used again.
const ADDRESS_HOLD: Micros = Micros::from_millis(10_000);

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number as u16))
}

/// An entry of server `number` at the first address. `started` is a time on its machine's clock.
fn entry(number: usize, state: EndpointState, started: u64) -> Endpoint {
    Endpoint {
        state,
        address: Some(address(0)),
        started: WallTime::from_unix_millis(started),
        age: ProcessAge::Unknown,
        ..Endpoint::ready(name(number))
    }
}

/// A server at an address of its own.
fn bystander() -> Endpoint {
    Endpoint {
        address: Some(address(1)),
        ..Endpoint::ready(name(9))
    }
}

fn told(rig: &mut TestRouter, endpoints: Vec<Endpoint>) {
    rig.update_endpoints(EndpointUpdate::Delta, endpoints);
}

fn accepts(rig: &TestRouter, number: usize) -> bool {
    rig.router.availability(&name(number)) == Some(Availability::Accepting)
}

/// Lets the time for which an address is held pass.
fn wait_for_release(rig: &mut TestRouter) {
    rig.now = rig.now.plus(ADDRESS_HOLD).plus(ms(1));
    rig.event(Event::Timer { token: 3 });
}

use EndpointState::{Draining, Ready, Removed};

/// Guards against work for a draining process under the name of another one, which is told anew with another
/// start, as after a step of a clock, or is listed by another discovery server.
#[test]
fn a_draining_process_keeps_its_address_where_the_order_is_in_doubt() {
    let stale_entries: [(EndpointUpdate, Vec<Endpoint>); 2] = [
        (EndpointUpdate::Delta, vec![entry(1, Ready, 900)]),
        (
            EndpointUpdate::SnapshotOfOtherServer,
            vec![entry(3, Ready, 900), entry(2, Draining, 5), bystander()],
        ),
    ];
    for (update, stale) in stale_entries {
        let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 800), bystander()]);
        told(&mut rig, vec![entry(2, Ready, 5)]);
        assert!(accepts(&rig, 2) && !accepts(&rig, 1));
        told(&mut rig, vec![entry(2, Draining, 5)]);
        rig.update_endpoints(update, stale);
        for number in 1..4 {
            assert!(!accepts(&rig, number), "{update:?}: server {number}");
        }
    }
}

/// Guards against a process at an address that is used under two names after a start, or under that of one
/// that drains there.
#[test]
fn of_entries_that_are_told_at_once_the_stricter_state_holds() {
    let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 0), entry(2, Ready, 5)]);
    assert!(accepts(&rig, 2) && !accepts(&rig, 1), "the colder one");
    told(&mut rig, vec![entry(2, Draining, 5)]);
    assert!(!accepts(&rig, 2) && !accepts(&rig, 1));
    let both = vec![entry(1, Ready, 0), entry(2, Draining, 5)];
    let rig = TestRouter::new(settings(), both);
    assert!(!accepts(&rig, 2) && !accepts(&rig, 1));
}

/// Guards against work for a process that has left the list, under the name of one that is still listed at its
/// address, and against an entry that is lost though discovery has not removed it.
#[test]
fn an_entry_returns_through_slow_start_after_the_process_at_its_address_has_left() {
    let start = || {
        let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 0), bystander()]);
        told(&mut rig, vec![entry(2, Ready, 5)]);
        rig
    };
    let leave = |rig: &mut TestRouter, update| {
        let left = match update {
            EndpointUpdate::Delta => vec![entry(2, Removed, 5)],
            _ => vec![entry(1, Ready, 0), bystander()],
        };
        rig.update_endpoints(update, left)
    };
    for update in [EndpointUpdate::Delta, EndpointUpdate::Snapshot] {
        let mut rig = start();
        let actions = leave(&mut rig, update);
        assert!(!accepts(&rig, 1), "{update:?}");
        assert!(actions.iter().any(|action| matches!(action,
            Action::SetTimer { after, token: 3 } if *after == ADDRESS_HOLD)));
        wait_for_release(&mut rig);
        assert!(accepts(&rig, 1), "{update:?}: lost for good");
        let share = (0..200).filter(|&key| rig.served_by(key) == Some(name(1)));
        assert!(share.count() < 40, "{update:?}: not in slow start");
    }
}

/// Guards against work for a process that came up, and left the list, while discovery told nothing.
#[test]
fn the_removal_of_an_unknown_process_keeps_its_address_from_others() {
    let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 900), bystander()]);
    told(&mut rig, vec![entry(2, Removed, 5)]);
    assert!(!accepts(&rig, 1));
    wait_for_release(&mut rig);
    assert!(accepts(&rig, 1));
}

/// Guards against work for a process that has left the list in the update in which another one took its place in
/// the table of servers.
#[test]
fn a_process_that_leaves_as_another_one_is_listed_keeps_its_address() {
    let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 0), bystander()]);
    told(&mut rig, vec![entry(2, Ready, 5)]);
    rig.event(Event::ServerDisabled { server: name(2) });
    rig.now = rig.now.plus(ms(60_000));
    let elsewhere = Endpoint {
        address: Some(address(2)),
        ..Endpoint::ready(name(3))
    };
    told(&mut rig, vec![elsewhere, entry(2, Removed, 5)]);
    assert!(accepts(&rig, 3) && !accepts(&rig, 1));
}

/// Guards against a process that is not used, since the entry of one that has gone has left its address.
#[test]
fn the_removal_of_a_superseded_entry_changes_nothing() {
    let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 900), bystander()]);
    told(&mut rig, vec![entry(2, Ready, 5)]);
    told(&mut rig, vec![entry(1, Draining, 900)]);
    assert!(accepts(&rig, 2), "the old entry drains");
    told(&mut rig, vec![entry(1, Removed, 900)]);
    assert!(accepts(&rig, 2), "the old entry has left");
}

/// Guards against work for a disabled process under another name.
#[test]
fn nothing_is_sent_to_the_address_of_a_disabled_process() {
    let mut rig = TestRouter::new(settings(), vec![entry(1, Ready, 0), entry(2, Ready, 5)]);
    for (number, other) in [(1, 2), (2, 1)] {
        let server = name(number);
        rig.event(Event::ServerDisabled {
            server: server.clone(),
        });
        assert!(!accepts(&rig, number) && !accepts(&rig, other));
        rig.event(Event::ServerEnabled {
            server,
            at: rig.now,
            source: OverrideSource::Operator,
        });
        assert!(accepts(&rig, 2));
    }
}

/// One step of a fleet whose processes come up at each other's addresses.
#[derive(Clone, Debug)]
enum Step {
    /// A process starts at an address without one, under a new name or the last one there.
    Start { is_new_name: bool, started: u64 },
    /// The process at the address ends; its entry stays listed.
    Kill,
    /// The process at the address drains.
    Drain,
    /// The process at the address leaves the list. It ends within [`ADDRESS_HOLD`].
    Leave,
    /// The entries of processes that have ended leave the list.
    RemoveStale,
    /// An entry is told with another start, as after a step of discovery's clock.
    ChangeStart { entry: usize, started: u64 },
    /// An operator disables or enables the process at the address.
    Override { is_disabled: bool },
    /// The whole list is told, by the same or another discovery server.
    WholeList { is_other_server: bool },
    /// Discovery tells nothing from now on, or returns and tells what has changed meanwhile.
    Outage { is_down: bool },
    /// Time passes.
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = (usize, Step)> {
    let started = || 0..4_000_u64;
    let kind = prop_oneof![
        4 => (any::<bool>(), started()).prop_map(|(is_new_name, started)| Step::Start { is_new_name, started }),
        3 => Just(Step::Kill),
        2 => Just(Step::Drain),
        2 => Just(Step::Leave),
        2 => Just(Step::RemoveStale),
        2 => (0..8_usize, started()).prop_map(|(entry, started)| Step::ChangeStart { entry, started }),
        1 => any::<bool>().prop_map(|is_disabled| Step::Override { is_disabled }),
        1 => any::<bool>().prop_map(|is_other_server| Step::WholeList { is_other_server }),
        2 => any::<bool>().prop_map(|is_down| Step::Outage { is_down }),
        2 => (0..9_000_u64).prop_map(|millis| Step::Wait { millis }),
    ];
    (0..2_usize, kind)
}

/// The process that runs at an address.
#[derive(Clone, Copy, Debug)]
struct Process {
    server: usize,
    /// Whether it drains or has left the list.
    is_leaving: bool,
    /// Whether that was told.
    is_told: bool,
    /// When it ends, once it has left the list.
    ends_at: Option<Micros>,
}

/// A fleet of processes at two addresses, the list that discovery tells of them, and a router.
struct Fleet {
    rig: TestRouter,
    processes: [Option<Process>; 2],
    last_server: [usize; 2],
    listed: BTreeMap<usize, Endpoint>,
    disabled: Vec<usize>,
    next_server: usize,
    /// What has changed since discovery went down; `None` while it is up.
    untold: Option<BTreeMap<usize, Endpoint>>,
    release_at: Option<Micros>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            rig: TestRouter::new(settings(), vec![]),
            processes: [None; 2],
            last_server: [1, 2],
            listed: BTreeMap::new(),
            disabled: Vec::new(),
            next_server: 10,
            untold: None,
            release_at: None,
        }
    }

    fn tell(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        if let Some(untold) = &mut self.untold {
            let number = |endpoint: &Endpoint| (0..).find(|n| name(*n) == endpoint.server);
            let changes = endpoints
                .into_iter()
                .map(|e| (number(&e).expect("named"), e));
            untold.extend(changes);
            return;
        }
        for process in self.processes.iter_mut().flatten() {
            process.is_told = process.is_leaving;
        }
        let actions = self.rig.update_endpoints(update, endpoints);
        self.take_timer(&actions);
    }

    fn take_timer(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::SetTimer { after, token: 3 } = action {
                self.release_at = Some(self.rig.now.plus(*after));
            }
        }
    }

    /// Lists an entry and tells of it.
    fn announce(&mut self, at: usize, server: usize, state: EndpointState, started: u64) {
        let endpoint = Endpoint {
            address: Some(address(at)),
            ..entry(server, state, started)
        };
        if state == Removed {
            self.listed.remove(&server);
        } else {
            self.listed.insert(server, endpoint.clone());
        }
        self.tell(EndpointUpdate::Delta, vec![endpoint]);
    }

    fn started_of(&self, server: usize) -> u64 {
        let listed = self.listed.get(&server);
        listed.map_or(0, |endpoint| endpoint.started.unix_micros() / 1_000)
    }

    fn is_running(&self, server: usize) -> bool {
        let mut running = self.processes.iter().flatten();
        running.any(|process| process.server == server)
    }

    fn apply(&mut self, at: usize, step: &Step) {
        match *step {
            Step::Start {
                is_new_name,
                started,
            } => self.start(at, is_new_name, started),
            Step::Kill => self.processes[at] = None,
            Step::Drain => self.leave(at, Draining),
            Step::Leave => self.leave(at, Removed),
            Step::RemoveStale => self.remove_stale(),
            Step::ChangeStart { entry, started } => self.change_start(entry, started),
            Step::Override { is_disabled } => self.set_override(at, is_disabled),
            Step::Outage { is_down: true } => {
                self.untold.get_or_insert_default();
            }
            Step::Outage { is_down: false } => {
                let changes = self.untold.take().unwrap_or_default();
                self.tell(EndpointUpdate::Delta, changes.into_values().collect());
            }
            Step::WholeList { .. } if self.untold.is_some() => {}
            Step::WholeList { is_other_server } => {
                let update = match is_other_server {
                    true => EndpointUpdate::SnapshotOfOtherServer,
                    false => EndpointUpdate::Snapshot,
                };
                self.tell(update, self.listed.values().cloned().collect());
            }
            Step::Wait { millis } => self.wait(ms(millis)),
        }
    }

    fn start(&mut self, at: usize, is_new_name: bool, started: u64) {
        if self.processes[at].is_some() {
            return;
        }
        if is_new_name {
            self.next_server += 1;
            self.last_server[at] = self.next_server;
        }
        let server = self.last_server[at];
        self.processes[at] = Some(Process {
            server,
            is_leaving: false,
            is_told: false,
            ends_at: None,
        });
        // Another process of the same name has another start.
        let started = started * 1_000 + self.rig.now.0 % 1_000 + 1;
        self.announce(at, server, Ready, started);
    }

    fn leave(&mut self, at: usize, state: EndpointState) {
        let Some(process) = &mut self.processes[at] else {
            return;
        };
        if process.ends_at.is_some() {
            return;
        }
        process.is_leaving = true;
        if state == Removed {
            process.ends_at = Some(self.rig.now.plus(ms(9_000)));
        }
        let server = process.server;
        self.announce(at, server, state, self.started_of(server));
    }

    fn remove_stale(&mut self) {
        let stale: Vec<Endpoint> = self
            .listed
            .iter()
            .filter(|(server, _)| !self.is_running(**server))
            .map(|(_, endpoint)| Endpoint {
                state: Removed,
                ..endpoint.clone()
            })
            .collect();
        self.listed
            .retain(|_, endpoint| !stale.iter().any(|gone| gone.server == endpoint.server));
        self.tell(EndpointUpdate::Delta, stale);
    }

    fn change_start(&mut self, entry: usize, started: u64) {
        let count = self.listed.len().max(1);
        let Some(endpoint) = self.listed.values_mut().nth(entry % count) else {
            return;
        };
        endpoint.started = WallTime::from_unix_millis(started);
        let endpoint = endpoint.clone();
        self.tell(EndpointUpdate::Delta, vec![endpoint]);
    }

    fn set_override(&mut self, at: usize, is_disabled: bool) {
        let server = self.last_server[at];
        // The program rejects a command for a server that it was not told of.
        if matches!(
            self.rig.router.availability(&name(server)),
            None | Some(Availability::Removed)
        ) {
            return;
        }
        self.disabled.retain(|disabled| *disabled != server);
        if is_disabled {
            self.disabled.push(server);
        }
        let (server, now) = (name(server), self.rig.now);
        let actions = self.rig.event(match is_disabled {
            true => Event::ServerDisabled { server },
            false => Event::ServerEnabled {
                server,
                at: now,
                source: OverrideSource::Operator,
            },
        });
        self.take_timer(&actions);
    }

    fn wait(&mut self, duration: Micros) {
        self.rig.now = self.rig.now.plus(duration);
        let now = self.rig.now;
        for process in &mut self.processes {
            let has_ended = |process: &mut Process| process.ends_at.is_some_and(|at| at <= now);
            process.take_if(has_ended);
        }
        if self.release_at.is_some_and(|at| at <= now) {
            self.release_at = None;
            let actions = self.rig.event(Event::Timer { token: 3 });
            self.take_timer(&actions);
        }
    }

    /// The entries that the router uses at the address of a process that takes no new requests.
    fn wrongly_used(&self) -> Vec<&Endpoint> {
        let is_closed = |at: usize| {
            self.processes[at]
                .is_some_and(|process| process.is_told || self.disabled.contains(&process.server))
        };
        let used = self
            .listed
            .iter()
            .filter(|(server, _)| accepts(&self.rig, **server));
        used.map(|(_, endpoint)| endpoint)
            .filter(|endpoint| {
                (0..2).any(|at| endpoint.address == Some(address(at)) && is_closed(at))
            })
            .collect()
    }

    /// The addresses that are not used although a ready and enabled entry is alone there.
    fn unused(&self) -> Vec<SocketAddr> {
        (0..2)
            .map(address)
            .filter(|at| {
                let mut listed = self.listed.iter().filter(|(_, e)| e.address == Some(*at));
                let (alone, further) = (listed.next(), listed.next());
                further.is_none()
                    && alone.is_some_and(|(server, endpoint)| {
                        endpoint.state == Ready
                            && !self.disabled.contains(server)
                            && !accepts(&self.rig, *server)
                    })
            })
            .collect()
    }
}

/// Guards against work for processes that take none, in any order of starts, drains, removals, overrides and
/// lists, with start times in no order, and against entries that are lost for good.
#[test]
fn no_order_of_events_leads_to_a_process_that_takes_no_requests() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config {
        cases: 2_000,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..90);
    let result = TestRunner::new_with_rng(config, rng).run(&steps, |steps| {
        let mut fleet = Fleet::new();
        for (at, step) in &steps {
            fleet.apply(*at, step);
            let wrong = fleet.wrongly_used();
            prop_assert!(wrong.is_empty(), "after {:?}: {:?}", step, wrong);
        }
        fleet.apply(0, &Step::Outage { is_down: false });
        for _ in 0..3 {
            fleet.wait(ADDRESS_HOLD);
        }
        prop_assert!(fleet.unused().is_empty(), "unused: {:?}", fleet.unused());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
