//! Lists of servers as discovery writes them, and the reader that takes them from a watch's answer. Free of I/O.
//!
//! An answer holds one JSON object after another, with white space between them: an object may stand on one line or on
//! many, and be cut anywhere. The names of the fields on the wire and in stored lists are mapped here.

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The longest object, in bytes: a longer one is no list of any fleet.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// A list of servers, or the changes to one.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// Its version, as one discovery server counts.
    #[serde(rename = "seq")]
    pub(crate) version: u64,
    /// Whether it names all servers, rather than those that have changed.
    #[serde(default, rename = "whole")]
    pub(crate) is_snapshot: bool,
    #[serde(default, rename = "hosts")]
    pub(crate) entries: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// How many entries it has.
    pub fn endpoint_count(&self) -> usize {
        self.entries.len()
    }
}

/// One server of a list.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct ListedEndpoint {
    #[serde(rename = "host")]
    pub(crate) name: String,
    #[serde(rename = "dial")]
    pub(crate) addr: SocketAddr,
    #[serde(default, rename = "site")]
    pub(crate) zone: Option<String>,
    #[serde(default, rename = "class")]
    pub(crate) kind: Option<String>,
    #[serde(default, rename = "block")]
    pub(crate) cell: u64,
    pub(crate) health: Health,
    #[serde(default = "default_weight", rename = "share")]
    pub(crate) weight: f64,
    /// When its process started, in milliseconds since the Unix epoch; 0: unknown.
    #[serde(default, rename = "born_ms")]
    pub(crate) started_ms: u64,
}

/// What a server may be used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub(crate) enum Health {
    Up,
    Draining,
    Removed,
}

fn default_weight() -> f64 {
    1.0
}

/// Why the rest of an answer cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// An object is longer than any list.
    #[error("a list of more than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// An object is no list: what is wrong, and where.
    #[error("malformed list: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The body is no object: its first byte.
    #[error("malformed list: begins with '{}'", .0.escape_ascii())]
    NotAnObject(u8),
}

/// Reads lists from an answer as it arrives.
#[derive(Debug, Default)]
pub struct EndpointListReader {
    /// What has arrived and is not read yet.
    bytes: BytesMut,
    /// An object may have become whole since the last look.
    may_be_complete: bool,
}

impl EndpointListReader {
    /// More has arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.may_be_complete |= bytes.contains(&b'}');
    }

    /// Takes the next list that has arrived whole, if there is one.
    ///
    /// # Errors
    /// When what arrived is no list: nothing that follows can be read.
    pub fn next_list(&mut self) -> Result<Option<EndpointList>, ListError> {
        self.skip_white_space();
        match self.bytes.first() {
            Some(b'{') => {}
            Some(&byte) => return Err(ListError::NotAnObject(byte)),
            None => return Ok(None),
        }
        if self.may_be_complete {
            let mut objects =
                serde_json::Deserializer::from_slice(&self.bytes).into_iter::<EndpointList>();
            match objects.next() {
                Some(Ok(list)) => {
                    let end = objects.byte_offset();
                    self.bytes.advance(end);
                    return Ok(Some(list));
                }
                Some(Err(error)) if !error.is_eof() => return Err(ListError::Malformed(error)),
                _ => self.may_be_complete = false,
            }
        }
        if self.bytes.len() > MAX_LIST_BYTES {
            return Err(ListError::TooLong);
        }
        Ok(None)
    }

    /// Whether a list has begun and is not whole. White space alone is then no sign of life: a discovery server that
    /// writes half a list and nothing but empty lines has fallen silent.
    pub fn has_partial_list(&self) -> bool {
        !self.bytes.is_empty()
    }

    fn skip_white_space(&mut self) {
        let length = self
            .bytes
            .iter()
            .take_while(|byte| byte.is_ascii_whitespace())
            .count();
        self.bytes.advance(length);
    }
}
