//! Tells the processes of one router what memory each of them uses, as the platform counts them
//! together.
//!
//! Each process has a file in the common directory, which it keeps locked (`flock(2)`). The system
//! releases the lock when the process ends, in whatever way, so a file that can be locked belongs to
//! no process and is removed. Processes that know nothing of these files are not counted.

use crate::router_file_name;
use rustix::fs::{FlockOperation, flock};
use std::fs::{File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// The counters of a process.
const COUNTER_COUNT: usize = 3;
/// Length of a file in bytes: each counter as a little-endian `u64`.
const FILE_BYTES: usize = COUNTER_COUNT * size_of::<u64>();

/// Memory counters, in bytes. The caller decides what each of them counts.
pub type MemoryCounters = [u64; COUNTER_COUNT];

/// The counters of this process, and those of the other processes of its router.
#[derive(Debug)]
pub struct MemoryLedger {
    directory: PathBuf,
    /// What the names of the files of this router begin with.
    file_prefix: String,
    own_name: String,
    own_file: File,
    peers: Mutex<Vec<File>>,
}

impl MemoryLedger {
    /// Opens the ledger of this router in `directory`, with counters of 0 for this process.
    ///
    /// # Errors
    /// When the file cannot be created, written or locked.
    pub fn open(directory: &Path, router: &str) -> io::Result<MemoryLedger> {
        let file_prefix = format!("{}-", router_file_name(router, "memory"));
        // Process ids are used again, and processes in different PID namespaces have the same ones.
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_ns = started.unwrap_or_default().as_nanos();
        let own_name = format!("{file_prefix}{}-{started_ns:x}", std::process::id());
        // Under another name until it is locked, so that no other process takes it for a file that
        // was left behind.
        let temporary_path = directory.join(format!("new-{own_name}"));
        let own_file = OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .open(&temporary_path)?;
        flock(&own_file, FlockOperation::NonBlockingLockExclusive)?;
        let ledger = MemoryLedger {
            directory: directory.to_path_buf(),
            file_prefix,
            own_name,
            own_file,
            peers: Mutex::default(),
        };
        ledger.publish(MemoryCounters::default())?;
        std::fs::rename(&temporary_path, ledger.own_path())?;
        Ok(ledger)
    }

    fn own_path(&self) -> PathBuf {
        self.directory.join(&self.own_name)
    }

    /// Tells the other processes the counters of this one.
    ///
    /// # Errors
    /// When they cannot be written; the others then read the earlier ones.
    pub fn publish(&self, counters: MemoryCounters) -> io::Result<()> {
        let mut bytes = Vec::with_capacity(FILE_BYTES);
        for counter in counters {
            bytes.extend_from_slice(&counter.to_le_bytes());
        }
        self.own_file.write_all_at(&bytes, 0)
    }

    /// Looks for the processes that run now, and returns their number without this one. Removes the
    /// files of processes that have ended.
    pub fn refresh(&self) -> usize {
        let mut files = Vec::new();
        for entry in std::fs::read_dir(&self.directory).into_iter().flatten() {
            let Ok(entry) = entry else { continue };
            let name = entry.file_name();
            let is_peer = name
                .to_str()
                .is_some_and(|name| name.starts_with(&self.file_prefix) && name != self.own_name);
            if is_peer && let Some(file) = open_if_locked(&entry.path()) {
                files.push(file);
            }
        }
        let count = files.len();
        *self.lock_peers() = files;
        count
    }

    /// The sums of the counters of the processes that the last refresh found.
    pub fn peer_counters(&self) -> MemoryCounters {
        let mut sums = MemoryCounters::default();
        for file in self.lock_peers().iter() {
            let mut bytes = [0; FILE_BYTES];
            if file.read_exact_at(&mut bytes, 0).is_err() {
                continue;
            }
            let (counters, _) = bytes.as_chunks();
            for (sum, counter) in sums.iter_mut().zip(counters) {
                *sum = sum.saturating_add(u64::from_le_bytes(*counter));
            }
        }
        sums
    }

    fn lock_peers(&self) -> std::sync::MutexGuard<'_, Vec<File>> {
        // The list is replaced as a whole, so it is usable after a panic.
        self.peers
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

impl Drop for MemoryLedger {
    fn drop(&mut self) {
        // A file that is left behind is removed by another process.
        let _ = std::fs::remove_file(self.own_path());
    }
}

/// Opens the file of a process; removes it and returns `None` if the process has ended.
fn open_if_locked(path: &Path) -> Option<File> {
    let file = File::open(path).ok()?;
    match flock(&file, FlockOperation::NonBlockingLockExclusive) {
        Ok(()) => {
            let _ = std::fs::remove_file(path);
            None
        }
        Err(_) => Some(file),
    }
}
