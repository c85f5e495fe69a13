//! Incremental RESP2 parsers for the commands of clients, the replies of cache servers, and long
//! values.
//!
//! The readers do no I/O. They examine each byte about once however the input is split, and reject
//! an oversized frame by its header.

mod command;
mod digest;
mod frame;
mod long_value;
mod reply;

pub use command::{
    Command, CommandError, CommandFrame, CommandReader, EncodedCommand, field, number,
};
pub use digest::Digest;
pub use long_value::{
    LONG_VALUE_THRESHOLD_BYTES, LongValue, LongValueReader, ValuePart, is_long_value,
};
pub use reply::{LoadReportText, MissingPart, Reply, ReplyReader, ends_like_reply};

/// The largest value that the protocol allows, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// The size of the chunks in which a long value is held, in bytes. Each chunk has its own
/// allocation.
pub const CHUNK_BYTES: usize = 16 * 1024;
/// The most that is read at a time of messages that are not known to be long, in bytes: it fits a
/// typical response and what the peer wrote after it.
pub const READ_BYTES: usize = 4 * 1024;

/// Why the rest of a connection's input cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A frame is larger than the protocol allows.
    #[error("RESP2 frame exceeds the size limit")]
    TooLarge,
    /// The bytes are not a frame, or not one that is allowed here.
    #[error("malformed RESP2 frame")]
    Malformed,
}
