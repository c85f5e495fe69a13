//! The operators' word on disk, so that a ban outlives a process that was killed.
//!
//! One file a router, written whole to a temporary file and renamed over the old one: a reader finds the old or the new.

use crate::message::{HandoverState, Message, MessageError, VERSION};
use std::fmt;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// Words of the largest fleet take far less.
const MOST: u64 = 1024 * 1024;

/// Why a file is not used.
#[derive(Debug)]
pub enum StoreError {
    /// It cannot be read or written.
    Io(io::Error),
    /// What it holds is not used.
    Form(MessageError),
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Io(error) => write!(f, "{error}"),
            StoreError::Form(error) => write!(f, "{error}"),
        }
    }
}

/// The file of one router.
#[derive(Clone, Debug)]
pub struct StateStore {
    path: PathBuf,
    router: String,
}

/// A file's name from a router's: what is no letter, digit or dash is written as a number, so that no name leads
/// elsewhere and no two names share a file.
pub(crate) fn file_name(router: &str, kind: &str) -> String {
    let mut name = String::from("asterport-");
    for byte in router.bytes().take(60) {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' => name.push(char::from(byte)),
            _ => name.push_str(&format!("_{byte:02x}")),
        }
    }
    format!("{name}.{kind}")
}

impl StateStore {
    /// Under this folder, for a router of this name.
    pub fn new(folder: &Path, router: &str) -> StateStore {
        StateStore {
            path: folder.join(file_name(router, "state")),
            router: router.to_string(),
        }
    }

    /// Where the file lies.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// What the last process left; `None` if none did.
    ///
    /// # Errors
    /// When the file cannot be read, is cut off, spoilt, of another version or another router's.
    pub fn load(&self) -> Result<Option<HandoverState>, StoreError> {
        let file = match std::fs::File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(StoreError::Io(error)),
        };
        let mut bytes = Vec::new();
        file.take(MOST)
            .read_to_end(&mut bytes)
            .map_err(StoreError::Io)?;
        let state = Message::decode(&bytes).and_then(|message| message.state(&self.router));
        state.map(Some).map_err(StoreError::Form)
    }

    /// Keeps this for the next process.
    ///
    /// # Errors
    /// When the file cannot be written; the old one stands.
    pub fn save(&self, state: HandoverState) -> Result<(), StoreError> {
        let message = Message::State {
            version: VERSION,
            name: self.router.clone(),
            state,
        };
        let bytes = message.encode().map_err(StoreError::Form)?;
        let new = self.path.with_extension("state.new");
        std::fs::write(&new, bytes).map_err(StoreError::Io)?;
        std::fs::rename(&new, &self.path).map_err(StoreError::Io)
    }
}
