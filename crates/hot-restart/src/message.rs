//! What one process tells another, as bytes: postcard within a frame of its length and its CRC-32C (Castagnoli, RFC 3720),
//! both little-endian words of four bytes.
//!
//! The first message names the version and the router. Bytes that are cut off, spoilt, of another version or another
//! router's are an error that says so, and never a part of a message.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The version of the messages; another one's are refused.
pub const VERSION: u16 = 1;
/// Length and checksum.
pub const HEAD: usize = 8;
/// The largest message: a connection with a command of 4 MiB that is not whole yet, or the list of a very large fleet.
pub const MOST: usize = 6 * 1024 * 1024;

/// The operators' last word on a cache server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredOverride {
    /// Nothing new is sent to it.
    Disabled,
    /// Put back into service at this time, in microseconds since the Unix epoch.
    EnabledAt(u64),
}

/// What a process knows that its successor cannot learn elsewhere.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The operators' word, by cache server.
    pub words: Vec<(String, StoredOverride)>,
    /// Operators have drained the router.
    pub drained: bool,
    /// Where the list came from, and the list in discovery's own form.
    pub list: Option<(SocketAddr, Vec<u8>)>,
    /// What the decision module learnt, in a form of its own.
    pub learnt: Vec<u8>,
}

/// What processes tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The first of the new process.
    Hello {
        /// [`VERSION`].
        version: u16,
        /// The router's name.
        name: String,
    },
    /// The old process's answer.
    State {
        /// [`VERSION`].
        version: u16,
        /// The router's name.
        name: String,
        /// What it knows.
        state: HandoverState,
    },
    /// The new process serves: the old one accepts no more, and gives up what comes to rest.
    SuccessorServes,
    /// A client's connection, whose descriptor comes with it.
    Connection {
        /// What was read of a command that is not whole yet.
        unread: Vec<u8>,
        /// It has sent a whole command before.
        has_sent_command: bool,
    },
    /// Operators told the sender this.
    Override(String, StoredOverride),
    /// Operators drain the router, or end that.
    Drained(bool),
}

/// Why bytes are not used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// They end within a message.
    CutOff,
    /// The message would be longer than [`MOST`].
    TooLong(usize),
    /// The checksum differs.
    Spoilt,
    /// They are no message.
    Malformed,
    /// They are of another version.
    Version(u16),
    /// They are another router's.
    Name(String),
    /// Another message was due.
    Unexpected,
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MessageError::CutOff => f.write_str("cut off"),
            MessageError::TooLong(length) => write!(f, "a message of {length} bytes"),
            MessageError::Spoilt => f.write_str("the checksum differs"),
            MessageError::Malformed => f.write_str("no message"),
            MessageError::Version(version) => write!(f, "of version {version}, not {VERSION}"),
            MessageError::Name(name) => write!(f, "of the router '{}'", name.escape_default()),
            MessageError::Unexpected => f.write_str("another message was due"),
        }
    }
}

impl std::error::Error for MessageError {}

impl Message {
    /// The framed message.
    ///
    /// # Errors
    /// When it is longer than [`MOST`].
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let body = postcard::to_stdvec(self).map_err(|_| MessageError::Malformed)?;
        if body.len() > MOST {
            return Err(MessageError::TooLong(body.len()));
        }
        let mut out = Vec::with_capacity(HEAD + body.len());
        out.extend_from_slice(&(body.len() as u32).to_le_bytes());
        out.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
        out.extend_from_slice(&body);
        Ok(out)
    }

    /// The length of the body that a head announces, and its checksum.
    ///
    /// # Errors
    /// When it would be longer than [`MOST`].
    pub fn head(head: [u8; HEAD]) -> Result<(usize, u32), MessageError> {
        let [a, b, c, d, e, f, g, h] = head;
        let length = u32::from_le_bytes([a, b, c, d]) as usize;
        if length > MOST {
            return Err(MessageError::TooLong(length));
        }
        Ok((length, u32::from_le_bytes([e, f, g, h])))
    }

    /// The message of a body.
    ///
    /// # Errors
    /// When it is spoilt or none.
    pub fn body(body: &[u8], checksum: u32) -> Result<Message, MessageError> {
        if crc32c::crc32c(body) != checksum {
            return Err(MessageError::Spoilt);
        }
        postcard::from_bytes(body).map_err(|_| MessageError::Malformed)
    }

    /// One whole framed message.
    ///
    /// # Errors
    /// When the bytes are anything else.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        let (head, body) = bytes
            .split_first_chunk::<HEAD>()
            .ok_or(MessageError::CutOff)?;
        let (length, checksum) = Message::head(*head)?;
        let body = body.get(..length).ok_or(MessageError::CutOff)?;
        Message::body(body, checksum)
    }

    /// The state in a message, if it is this router's and of this version.
    ///
    /// # Errors
    /// When it is another's, or another message.
    pub fn state(self, router: &str) -> Result<HandoverState, MessageError> {
        match self {
            Message::State { version, .. } if version != VERSION => {
                Err(MessageError::Version(version))
            }
            Message::State { name, .. } if name != router => Err(MessageError::Name(name)),
            Message::State { state, .. } => Ok(state),
            _ => Err(MessageError::Unexpected),
        }
    }

    /// Whether this is the greeting of another process of this router.
    ///
    /// # Errors
    /// When it is of another version, another router's, or another message.
    pub fn greets(&self, router: &str) -> Result<(), MessageError> {
        match self {
            Message::Hello { version, .. } if *version != VERSION => {
                Err(MessageError::Version(*version))
            }
            Message::Hello { name, .. } if name != router => Err(MessageError::Name(name.clone())),
            Message::Hello { .. } => Ok(()),
            _ => Err(MessageError::Unexpected),
        }
    }
}
