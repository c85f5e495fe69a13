//! A model of discovery. It serves the endpoint list over HTTP/1.1 as a watch, which starts with a
//! snapshot or a delta and goes on with each change, and has the faults that a run's plan injects.

mod call_queue;
mod list;

pub use call_queue::CallQueue;
pub use list::{ListEntry, RESPONSE_HEAD, chunk, list_json};

use crate::executor::{Node, Time};
use crate::fault_plan::{MILLI, SECOND};
use crate::fleet::Server;
use crate::invariant_checker::Role;
use crate::network::SimulatedStream;
use crate::simulation::Simulation;
use call_queue::Admission;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// The interval of heartbeats on a watch without changes, in microseconds.
const HEARTBEAT_INTERVAL: Time = 2 * SECOND;
/// The time that discovery takes to answer a call, in microseconds.
const RESPONSE_TIME: Time = 3 * MILLI;
/// The longest request head that discovery reads, in bytes.
const MAX_HEAD_BYTES: usize = 8_192;

/// The health of a server on the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The server accepts requests.
    Up,
    /// The server finishes its requests and accepts no new ones.
    Draining,
    /// The server has been removed from the list.
    Removed,
}

impl Health {
    fn name(self) -> &'static str {
        match self {
            Health::Up => "up",
            Health::Draining => "draining",
            Health::Removed => "removed",
        }
    }
}

/// The entry of a server on the endpoint list.
struct Entry {
    health: Health,
    born_ms: u64,
    /// The version of the list in which the entry last changed.
    last_changed_version: u64,
}

/// The simulated discovery process. It runs until the end of the run.
pub struct Discovery {
    simulation: Simulation,
    node: Node,
    /// The address on which discovery listens.
    pub address: SocketAddr,
    servers: Vec<Rc<Server>>,
    entries: RefCell<Vec<Entry>>,
    version: Cell<u64>,
    changed: Notify,
    watch_reset: Notify,
    silenced: Notify,
    /// How many of the next calls are left unanswered.
    pub calls_to_hang: Cell<usize>,
    /// The time until which all calls are answered with 503.
    pub down_until: Cell<Time>,
    /// The queue in which calls wait, once it is set.
    queue: RefCell<Option<Rc<CallQueue>>>,
    /// When the queue last answered each router's machine.
    answered_at: RefCell<BTreeMap<Node, Time>>,
    /// The whole list as it was last sent to each router's machine.
    last_lists: RefCell<BTreeMap<Node, String>>,
}

impl Discovery {
    /// Starts discovery with all servers up since long ago. Its tasks run until the end of the run.
    pub fn start(
        simulation: Simulation,
        address: SocketAddr,
        servers: &[Rc<Server>],
    ) -> Rc<Discovery> {
        let entry = |_| Entry {
            health: Health::Up,
            born_ms: 0,
            last_changed_version: 1,
        };
        let discovery = Rc::new(Discovery {
            node: simulation.add_machine(Role::Discovery, 0, usize::MAX),
            simulation,
            address,
            servers: servers.to_vec(),
            entries: RefCell::new(servers.iter().map(entry).collect()),
            version: Cell::new(1),
            changed: Notify::new(),
            watch_reset: Notify::new(),
            silenced: Notify::new(),
            calls_to_hang: Cell::new(0),
            down_until: Cell::new(0),
            queue: RefCell::default(),
            answered_at: RefCell::default(),
            last_lists: RefCell::default(),
        });
        let node = discovery.node;
        let listener = discovery.simulation.network.listen(node, address);
        let executor = discovery.simulation.executor.clone();
        let accepting = discovery.clone();
        discovery.simulation.executor.spawn(node, async move {
            while let Ok(stream) = listener.accept().await {
                executor.spawn(node, accepting.clone().serve(stream));
            }
        });
        discovery
    }

    /// Changes the entry of a server on the list. `born_ms` is the start of its process in Unix
    /// milliseconds.
    pub fn set_endpoint(&self, server: usize, health: Health, born_ms: u64) {
        let version = self.version.get() + 1;
        let mut entries = self.entries.borrow_mut();
        let entry = &mut entries[server];
        if (entry.health, entry.born_ms) == (health, born_ms) {
            return;
        }
        *entry = Entry {
            health,
            born_ms,
            last_changed_version: version,
        };
        self.version.set(version);
        drop(entries);
        let now = self.simulation.executor.now();
        let mut checker = self.simulation.checker.borrow_mut();
        checker.endpoint_announced(now, server, health == Health::Up, born_ms);
        drop(checker);
        self.changed.notify_waiters();
    }

    /// Resets the connections of all open watches.
    pub fn reset_watches(&self) {
        self.watch_reset.notify_waiters();
    }

    /// Makes all open watches stop sending, without closing their connections.
    pub fn silence_watches(&self) {
        self.silenced.notify_waiters();
    }

    /// The whole list as it was last sent to a router's machine, or the current list if none was
    /// sent.
    pub fn last_list_sent_to(&self, router: Node) -> String {
        let last = self.last_lists.borrow().get(&router).cloned();
        last.unwrap_or_else(|| self.snapshot())
    }

    /// The whole list as JSON.
    fn snapshot(&self) -> String {
        self.list(true, |entry| entry.health != Health::Removed)
    }

    /// The changes to the list after a version, as JSON.
    fn changes_after(&self, version: u64) -> String {
        self.list(false, |entry| entry.last_changed_version > version)
    }

    fn list(&self, is_snapshot: bool, contains: impl Fn(&Entry) -> bool) -> String {
        let entries = self.entries.borrow();
        let listed = entries.iter().zip(&self.servers);
        let hosts: Vec<String> = listed
            .filter(|(entry, _)| contains(entry))
            .map(|(entry, server)| {
                let listed = ListEntry {
                    name: &server.name,
                    address: server.address,
                    zone: server.zone(),
                    health: entry.health.name(),
                    born_ms: entry.born_ms,
                };
                listed.json()
            })
            .collect();
        list_json(self.version.get(), is_snapshot, &hosts)
    }

    /// Answers one call.
    async fn serve(self: Rc<Self>, mut stream: SimulatedStream) {
        let Some(head) = read_head(&mut stream).await else {
            return;
        };
        let hanging = self.calls_to_hang.get();
        if hanging > 0 {
            self.calls_to_hang.set(hanging - 1);
            return read_to_end(&mut stream).await;
        }
        let executor = &self.simulation.executor;
        executor.sleep(RESPONSE_TIME).await;
        if executor.now() < self.down_until.get() || self.wait_in_queue(&stream).await {
            let busy = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            // An error means that the router has closed the connection.
            let _ = stream.write_all(busy).await;
            return;
        }
        let known = Some(known_version(&head)).filter(|&known| known <= self.version.get());
        self.watch(stream, known.unwrap_or(0)).await;
    }

    /// Makes calls wait in a queue from now on.
    pub fn set_call_queue(&self, queue: Rc<CallQueue>) {
        *self.queue.borrow_mut() = Some(queue);
    }

    /// When the queue last answered each router's machine.
    pub fn answered_at(&self) -> BTreeMap<Node, Time> {
        self.answered_at.borrow().clone()
    }

    /// Waits until a call has passed the queue, if there is one. Returns whether the call is
    /// rejected.
    async fn wait_in_queue(&self, stream: &SimulatedStream) -> bool {
        let Some(queue) = self.queue.borrow().clone() else {
            return false;
        };
        let executor = &self.simulation.executor;
        match queue.admit(executor.now()) {
            Admission::Answered(at) => {
                executor.sleep_until(at).await;
                let mut answered_at = self.answered_at.borrow_mut();
                answered_at.insert(stream.peer(), executor.now());
                false
            }
            Admission::Rejected(at) => {
                executor.sleep_until(at).await;
                true
            }
        }
    }

    fn record_silence(&self, stream: &SimulatedStream) {
        let now = self.simulation.executor.now();
        let mut checker = self.simulation.checker.borrow_mut();
        checker.watch_silenced(now, stream.id());
    }

    /// Serves a watch: sends a snapshot if `known` is 0 and otherwise the changes after that
    /// version, and then each further change and heartbeats.
    async fn watch(&self, mut stream: SimulatedStream, known: u64) {
        let router = stream.peer();
        let watch_reset = self.watch_reset.notified();
        let silenced = self.silenced.notified();
        tokio::pin!(watch_reset, silenced);
        if stream.write_all(RESPONSE_HEAD.as_bytes()).await.is_err() {
            return;
        }
        let mut sent = known;
        let mut is_first = true;
        let mut buffer = [0; 1024];
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let line = if is_first && known == 0 {
                self.snapshot()
            } else if self.version.get() > sent || is_first {
                self.changes_after(sent.max(1))
            } else {
                String::new()
            };
            is_first = false;
            if !line.is_empty() {
                sent = self.version.get();
                let mut last_lists = self.last_lists.borrow_mut();
                last_lists.insert(router, self.snapshot());
            }
            if stream.write_all(chunk(&line).as_bytes()).await.is_err() {
                return;
            }
            let heartbeat = self.simulation.executor.sleep(HEARTBEAT_INTERVAL);
            tokio::select! {
                biased;
                () = &mut changed => {}
                () = heartbeat => {}
                () = &mut watch_reset => return stream.reset(),
                () = &mut silenced => {
                    self.record_silence(&stream);
                    return read_to_end(&mut stream).await;
                }
                // The router has closed the watch or sent unexpected bytes.
                _ = stream.read(&mut buffer) => return,
            }
        }
    }
}

/// Reads the head of an HTTP request; `None` if the connection ends first or the head is too long.
pub async fn read_head(stream: &mut (impl AsyncRead + Unpin)) -> Option<String> {
    let mut head = Vec::new();
    let mut buffer = [0; 1024];
    while !head.windows(4).any(|end| end == b"\r\n\r\n") {
        match stream.read(&mut buffer).await {
            Ok(count @ 1..) if head.len() < MAX_HEAD_BYTES => {
                head.extend_from_slice(&buffer[..count]);
            }
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&head).into_owned())
}

/// The version of the list that a call gives as known; 0 if it gives none.
pub fn known_version(head: &str) -> u64 {
    let after = head.split("after=").nth(1);
    let digits = after.and_then(|rest| rest.split([' ', '&']).next());
    digits.and_then(|digits| digits.parse().ok()).unwrap_or(0)
}

/// Reads and discards bytes until the connection ends.
pub(crate) async fn read_to_end(stream: &mut SimulatedStream) {
    let mut buffer = [0; 1024];
    while !matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {}
}
