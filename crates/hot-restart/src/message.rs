//! Messages between two processes of one router, and their bytes.
//!
//! A frame is the length of its body and the CRC-32C of that body (Castagnoli, RFC 3720), both little-endian `u32`,
//! and the body in postcard. Postcard writes no names: the order and the types of fields and variants are the format,
//! names are not. A change to them needs another [`VERSION`].
//!
//! The first message of each side carries the version and the router's name. Bytes that are truncated, corrupted, of
//! another version or another router are an error that names the cause, and never a part of a message.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Version of the messages; a process refuses every other.
pub const VERSION: u16 = 1;
/// Bytes of a frame's header: length and checksum of its body.
pub const FRAME_HEADER_BYTES: usize = 8;
/// Bytes of the largest body: a connection with 4 MiB of an incomplete command, or the endpoints of a very large fleet.
pub const MAX_BODY_BYTES: usize = 6 * 1024 * 1024;

/// An operator's last override for one cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredOverride {
    /// The server gets no new requests.
    Disabled,
    /// The server was put back into service at this time, in microseconds since the Unix epoch.
    EnabledAt(u64),
}

/// What a process knows that its successor cannot get elsewhere.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The operators' overrides, by the id of the cache server.
    pub overrides: Vec<(String, StoredOverride)>,
    /// Whether operators have drained the router.
    pub drained: bool,
    /// The discovery that the endpoint list came from, and the list in discovery's own form.
    pub endpoint_list: Option<(SocketAddr, Vec<u8>)>,
    /// Warm state of the decision library, in a form of its own.
    pub warm_state: Vec<u8>,
}

/// A message between two processes of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// First message of the new process.
    Hello {
        /// [`VERSION`] of the sender.
        version: u16,
        /// The router's name.
        name: String,
    },
    /// The old process's answer to [`Message::Hello`], and the content of a state file.
    State {
        /// [`VERSION`] of the sender.
        version: u16,
        /// The router's name.
        name: String,
        /// What the sender knows.
        state: HandoverState,
    },
    /// The new process serves: the old one accepts no more connections, and hands over those that become idle.
    SuccessorServes,
    /// A client's connection, whose descriptor comes with the message.
    Connection {
        /// Bytes of a command that is still incomplete.
        unread: Vec<u8>,
        /// Whether the client has sent a complete command before.
        has_sent_command: bool,
    },
    /// Operators gave the sender an override for the cache server of this id.
    Override(String, StoredOverride),
    /// Operators drained the router (true), or ended the drain.
    Drained(bool),
}

/// Why bytes are not taken as a message, or a message not as the expected one.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The bytes end within the message.
    #[error("cut off")]
    Truncated,
    /// The body is longer than [`MAX_BODY_BYTES`]; its length.
    #[error("a message of {0} bytes")]
    TooLong(usize),
    /// The checksum does not match the body.
    #[error("the checksum differs")]
    ChecksumMismatch,
    /// The body is not a message.
    #[error("no message")]
    Malformed,
    /// The sender has this version, not [`VERSION`].
    #[error("of version {0}, not {VERSION}")]
    OtherVersion(u16),
    /// The sender belongs to the router of this name.
    #[error("of the router '{}'", .0.escape_default())]
    OtherRouter(String),
    /// The message is out of order.
    #[error("another message was due")]
    Unexpected,
}

impl Message {
    /// Encodes the message as one frame.
    ///
    /// # Errors
    /// [`MessageError::TooLong`] if the body exceeds [`MAX_BODY_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let body = postcard::to_stdvec(self).map_err(|_| MessageError::Malformed)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(MessageError::TooLong(body.len()));
        }
        let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
        frame.extend_from_slice(&(body.len() as u32).to_le_bytes());
        frame.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
        frame.extend_from_slice(&body);
        Ok(frame)
    }

    /// Decodes the body of a frame.
    ///
    /// # Errors
    /// [`MessageError::ChecksumMismatch`] or [`MessageError::Malformed`].
    pub fn decode_body(body: &[u8], checksum: u32) -> Result<Message, MessageError> {
        if crc32c::crc32c(body) != checksum {
            return Err(MessageError::ChecksumMismatch);
        }
        postcard::from_bytes(body).map_err(|_| MessageError::Malformed)
    }

    /// Decodes one whole frame.
    ///
    /// # Errors
    /// When the bytes are anything else.
    pub fn decode(frame: &[u8]) -> Result<Message, MessageError> {
        let (header, rest) = frame
            .split_first_chunk::<FRAME_HEADER_BYTES>()
            .ok_or(MessageError::Truncated)?;
        let header = FrameHeader::decode(*header)?;
        let body = rest
            .get(..header.body_bytes)
            .ok_or(MessageError::Truncated)?;
        Message::decode_body(body, header.checksum)
    }

    /// Takes the state out of a [`Message::State`] of this version and this router.
    ///
    /// # Errors
    /// When it is of another version or router, or another message.
    pub fn into_state(self, router: &str) -> Result<HandoverState, MessageError> {
        let Message::State {
            version,
            name,
            state,
        } = self
        else {
            return Err(MessageError::Unexpected);
        };
        check_sender(version, &name, router)?;
        Ok(state)
    }

    /// Checks that this is a [`Message::Hello`] of this version and this router.
    ///
    /// # Errors
    /// When it is of another version or router, or another message.
    pub fn check_hello(&self, router: &str) -> Result<(), MessageError> {
        let Message::Hello { version, name } = self else {
            return Err(MessageError::Unexpected);
        };
        check_sender(*version, name, router)
    }
}

fn check_sender(version: u16, name: &str, router: &str) -> Result<(), MessageError> {
    if version != VERSION {
        return Err(MessageError::OtherVersion(version));
    }
    if name != router {
        return Err(MessageError::OtherRouter(name.to_string()));
    }
    Ok(())
}

/// Header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// Bytes of the body, at most [`MAX_BODY_BYTES`].
    pub body_bytes: usize,
    /// CRC-32C of the body.
    pub checksum: u32,
}

impl FrameHeader {
    /// Decodes a header.
    ///
    /// # Errors
    /// [`MessageError::TooLong`] if it announces more than [`MAX_BODY_BYTES`].
    pub fn decode(header: [u8; FRAME_HEADER_BYTES]) -> Result<FrameHeader, MessageError> {
        let [l0, l1, l2, l3, c0, c1, c2, c3] = header;
        let body_bytes = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        if body_bytes > MAX_BODY_BYTES {
            return Err(MessageError::TooLong(body_bytes));
        }
        Ok(FrameHeader {
            body_bytes,
            checksum: u32::from_le_bytes([c0, c1, c2, c3]),
        })
    }
}
