//! RESP2 as clients and cache servers speak it: commands, replies and long values, read from a buffer as it fills.
//!
//! The readers are free of I/O. They look at each byte about once however the bytes come, and turn away what is too
//! large by its header.

mod command;
mod frame;
mod long_value;
mod reply;

pub use command::{Command, CommandError, CommandFrame, CommandReader, EncodedCommand};
pub use long_value::{LongValue, LongValueReader, ValuePart};
pub use reply::{LoadReportText, Reply, ReplyReader};

/// The largest value that the protocol allows, in bytes.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;
/// A long value is held in pieces of so many bytes, each in a block of its own.
pub const CHUNK_BYTES: usize = 64 * 1024;
/// Room for one read, in bytes: the usual response comes in one, and so does what a peer wrote behind it.
pub const READ_BYTES: usize = 4 * 1024;

/// Why the rest of a connection cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A frame is larger than the protocol allows.
    #[error("frame too large")]
    TooLarge,
    /// The bytes are no frame, or none that may stand here.
    #[error("not RESP2")]
    Malformed,
}
