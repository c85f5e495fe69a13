//! Fake discovery on a loopback socket: serves watches on the endpoint list, with the faults of a
//! plan.

use crate::loopback::listen;
use crate::recorder::{Recorder, server_name, zone_of};
use crate::server::Server;
use router_simulation::discovery::{
    ListEntry, RESPONSE_HEAD, chunk, known_version, list_json, read_head,
};
use router_simulation::network::{CloseKind, Side};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Interval at which a watch without changes gets an empty line.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// State of a server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Up,
    Draining,
    Removed,
}

/// Endpoint list entry of a server.
#[derive(Clone, Copy)]
struct Entry {
    health: Health,
    address: SocketAddr,
    /// Start time of the server, as Unix time in milliseconds.
    born_ms: u64,
    /// List version of the last change.
    changed_in_version: u64,
}

/// Fake discovery; see the module documentation.
pub(crate) struct Discovery {
    pub address: SocketAddr,
    /// Another address at which it serves the same lists.
    pub second_address: SocketAddr,
    /// By server number.
    entries: RefCell<BTreeMap<usize, Entry>>,
    version: Cell<u64>,
    recorder: Rc<Recorder>,
    /// The list has changed.
    changed: Notify,
    /// Open watches are to be closed.
    reset: Notify,
    /// Open watches are to stay open and send nothing more.
    silenced: Notify,
    /// Number of next calls that are not answered.
    pub calls_to_hang: Cell<usize>,
    /// Number of next calls that fail.
    pub calls_to_fail: Cell<usize>,
    /// Time until which all calls fail.
    pub down_until: Cell<Option<Instant>>,
}

impl Discovery {
    /// Starts discovery with all servers up, with a start time of zero.
    pub async fn start(servers: &[Rc<Server>], recorder: Rc<Recorder>) -> Rc<Discovery> {
        let (listener, address) = listen().await;
        let (second_listener, second_address) = listen().await;
        let entry = |server: &Rc<Server>| Entry {
            health: Health::Up,
            address: server.address.get(),
            born_ms: 0,
            changed_in_version: 1,
        };
        let entries = servers.iter().map(entry).enumerate().collect();
        let discovery = Rc::new(Discovery {
            address,
            second_address,
            entries: RefCell::new(entries),
            version: Cell::new(1),
            recorder,
            changed: Notify::new(),
            reset: Notify::new(),
            silenced: Notify::new(),
            calls_to_hang: Cell::new(0),
            calls_to_fail: Cell::new(0),
            down_until: Cell::new(None),
        });
        for listener in [listener, second_listener] {
            let accepting = discovery.clone();
            spawn_local(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    let serving = accepting.clone();
                    spawn_local(async move { serving.serve(stream).await });
                }
            });
        }
        discovery
    }

    /// Changes the list entry of a server.
    pub fn set_endpoint(&self, server: usize, address: SocketAddr, health: Health, born_ms: u64) {
        let version = self.version.get() + 1;
        self.version.set(version);
        let entry = Entry {
            health,
            address,
            born_ms,
            changed_in_version: version,
        };
        self.entries.borrow_mut().insert(server, entry);
        self.changed.notify_waiters();
        self.schedule_announcement(server, health == Health::Up, born_ms);
    }

    /// Records a change of the list, which the router can learn of only once discovery is up.
    fn schedule_announcement(&self, server: usize, is_up: bool, born_ms: u64) {
        let recorder = self.recorder.clone();
        match self.down_until.get().filter(|at| Instant::now() < *at) {
            None => recorder.record_announcement(server, is_up, born_ms),
            Some(at) => {
                // A detached task; it is dropped with the run's `LocalSet` at the latest.
                spawn_local(async move {
                    tokio::time::sleep_until(at.into()).await;
                    recorder.record_announcement(server, is_up, born_ms);
                });
            }
        }
    }

    pub fn born_ms(&self, server: usize) -> u64 {
        let entries = self.entries.borrow();
        entries.get(&server).map_or(0, |entry| entry.born_ms)
    }

    pub fn end_watches(&self) {
        self.reset.notify_waiters();
    }

    pub fn silence_watches(&self) {
        self.silenced.notify_waiters();
    }

    /// Returns a snapshot of the list.
    pub fn snapshot(&self) -> String {
        self.list(true, |entry| entry.health != Health::Removed)
    }

    fn list(&self, is_snapshot: bool, contains: impl Fn(&Entry) -> bool) -> String {
        let entries = self.entries.borrow();
        let hosts: Vec<String> = entries
            .iter()
            .filter(|(_, entry)| contains(entry))
            .map(|(&number, entry)| {
                let listed = ListEntry {
                    name: &server_name(number),
                    address: entry.address,
                    zone: zone_of(number),
                    health: match entry.health {
                        Health::Up => "up",
                        Health::Draining => "draining",
                        Health::Removed => "removed",
                    },
                    born_ms: entry.born_ms,
                };
                listed.json()
            })
            .collect();
        list_json(self.version.get(), is_snapshot, &hosts)
    }

    async fn serve(&self, mut stream: TcpStream) {
        let connection = self.recorder.discovery_accepted();
        if let Some(head) = read_head(&mut stream).await {
            self.answer(&mut stream, connection, &head).await;
        }
        self.recorder
            .record_close(connection, Side::Acceptor, CloseKind::Fin);
    }

    async fn answer(&self, stream: &mut TcpStream, connection: u32, head: &str) {
        if decrement(&self.calls_to_hang) {
            return read_to_end(stream).await;
        }
        let is_down = self.down_until.get().is_some_and(|at| Instant::now() < at);
        if is_down || decrement(&self.calls_to_fail) {
            let busy = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(busy).await;
            return;
        }
        let known = known_version(head);
        let is_known_version = known <= self.version.get();
        self.watch(stream, connection, if is_known_version { known } else { 0 })
            .await;
    }

    async fn watch(&self, stream: &mut TcpStream, connection: u32, known: u64) {
        let (reset, silenced) = (self.reset.notified(), self.silenced.notified());
        tokio::pin!(reset, silenced);
        reset.as_mut().enable();
        silenced.as_mut().enable();
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
                self.list(false, |entry| entry.changed_in_version > sent)
            } else {
                String::new()
            };
            is_first = false;
            sent = self.version.get();
            if !line.is_empty() {
                let text = format!("{line}\n");
                self.recorder
                    .record_bytes(connection, Side::Acceptor, text.as_bytes());
            }
            if stream.write_all(chunk(&line).as_bytes()).await.is_err() {
                return;
            }
            tokio::select! {
                biased;
                () = &mut silenced => {
                    self.recorder.watch_silenced(connection);
                    return read_to_end(stream).await;
                }
                () = &mut reset => return,
                () = &mut changed => {}
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
                _ = stream.read(&mut buffer) => return,
            }
        }
    }
}

/// Decrements a count; false if it is zero.
fn decrement(count: &Cell<usize>) -> bool {
    let is_positive = count.get() > 0;
    count.set(count.get().saturating_sub(1));
    is_positive
}

async fn read_to_end(stream: &mut TcpStream) {
    let mut buffer = [0; 1024];
    while matches!(stream.read(&mut buffer).await, Ok(1..)) {}
}
