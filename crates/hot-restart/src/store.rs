//! The operators' overrides on disk, so that a ban outlives a process that is killed.
//!
//! One file a router, written whole to a temporary file and renamed over the old one: a reader finds the old content
//! or the new.

use crate::message::{HandoverState, Message, MessageError, VERSION};
use crate::router_file_name;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Bytes that are read of a state file at most; the overrides of the largest fleet take far less.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Why a state file is not read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The file cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content is not usable.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// The state file of one router.
#[derive(Clone, Debug)]
pub struct StateStore {
    path: PathBuf,
    router: String,
}

impl StateStore {
    /// In `directory`, for the router of this name. Nothing is created yet.
    pub fn new(directory: &Path, router: &str) -> StateStore {
        StateStore {
            path: directory.join(router_file_name(router, "state")),
            router: router.to_string(),
        }
    }

    /// Path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads what the last process saved; `None` if there is no file.
    ///
    /// # Errors
    /// When the file cannot be read, is truncated, corrupted, of another version or another router.
    pub fn load(&self) -> Result<Option<HandoverState>, StoreError> {
        let file = match File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let mut bytes = Vec::new();
        file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)?;
        let state = Message::decode(&bytes)?.into_state(&self.router)?;
        Ok(Some(state))
    }

    /// Saves a state for the next process.
    ///
    /// # Errors
    /// When the file cannot be written; the old content stays.
    pub fn save(&self, state: HandoverState) -> Result<(), StoreError> {
        let message = Message::State {
            version: VERSION,
            name: self.router.clone(),
            state,
        };
        let bytes = message.encode()?;
        let temporary_path = self.path.with_extension("state.new");
        std::fs::write(&temporary_path, bytes)?;
        std::fs::rename(&temporary_path, &self.path)?;
        Ok(())
    }

    /// Waits until the disk has what was saved last, and the name that it has.
    ///
    /// # Errors
    /// When the disk does not take it: it is to be saved again.
    pub fn sync(&self) -> Result<(), StoreError> {
        File::open(&self.path)?.sync_all()?;
        if let Some(directory) = self.path.parent() {
            File::open(directory)?.sync_all()?;
        }
        Ok(())
    }
}
