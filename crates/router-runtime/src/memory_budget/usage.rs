//! Counts the memory of long values. The counters can be released from any thread, as held chunks
//! are [`bytes::Bytes`].

use std::fmt::Debug;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, PoisonError, RwLock, RwLockReadGuard};
use tokio::sync::Notify;

/// Long values in memory, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// Of writes, in the memory of their own budget.
    pub writes: usize,
    /// Of writes, in memory that is borrowed from the other budget.
    pub borrowed: usize,
    /// Of answers that are held.
    pub answers: usize,
}

impl MemoryUsage {
    fn total(&self) -> usize {
        self.writes + self.borrowed + self.answers
    }
}

/// The other processes of a router, which share its memory limit with this one.
pub trait PeerMemory: Debug + Send + Sync {
    /// Tells the other processes what this one uses.
    fn publish(&self, usage: MemoryUsage);

    /// What the other processes use; `None` if it is not known.
    fn usage(&self) -> Option<MemoryUsage>;
}

/// Which budget a value belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BudgetKind {
    Writes,
    Answers,
}

/// Whose memory a value uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lending {
    /// That of its own budget.
    Own,
    /// Memory that is lent to it.
    Borrowed,
}

/// What all budgets of a process use.
#[derive(Debug, Default)]
pub(super) struct TotalUsage {
    writes: AtomicUsize,
    borrowed: AtomicUsize,
    answers: AtomicUsize,
    /// Notified when memory is released.
    freed: Notify,
    /// Whether anything has begun to wait since the last notification. Memory is released in many
    /// small pieces at a time.
    is_awaited: AtomicBool,
    /// The other processes while there are any.
    peers: RwLock<Option<Arc<dyn PeerMemory>>>,
}

impl TotalUsage {
    /// What this process uses.
    fn usage(&self) -> MemoryUsage {
        MemoryUsage {
            writes: self.writes.load(Relaxed),
            borrowed: self.borrowed.load(Relaxed),
            answers: self.answers.load(Relaxed),
        }
    }

    /// Shares the memory with the other processes, or with none from now on.
    pub fn set_peers(&self, peers: Option<Arc<dyn PeerMemory>>) {
        *self.peers.write().unwrap_or_else(PoisonError::into_inner) = peers;
        self.publish();
        self.notify_freed();
    }

    /// Completes when memory has been released.
    pub async fn freed(&self) {
        let freed = self.freed.notified();
        self.is_awaited.store(true, Relaxed);
        freed.await;
    }

    /// Notifies all that wait for memory.
    pub fn notify_freed(&self) {
        if self.is_awaited.swap(false, Relaxed) {
            self.freed.notify_waiters();
        }
    }

    fn peers(&self) -> RwLockReadGuard<'_, Option<Arc<dyn PeerMemory>>> {
        self.peers.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the other processes use. While that is not known, they are taken to use half of each
    /// budget of `limit_bytes`.
    fn peer_usage(&self, limit_bytes: usize) -> MemoryUsage {
        let unknown = MemoryUsage {
            writes: limit_bytes / 2,
            borrowed: 0,
            answers: limit_bytes / 2,
        };
        match &*self.peers() {
            Some(peers) => peers.usage().unwrap_or(unknown),
            None => MemoryUsage::default(),
        }
    }

    fn publish(&self) {
        if let Some(peers) = &*self.peers() {
            peers.publish(self.usage());
        }
    }

    fn counter(&self, kind: BudgetKind, lending: Lending) -> &AtomicUsize {
        match (kind, lending) {
            (_, Lending::Borrowed) => &self.borrowed,
            (BudgetKind::Writes, Lending::Own) => &self.writes,
            (BudgetKind::Answers, Lending::Own) => &self.answers,
        }
    }
}

/// What one budget uses.
#[derive(Debug)]
pub(super) struct BudgetUsage {
    kind: BudgetKind,
    limit_bytes: usize,
    /// What the budgets of the process use.
    pub total: Arc<TotalUsage>,
}

/// What the processes of a router use of one budget, and of all.
#[derive(Clone, Copy, Debug)]
pub(super) struct SharedUsage {
    /// Of this budget, without what is borrowed, in bytes.
    pub own_bytes: usize,
    /// Of all budgets, in bytes.
    pub total_bytes: usize,
}

impl BudgetUsage {
    /// A budget of which nothing is used.
    pub fn new(kind: BudgetKind, limit_bytes: usize, total: Arc<TotalUsage>) -> BudgetUsage {
        BudgetUsage {
            kind,
            limit_bytes,
            total,
        }
    }

    /// The memory of this process in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        let usage = self.total.usage();
        match self.kind {
            BudgetKind::Writes => usage.writes + usage.borrowed,
            BudgetKind::Answers => usage.answers,
        }
    }

    /// The memory of this process in use, without what is borrowed, in bytes.
    pub fn own_bytes(&self) -> usize {
        self.counter(Lending::Own).load(Relaxed)
    }

    /// What all processes of the router use.
    pub fn shared(&self) -> SharedUsage {
        let (own, peers) = (self.total.usage(), self.total.peer_usage(self.limit_bytes));
        SharedUsage {
            own_bytes: match self.kind {
                BudgetKind::Writes => own.writes + peers.writes,
                BudgetKind::Answers => own.answers + peers.answers,
            },
            total_bytes: own.total() + peers.total(),
        }
    }

    fn counter(&self, lending: Lending) -> &AtomicUsize {
        self.total.counter(self.kind, lending)
    }
}

/// Bytes that count as used until this is dropped.
#[derive(Debug)]
pub(super) struct Charge {
    usage: Arc<BudgetUsage>,
    lending: Lending,
    bytes: usize,
}

impl Charge {
    /// A charge of no bytes.
    pub fn none(usage: Arc<BudgetUsage>, lending: Lending) -> Charge {
        Charge {
            usage,
            lending,
            bytes: 0,
        }
    }

    /// The number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Counts more bytes.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.usage.counter(self.lending).fetch_add(bytes, Relaxed);
        self.usage.total.publish();
    }

    /// Splits a charge of this many bytes off, or of all if there are fewer.
    pub fn split_off(&mut self, bytes: usize) -> Charge {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Charge {
            usage: self.usage.clone(),
            lending: self.lending,
            bytes,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.bytes == 0 {
            return;
        }
        self.usage
            .counter(self.lending)
            .fetch_sub(self.bytes, Relaxed);
        self.usage.total.publish();
        self.usage.total.notify_freed();
    }
}
