//! A stand-in for discovery: the list over HTTP/1.1, whole or as a watch on its changes, with the troubles that a plan
//! wants of it.

use crate::executor::{Executor, Node, Time};
use crate::fault_plan::{MILLI, SECOND};
use crate::fleet::Server;
use crate::invariant_checker::InvariantChecker;
use crate::network::{Network, SimulatedStream};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::Notify;

/// What the list says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Takes work.
    Up,
    /// Finishes its work.
    Draining,
    /// Is gone.
    Removed,
}

struct Entry {
    health: Health,
    born_ms: u64,
    changed: u64,
}

/// See the module.
pub struct Discovery {
    executor: Executor,
    network: Network,
    checker: Rc<RefCell<InvariantChecker>>,
    node: Node,
    /// Where it listens.
    pub address: SocketAddr,
    servers: Vec<Rc<Server>>,
    zones: Vec<usize>,
    entries: RefCell<Vec<Entry>>,
    seq: Cell<u64>,
    changed: Notify,
    ended: Notify,
    silenced: Notify,
    /// Calls fail until then.
    pub down_until: Cell<Time>,
    /// The whole list as each router's machine last had it.
    last_lists: RefCell<BTreeMap<Node, String>>,
}

/// One server as the list has it.
pub(crate) fn entry(
    name: &str,
    address: SocketAddr,
    zone: usize,
    health: &str,
    born_ms: u64,
) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{address}","site":"z{zone}","class":"m","block":1,"health":"{health}","share":1.0,"born_ms":{born_ms}}}"#
    )
}

/// A list, or the changes to one, without its line's end.
pub(crate) fn list(seq: u64, whole: bool, entries: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        entries.join(",")
    )
}

/// While nothing changes, an empty line comes as often.
const BEAT: Time = 2 * SECOND;
/// How long a call takes it.
const CALL: Time = 3 * MILLI;

impl Discovery {
    /// Starts with all servers up since long ago.
    pub fn start(
        executor: Executor,
        network: Network,
        checker: Rc<RefCell<InvariantChecker>>,
        node: Node,
        address: SocketAddr,
        servers: &[Rc<Server>],
        zones: Vec<usize>,
    ) -> Rc<Discovery> {
        let entries = servers
            .iter()
            .map(|_| Entry {
                health: Health::Up,
                born_ms: 0,
                changed: 1,
            })
            .collect();
        let discovery = Rc::new(Discovery {
            executor,
            network,
            checker,
            node,
            address,
            servers: servers.to_vec(),
            zones,
            entries: RefCell::new(entries),
            seq: Cell::new(1),
            changed: Notify::new(),
            ended: Notify::new(),
            silenced: Notify::new(),
            down_until: Cell::new(0),
            last_lists: RefCell::default(),
        });
        let listener = discovery.network.listen(node, address);
        let accepting = discovery.clone();
        discovery.executor.spawn(node, async move {
            while let Ok(stream) = listener.accept().await {
                let work = accepting.clone().serve(stream);
                accepting.executor.spawn(accepting.node, work);
            }
        });
        discovery
    }

    /// The list has this to say of a server from now on.
    pub fn set(&self, server: usize, health: Health, born_ms: u64) {
        let seq = self.seq.get() + 1;
        let mut entries = self.entries.borrow_mut();
        let entry = &mut entries[server];
        if (entry.health, entry.born_ms) == (health, born_ms) {
            return;
        }
        *entry = Entry {
            health,
            born_ms,
            changed: seq,
        };
        self.seq.set(seq);
        drop(entries);
        self.checker.borrow_mut().endpoint_announced(
            self.executor.now(),
            server,
            health == Health::Up,
            born_ms,
        );
        self.changed.notify_waiters();
    }

    /// Ends all watches.
    pub fn end_watches(&self) {
        self.ended.notify_waiters();
    }

    /// All watches that are open say nothing any more.
    pub fn silence_watches(&self) {
        self.silenced.notify_waiters();
    }

    /// The list as a router's machine last had it, else as it is now.
    pub fn known_to(&self, router: Node) -> String {
        self.last_lists
            .borrow()
            .get(&router)
            .cloned()
            .unwrap_or_else(|| self.line(0))
    }

    /// What changed after a version, or the whole list for version 0.
    fn line(&self, after: u64) -> String {
        let hosts: Vec<String> = self
            .entries
            .borrow()
            .iter()
            .zip(&self.servers)
            .zip(&self.zones)
            .filter(|((entry, _), _)| {
                if after == 0 {
                    entry.health != Health::Removed
                } else {
                    entry.changed > after
                }
            })
            .map(|((entry_of, server), zone)| {
                let health = match entry_of.health {
                    Health::Up => "up",
                    Health::Draining => "draining",
                    Health::Removed => "removed",
                };
                entry(
                    &server.name,
                    server.address,
                    *zone,
                    health,
                    entry_of.born_ms,
                )
            })
            .collect();
        list(self.seq.get(), after == 0, &hosts)
    }

    async fn serve(self: Rc<Self>, mut stream: SimulatedStream) {
        let (mut head, mut buffer) = (Vec::new(), [0; 1024]);
        while !head.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read(&mut buffer).await {
                Ok(count @ 1..) if head.len() < 8_192 => head.extend_from_slice(&buffer[..count]),
                _ => return,
            }
        }
        self.executor.sleep(CALL).await;
        if self.executor.now() < self.down_until.get() {
            let busy = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
            let _ = stream.write_all(busy).await;
            return;
        }
        let text = String::from_utf8_lossy(&head).into_owned();
        let after = text.split("after=").nth(1).map_or("", |buffered_bytes| {
            buffered_bytes.split([' ', '&']).next().unwrap_or("")
        });
        let after: u64 = after.parse().unwrap_or(0);
        let after = if after > self.seq.get() { 0 } else { after };
        let router = stream.peer();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let (ended, silenced) = (self.ended.notified(), self.silenced.notified());
        tokio::pin!(ended, silenced);
        if stream.write_all(head).await.is_err() {
            return;
        }
        let mut sent_version = after;
        let mut is_first = true;
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let line = if is_first && after == 0 {
                self.line(0)
            } else if self.seq.get() > sent_version || is_first {
                self.line(sent_version.max(1))
            } else {
                String::new()
            };
            is_first = false;
            if !line.is_empty() {
                sent_version = self.seq.get();
                self.last_lists.borrow_mut().insert(router, self.line(0));
            }
            let chunk = format!("{:x}\r\n{line}\n\r\n", line.len() + 1);
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            let beat = self.executor.sleep(BEAT);
            tokio::select! {
                biased;
                () = &mut changed => {}
                () = beat => {}
                () = &mut ended => return stream.reset(),
                () = &mut silenced => {
                    // It reads on, so that it hears of the end.
                    while !matches!(stream.read(&mut buffer).await, Ok(0) | Err(_)) {}
                    return;
                }
                // It has left, or sends what it should not.
                _ = stream.read(&mut buffer) => return,
            }
        }
    }
}
