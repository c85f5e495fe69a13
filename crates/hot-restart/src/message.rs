//! Messages between two processes of one router, and their encoding.
//!
//! A frame consists of the length of its body and the CRC-32C of the body (Castagnoli, RFC 3720),
//! both as little-endian `u32`, followed by the body in postcard. Postcard writes no names: the
//! format depends on the order and the types of fields and variants, and a change to either needs a
//! new [`VERSION`].
//!
//! The first message of each side carries the version and the router's name. A message that is
//! truncated, corrupted, or from another version or router is rejected as a whole, with an error
//! that tells the cause.

use crate::Unread;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// Version of the messages. A process rejects every other version.
pub const VERSION: u16 = 1;
/// Length in bytes of a frame's header: length and checksum of the body.
pub const FRAME_HEADER_BYTES: usize = 8;
/// Maximum length of a body in bytes, for a connection with 4 MiB of an incomplete command or the
/// endpoint list of a very large fleet.
pub const MAX_BODY_BYTES: usize = 6 * 1024 * 1024;

/// The last admin override of one cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredOverride {
    /// The server gets no new requests.
    Disabled,
    /// The server was enabled again at this time, in microseconds since the Unix epoch.
    EnabledAt(u64),
}

/// State of a process that its successor cannot get elsewhere.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Admin overrides, each with the id of its cache server.
    pub overrides: Vec<(String, StoredOverride)>,
    /// Whether operators have drained the router.
    pub drained: bool,
    /// Address of the discovery server that the endpoint list comes from, and the list as JSON.
    pub endpoint_list: Option<(SocketAddr, Vec<u8>)>,
    /// Warm state of the decision library, in its own encoding.
    pub warm_state: Vec<u8>,
}

/// A message between two processes of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of the new process.
    Hello {
        /// [`VERSION`] of the sender.
        version: u16,
        /// The router's name.
        name: String,
    },
    /// The old process's reply to [`Message::Hello`]; also the content of a state file.
    State {
        /// [`VERSION`] of the sender.
        version: u16,
        /// The router's name.
        name: String,
        /// State of the sender.
        state: HandoverState,
    },
    /// The new process serves. The old one stops accepting connections, and hands its own over as
    /// they become idle.
    SuccessorServes,
    /// A client connection, whose descriptor is sent with the message.
    Connection {
        /// Received bytes of an incomplete command.
        unread: Unread,
        /// Whether the client has already sent a complete command.
        has_sent_command: bool,
    },
    /// An operator has set an override of the cache server of this id at the sender.
    Override(String, StoredOverride),
    /// An operator has drained the router (true) or ended the drain (false).
    Drained(bool),
}

/// Why bytes or a message are rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The bytes end within the message.
    #[error("message cut off")]
    Truncated,
    /// The body has this length, more than [`MAX_BODY_BYTES`].
    #[error("message of {0} bytes, more than {MAX_BODY_BYTES}")]
    TooLong(usize),
    /// The checksum does not match the body.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// The body is not a message.
    #[error("malformed message")]
    Malformed,
    /// The sender has this version, not [`VERSION`].
    #[error("message of version {0}, expected {VERSION}")]
    OtherVersion(u16),
    /// The sender belongs to the router of this name.
    #[error("message of another router, '{}'", .0.escape_default())]
    OtherRouter(String),
    /// Another message was expected.
    #[error("unexpected message")]
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
        let header = FrameHeader {
            body_bytes: body.len(),
            checksum: crc32c::crc32c(&body),
        };
        let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + body.len());
        frame.extend_from_slice(&header.encode());
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
    /// When the bytes are not one whole frame with a message.
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

    /// Returns the state of a [`Message::State`] of this version and this router.
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

/// A frame in pieces, so that the unread bytes of a connection are not copied.
#[derive(Debug)]
pub struct FramePieces(pub Vec<Bytes>);

impl FramePieces {
    /// Encodes a message like [`Message::encode`].
    ///
    /// # Errors
    /// [`MessageError::TooLong`] if the body exceeds [`MAX_BODY_BYTES`].
    pub fn of(message: &Message) -> Result<FramePieces, MessageError> {
        let Message::Connection {
            unread,
            has_sent_command,
        } = message
        else {
            return Ok(FramePieces(vec![message.encode()?.into()]));
        };
        let EmptyConnection { variant, rest } = EmptyConnection::encode(*has_sent_command)?;
        let mut begin = variant;
        let length = postcard::to_stdvec(&unread.len()).map_err(|_| MessageError::Malformed)?;
        begin.extend_from_slice(&length);
        let mut body = vec![Bytes::from(begin)];
        body.extend(unread.0.iter().cloned());
        body.push(rest.into());
        let header = FrameHeader::of(&body)?;
        body.insert(0, Bytes::copy_from_slice(&header.encode()));
        Ok(FramePieces(body))
    }

    /// Decodes a body that has arrived in pieces, none of them empty.
    ///
    /// # Errors
    /// Like [`Message::decode_body`].
    pub fn decode_body(pieces: Vec<Bytes>, checksum: u32) -> Result<Message, MessageError> {
        let header = FrameHeader::of(&pieces)?;
        if header.checksum != checksum {
            return Err(MessageError::ChecksumMismatch);
        }
        match decode_connection(&pieces, header.body_bytes) {
            Some(connection) => Ok(connection),
            None => Message::decode_body(&pieces.concat(), checksum),
        }
    }
}

/// The encoding of a connection without unread bytes, around the length of these.
struct EmptyConnection {
    variant: Vec<u8>,
    rest: Vec<u8>,
}

impl EmptyConnection {
    fn encode(has_sent_command: bool) -> Result<EmptyConnection, MessageError> {
        let message = Message::Connection {
            unread: Unread::default(),
            has_sent_command,
        };
        let mut variant = postcard::to_stdvec(&message).map_err(|_| MessageError::Malformed)?;
        let rest = variant.split_off(variant.len() - size_of::<bool>());
        // The length of the unread bytes, which is 0.
        variant.pop();
        Ok(EmptyConnection { variant, rest })
    }
}

/// Decodes a connection without copying its unread bytes; `None` if the body is another message, or
/// so short that its beginning and its end are not in pieces of their own.
fn decode_connection(body: &[Bytes], body_bytes: usize) -> Option<Message> {
    let (first, last) = (body.first()?, body.last()?);
    if body.len() < 2 {
        return None;
    }
    let has_sent_command = *last.last()? != 0;
    let EmptyConnection { variant, rest } = EmptyConnection::encode(has_sent_command).ok()?;
    let after_variant = first.strip_prefix(&variant[..])?;
    let (length, after_length) = postcard::take_from_bytes::<usize>(after_variant).ok()?;
    let begin_bytes = first.len() - after_length.len();
    let unread_bytes = body_bytes.checked_sub(begin_bytes + rest.len());
    if unread_bytes != Some(length) || !last.ends_with(&rest) {
        return None;
    }
    let mut unread = body.to_vec();
    *unread.first_mut()? = first.slice(begin_bytes..);
    *unread.last_mut()? = last.slice(..last.len() - rest.len());
    Some(Message::Connection {
        unread: Unread(unread),
        has_sent_command,
    })
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
    /// The header of a body in pieces.
    fn of(body: &[Bytes]) -> Result<FrameHeader, MessageError> {
        let body_bytes = body.iter().map(Bytes::len).sum();
        if body_bytes > MAX_BODY_BYTES {
            return Err(MessageError::TooLong(body_bytes));
        }
        let checksum = body
            .iter()
            .fold(0, |checksum, piece| crc32c::crc32c_append(checksum, piece));
        Ok(FrameHeader {
            body_bytes,
            checksum,
        })
    }

    fn encode(&self) -> [u8; FRAME_HEADER_BYTES] {
        let mut bytes = [0; FRAME_HEADER_BYTES];
        bytes[..4].copy_from_slice(&(self.body_bytes as u32).to_le_bytes());
        bytes[4..].copy_from_slice(&self.checksum.to_le_bytes());
        bytes
    }

    /// Decodes a header.
    ///
    /// # Errors
    /// [`MessageError::TooLong`] if the body would exceed [`MAX_BODY_BYTES`].
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
