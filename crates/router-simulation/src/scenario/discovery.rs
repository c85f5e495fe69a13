//! The scripted discovery of a scenario, which sends each announcement once, at its exact time.

use crate::discovery::{RESPONSE_HEAD, chunk, list_json, read_to_end};
use crate::executor::{Executor, Node, Time};
use crate::fault_plan::SECOND;
use crate::network::{Network, SimulatedStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The interval of heartbeats on a watch without announcements, in microseconds.
const HEARTBEAT_INTERVAL: Time = SECOND;
/// The longest interval at which a watch checks for events, in microseconds. It also checks at the
/// exact times of the announcements.
const POLL_INTERVAL: Time = 500;

/// A list entry that has not been sent yet.
struct Announcement {
    at: Time,
    entry: String,
}

/// A scripted discovery service. Its tasks run until the end of the scenario.
pub(super) struct ScriptedDiscovery {
    announcements: RefCell<Vec<Announcement>>,
    /// The time at which the watches that are open then stop sending.
    pub(super) silent_at: Cell<Time>,
    /// The time at which the watches that are open then are reset.
    pub(super) reset_at: Cell<Time>,
}

impl ScriptedDiscovery {
    pub(super) fn new() -> ScriptedDiscovery {
        ScriptedDiscovery {
            announcements: RefCell::default(),
            silent_at: Cell::new(Time::MAX),
            reset_at: Cell::new(Time::MAX),
        }
    }

    /// Schedules a list entry to be sent at this time.
    pub(super) fn announce(&self, at: Time, entry: String) {
        self.announcements
            .borrow_mut()
            .push(Announcement { at, entry });
    }

    pub(super) fn start(
        self: &Rc<Self>,
        executor: &Executor,
        network: &Network,
        node: Node,
        address: SocketAddr,
    ) {
        let listener = network.listen(node, address);
        let discovery = self.clone();
        let spawner = executor.clone();
        executor.spawn(node, async move {
            while let Ok(stream) = listener.accept().await {
                let watch = discovery.clone().watch(spawner.clone(), stream);
                spawner.spawn(node, watch);
            }
        });
    }

    /// Serves a watch until it ends or stops sending.
    async fn watch(self: Rc<Self>, executor: Executor, mut stream: SimulatedStream) {
        let opened = executor.now();
        let mut buffer = [0; 1_024];
        // The content of the request head is irrelevant.
        let _ = stream.read(&mut buffer).await;
        let first = format!("{RESPONSE_HEAD}{}", chunk(""));
        let mut written = stream.write_all(first.as_bytes()).await;
        let mut version = 1;
        let mut heartbeat_at = executor.now() + HEARTBEAT_INTERVAL;
        while written.is_ok() {
            if (opened..executor.now()).contains(&self.silent_at.get()) {
                return read_to_end(&mut stream).await;
            }
            if (opened..executor.now()).contains(&self.reset_at.get()) {
                return stream.reset();
            }
            let due = self.take_due_entries(executor.now());
            if !due.is_empty() {
                version += 1;
                let line = list_json(version, false, &due);
                written = stream.write_all(chunk(&line).as_bytes()).await;
            } else if executor.now() >= heartbeat_at {
                heartbeat_at = executor.now() + HEARTBEAT_INTERVAL;
                written = stream.write_all(chunk("").as_bytes()).await;
            }
            executor.sleep_until(self.next_poll(executor.now())).await;
        }
    }

    fn take_due_entries(&self, now: Time) -> Vec<String> {
        let mut announcements = self.announcements.borrow_mut();
        let due = announcements.extract_if(.., |announcement| announcement.at <= now);
        due.map(|announcement| announcement.entry).collect()
    }

    fn next_poll(&self, now: Time) -> Time {
        let announcements = self.announcements.borrow();
        let next = announcements.iter().map(|announcement| announcement.at);
        let next = next.min().unwrap_or(Time::MAX);
        next.min(now + POLL_INTERVAL).max(now + 1)
    }
}
