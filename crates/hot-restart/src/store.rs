//! Storage of the admin overrides on disk, so that a disabled server stays disabled after the
//! process is killed.
//!
//! Each router has one file. It is written to a temporary file that is renamed over the old one, so
//! that a reader finds either the old or the new content.

use crate::message::{HandoverState, Message, MessageError, VERSION};
use crate::router_file_name;
use std::fs::File;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum number of bytes read from a state file. The overrides of the largest fleet take far
/// less.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Why a state file cannot be read or written.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Reading or writing failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The content is invalid, or too long to write.
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
    /// The state file of this router in `directory`. Creates nothing yet.
    pub fn new(directory: &Path, router: &str) -> StateStore {
        StateStore {
            path: directory.join(router_file_name(router, "state")),
            router: router.to_string(),
        }
    }

    /// Path of the state file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Loads the state that the last process saved; `None` if there is no file.
    ///
    /// # Errors When the file cannot be read, is truncated or corrupted, or is from another version
    /// or router.
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
    /// When the file cannot be written. The old content is kept.
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

    /// Syncs the saved file and its directory entry to disk.
    ///
    /// # Errors
    /// When the sync fails. The state has to be saved again then.
    pub fn sync(&self) -> Result<(), StoreError> {
        File::open(&self.path)?.sync_all()?;
        if let Some(directory) = self.path.parent() {
            File::open(directory)?.sync_all()?;
        }
        Ok(())
    }
}
