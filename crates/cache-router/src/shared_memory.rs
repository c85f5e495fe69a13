//! Shares the memory for long values among the processes of one router while several run.
//!
//! The platform counts them together. Each process publishes what it uses in the memory ledger, and
//! counts what the others use. A predecessor or successor without a ledger is known by its channel
//! alone.

use crate::Runtime;
use hot_restart::memory_ledger::{MemoryCounters, MemoryLedger};
use router_runtime::memory_budget::{MemoryUsage, PeerMemory};
use std::cell::Cell;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::sleep;

/// How often the ledger is read while other processes run, to notice their end.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);

/// The memory that this process shares with others of its router.
pub struct SharedMemory {
    runtime: Rc<Runtime>,
    peers: Arc<LedgerPeers>,
    /// The number of processes that this one has a channel to.
    channel_count: Cell<usize>,
    /// Notified when a channel is opened or closed.
    changed: Notify,
}

/// The other processes, as the ledger tells them.
#[derive(Debug)]
struct LedgerPeers {
    /// `None` if the ledger cannot be used.
    ledger: Option<MemoryLedger>,
    /// The number of other processes in the ledger.
    count: AtomicUsize,
}

/// A process that this one has a channel to, until this is dropped.
pub struct PeerGuard(Rc<SharedMemory>);

impl SharedMemory {
    /// Opens the ledger in `directory`. What other processes use counts from now on.
    pub fn open(directory: &Path, router: &str, runtime: Rc<Runtime>) -> Rc<SharedMemory> {
        let ledger = MemoryLedger::open(directory, router)
            .inspect_err(|error| {
                eprintln!("asterport: memory is halved beside another process: ledger: {error}");
            })
            .ok();
        let shared = Rc::new(SharedMemory {
            runtime,
            peers: Arc::new(LedgerPeers {
                ledger,
                count: AtomicUsize::new(0),
            }),
            channel_count: Cell::new(0),
            changed: Notify::new(),
        });
        shared.refresh();
        shared
    }

    /// Counts a process that this one has a channel to.
    pub fn add_peer(self: &Rc<Self>) -> PeerGuard {
        self.channel_count.set(self.channel_count.get() + 1);
        self.refresh();
        self.changed.notify_one();
        PeerGuard(self.clone())
    }

    /// Follows the ledger while there are other processes, until this process ends.
    pub async fn follow_peers(self: Rc<Self>) {
        loop {
            if self.refresh() {
                sleep(REFRESH_INTERVAL).await;
            } else {
                self.changed.notified().await;
            }
        }
    }

    /// Looks for other processes, and returns whether there are any.
    fn refresh(&self) -> bool {
        let ledger = self.peers.ledger.as_ref();
        let ledger_count = ledger.map_or(0, MemoryLedger::refresh);
        self.peers.count.store(ledger_count, Relaxed);
        let has_peers = ledger_count > 0 || self.channel_count.get() > 0;
        let peers = self.peers.clone();
        self.runtime
            .share_memory(has_peers.then_some(peers as Arc<dyn PeerMemory>));
        has_peers
    }
}

impl Drop for PeerGuard {
    fn drop(&mut self) {
        let shared = &self.0;
        shared.channel_count.set(shared.channel_count.get() - 1);
        shared.refresh();
        shared.changed.notify_one();
    }
}

impl PeerMemory for LedgerPeers {
    fn publish(&self, usage: MemoryUsage) {
        let counters = [usage.writes, usage.borrowed, usage.answers].map(|bytes| bytes as u64);
        if let Some(ledger) = &self.ledger {
            // If it fails, the next call tells the current values.
            let _ = ledger.publish(counters);
        }
    }

    fn usage(&self) -> Option<MemoryUsage> {
        let ledger = self.ledger.as_ref()?;
        if self.count.load(Relaxed) == 0 {
            return None;
        }
        let [writes, borrowed, answers]: MemoryCounters = ledger.peer_counters();
        Some(MemoryUsage {
            writes: writes as usize,
            borrowed: borrowed as usize,
            answers: answers as usize,
        })
    }
}
