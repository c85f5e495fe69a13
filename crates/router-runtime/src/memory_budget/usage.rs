//! Counts the memory of long values. The counters can be released from any thread, as held chunks
//! are [`bytes::Bytes`].

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use tokio::sync::Notify;

/// What all budgets of a process use.
#[derive(Debug, Default)]
pub(super) struct TotalUsage {
    used_bytes: AtomicUsize,
    /// Notified when memory is released.
    pub freed: Notify,
}

impl TotalUsage {
    /// The memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Relaxed)
    }
}

/// What one budget uses.
#[derive(Debug)]
pub(super) struct BudgetUsage {
    used_bytes: AtomicUsize,
    /// The part of `used_bytes` that is borrowed from the other budget.
    borrowed_bytes: AtomicUsize,
    /// What the budgets of the process use.
    pub total: Arc<TotalUsage>,
}

impl BudgetUsage {
    /// A budget of which nothing is used.
    pub fn new(total: Arc<TotalUsage>) -> BudgetUsage {
        BudgetUsage {
            used_bytes: AtomicUsize::new(0),
            borrowed_bytes: AtomicUsize::new(0),
            total,
        }
    }

    /// The memory in use, in bytes.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(Relaxed)
    }

    /// The memory in use that is not borrowed, in bytes.
    pub fn own_bytes(&self) -> usize {
        self.used_bytes() - self.borrowed_bytes.load(Relaxed)
    }
}

/// Bytes that count as used until this is dropped.
#[derive(Debug)]
pub(super) struct Charge {
    usage: Arc<BudgetUsage>,
    bytes: usize,
    is_borrowed: bool,
}

impl Charge {
    /// A charge of no bytes.
    pub fn none(usage: Arc<BudgetUsage>) -> Charge {
        Charge {
            usage,
            bytes: 0,
            is_borrowed: false,
        }
    }

    /// Counts more bytes.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.usage.used_bytes.fetch_add(bytes, Relaxed);
        self.usage.total.used_bytes.fetch_add(bytes, Relaxed);
        if self.is_borrowed {
            self.usage.borrowed_bytes.fetch_add(bytes, Relaxed);
        }
    }

    /// Counts these bytes, and those added later, as borrowed from the other budget.
    pub fn borrow(&mut self) {
        if !self.is_borrowed {
            self.is_borrowed = true;
            self.usage.borrowed_bytes.fetch_add(self.bytes, Relaxed);
        }
    }

    /// How many of the bytes are borrowed.
    pub fn borrowed_bytes(&self) -> usize {
        if self.is_borrowed { self.bytes } else { 0 }
    }

    /// Splits a charge of this many bytes off, or of all if there are fewer.
    pub fn split_off(&mut self, bytes: usize) -> Charge {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Charge {
            usage: self.usage.clone(),
            bytes,
            is_borrowed: self.is_borrowed,
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.is_borrowed {
            self.usage.borrowed_bytes.fetch_sub(self.bytes, Relaxed);
        }
        self.usage.used_bytes.fetch_sub(self.bytes, Relaxed);
        self.usage.total.used_bytes.fetch_sub(self.bytes, Relaxed);
        self.usage.total.freed.notify_waiters();
    }
}
