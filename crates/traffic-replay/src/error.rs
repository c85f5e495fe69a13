//! Errors of writing and reading captures.

use crate::block::MAX_PAYLOAD_BYTES;

/// Error of writing or reading a capture. Offsets are in bytes from the start of the capture.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CaptureError {
    /// The first line is not the magic line of a capture.
    #[error("not a capture: the first line does not name the capture format")]
    NotACapture,
    /// The format version in the first line is not supported.
    #[error("unsupported capture format version: '{0}'")]
    UnsupportedVersion(String),
    /// The payload length in a block header exceeds the limit.
    #[error(
        "block at byte {offset}: payload length of {bytes} bytes exceeds the limit of {MAX_PAYLOAD_BYTES}"
    )]
    BlockTooLong {
        /// Offset of the block.
        offset: u64,
        /// Payload length in the block header.
        bytes: u32,
    },
    /// A block does not match its checksum.
    #[error("block at byte {offset}: checksum mismatch")]
    ChecksumMismatch {
        /// Offset of the block.
        offset: u64,
    },
    /// The checksum of a block matches, but its payload cannot be decoded or its kind is unknown or
    /// not allowed at this position.
    #[error("block at byte {offset}: malformed payload or unexpected block kind")]
    MalformedBlock {
        /// Offset of the block.
        offset: u64,
    },
    /// The capture ends before its summary block. Items read so far are valid; the rest is lost.
    #[error("the capture is truncated after {items} items")]
    Truncated {
        /// Number of items read.
        items: u64,
    },
    /// Bytes follow the summary block.
    #[error("unexpected bytes after the end of the capture, from byte {offset}")]
    TrailingBytes {
        /// Offset of the first of them.
        offset: u64,
    },
    /// The number of items differs from the count in the summary.
    #[error("the capture contains {items} items, but its summary counts {summary_items}")]
    CountMismatch {
        /// Number of items read.
        items: u64,
        /// Number of items according to the summary.
        summary_items: u64,
    },
    /// A text exceeds its length limit.
    #[error("{what} of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLong {
        /// Name of the field.
        what: &'static str,
        /// Length of the text, in bytes.
        bytes: usize,
        /// Length limit, in bytes.
        limit: usize,
    },
    /// A list exceeds its limit of entries.
    #[error("too many {what}: the limit is {limit}")]
    TooMany {
        /// Plural name of the entries.
        what: &'static str,
        /// Limit of entries.
        limit: usize,
    },
    /// The source index of an item is out of the range of the header's sources.
    #[error("source index {source_index} is not in the header")]
    UnknownSource {
        /// Source index of the item.
        source_index: u16,
    },
    /// The time of an item is earlier than that of its predecessor.
    #[error("item at {at_us} us follows an item at {after_us} us")]
    OutOfOrder {
        /// Time of the item, in microseconds since the start of the capture.
        at_us: u64,
        /// Time of its predecessor, in microseconds since the start of the capture.
        after_us: u64,
    },
}
