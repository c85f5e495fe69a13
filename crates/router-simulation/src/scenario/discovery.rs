//! Scripted discovery of a scenario: each announcement is sent once, at its exact time.

use crate::discovery::{RESPONSE_HEAD, chunk, list_json, read_to_end};
use crate::executor::{Executor, Node, Time};
use crate::fault_plan::SECOND;
use crate::network::{Network, SimulatedStream};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// While nothing is announced, a heartbeat is sent this often, in microseconds.
const HEARTBEAT_INTERVAL: Time = SECOND;
/// How often a watch looks for announcements, beside their exact times; in microseconds.
const POLL_INTERVAL: Time = 500;

/// A line of the list that is yet to be sent.
struct Announcement {
    at: Time,
    entry: String,
}

/// Scripted discovery. Its tasks end with the scenario.
pub(super) struct ScriptedDiscovery {
    announcements: RefCell<Vec<Announcement>>,
    /// Watches opened before this time send nothing from then on.
    pub(super) silent_at: Cell<Time>,
    /// Watches opened before this time are reset then.
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

    /// Sends an entry of the list at this time.
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

    /// Sends announcements until the watch ends or falls silent.
    async fn watch(self: Rc<Self>, executor: Executor, mut stream: SimulatedStream) {
        let opened = executor.now();
        let mut buffer = [0; 1_024];
        // The call's head; what it says does not matter.
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
