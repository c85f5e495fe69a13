//! Bytes that a process has read from a client and not handled, in pieces.
//!
//! Up to 4 MiB of a half-written value are passed on with a connection, for many connections at once.
//! They are never copied as a whole, so that a replacement needs little memory beyond the values.

use bytes::Bytes;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Unhandled bytes of a client, in order. Encoded like one byte string, however they are divided.
#[derive(Clone, Debug, Default)]
pub struct Unread(pub Vec<Bytes>);

impl Unread {
    /// The number of bytes.
    pub fn len(&self) -> usize {
        self.0.iter().map(Bytes::len).sum()
    }

    /// Whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(Bytes::is_empty)
    }
}

impl From<Vec<u8>> for Unread {
    fn from(bytes: Vec<u8>) -> Unread {
        Unread(vec![bytes.into()])
    }
}

impl PartialEq for Unread {
    fn eq(&self, other: &Unread) -> bool {
        self.0.iter().flatten().eq(other.0.iter().flatten())
    }
}

impl Eq for Unread {}

impl Serialize for Unread {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match &self.0[..] {
            [piece] => serializer.serialize_bytes(piece),
            pieces => serializer.serialize_bytes(&pieces.concat()),
        }
    }
}

impl<'de> Deserialize<'de> for Unread {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Unread, D::Error> {
        deserializer.deserialize_byte_buf(UnreadVisitor)
    }
}

struct UnreadVisitor;

impl Visitor<'_> for UnreadVisitor {
    type Value = Unread;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a byte string")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Unread, E> {
        Ok(bytes.to_vec().into())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Unread, E> {
        Ok(bytes.into())
    }
}
