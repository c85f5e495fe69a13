//! Endpoint lists as discovery sends them, and an incremental reader for the response of a watch.
//! No I/O.
//!
//! A response is a sequence of JSON objects, separated by white space. An object may span several
//! lines, and may be split at any byte. Field names on the wire and in stored lists differ from
//! those in the code; the attributes below map them.

use bytes::{Buf, BytesMut};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Maximum length of a list in bytes, above that of the largest fleet.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;

/// An endpoint list, or the changes to one.
#[derive(Debug, Default, Deserialize, Serialize)]
pub struct EndpointList {
    /// Version of the list, as counted by its discovery server.
    #[serde(rename = "seq")]
    pub(crate) version: u64,
    /// Whether it contains all servers, rather than only those that have changed.
    #[serde(default, rename = "whole")]
    pub(crate) is_snapshot: bool,
    #[serde(default, rename = "hosts")]
    pub(crate) entries: Vec<ListedEndpoint>,
}

impl EndpointList {
    /// The list without the entries for whose server `keeps` is false.
    pub fn filtered(mut self, keeps: impl Fn(&str) -> bool) -> EndpointList {
        self.entries.retain(|entry| keeps(&entry.name));
        self
    }

    /// Adds the entries of another list for servers that this one does not contain. If there are any, the list
    /// has no version of its discovery server any more, so that this is asked for its whole list.
    pub fn add_missing(&mut self, other: EndpointList) {
        let is_listed = |name: &str| self.entries.iter().any(|entry| entry.name == name);
        let missing: Vec<ListedEndpoint> = other
            .entries
            .into_iter()
            .filter(|entry| !is_listed(&entry.name))
            .collect();
        if !missing.is_empty() {
            self.version = 0;
            self.entries.extend(missing);
        }
    }

    /// Number of entries.
    pub fn endpoint_count(&self) -> usize {
        self.entries.len()
    }
}

/// One entry of an endpoint list.
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
    /// When its process started, in milliseconds since the Unix epoch; 0 if unknown.
    #[serde(default, rename = "born_ms")]
    pub(crate) started_ms: u64,
}

/// Health of a server, as discovery reports it.
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

/// Why the rest of a response cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ListError {
    /// A list exceeds the maximum length.
    #[error("list of more than {MAX_LIST_BYTES} bytes")]
    TooLong,
    /// An object is not an endpoint list; the source tells what is wrong, and where.
    #[error("malformed list: {0}")]
    Malformed(#[source] serde_json::Error),
    /// The body has this byte where an object should begin.
    #[error("malformed list: expected an object, found '{}'", .0.escape_ascii())]
    NotAnObject(u8),
}

/// Reads endpoint lists from a response as it arrives.
#[derive(Debug, Default)]
pub struct EndpointListReader {
    /// Bytes that have arrived and are not parsed yet.
    bytes: BytesMut,
    /// Whether an object may have been completed since the last attempt to parse it.
    may_be_complete: bool,
}

impl EndpointListReader {
    /// Adds bytes that have arrived.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
        self.may_be_complete |= bytes.contains(&b'}');
    }

    /// Returns the next list that has arrived completely, if there is one.
    ///
    /// # Errors
    /// When the bytes are not a list. Nothing after them can be read.
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

    /// Whether a list has begun and is not complete. White space alone does not count as data then:
    /// a discovery server that sends half a list followed only by empty lines is silent.
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
