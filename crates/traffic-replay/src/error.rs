//! Why a capture cannot be written or read on.

use crate::block::MAX_PAYLOAD_BYTES;

/// Why a capture cannot be written or read on. Offsets count bytes from the beginning of the capture.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CaptureError {
    /// The first line is not that of a capture.
    #[error("this is no capture: its first line is another")]
    NotACapture,
    /// The first line names a version that this program does not read.
    #[error("'{0}' is not a version that this program reads")]
    UnsupportedVersion(String),
    /// A block claims to be longer than any that is written.
    #[error("the block at byte {offset} claims {bytes} bytes; none has over {MAX_PAYLOAD_BYTES}")]
    BlockTooLong {
        /// Where the block begins.
        offset: u64,
        /// The length of the payload that it claims.
        bytes: u32,
    },
    /// A block does not match its checksum.
    #[error("the block at byte {offset} does not match its checksum")]
    ChecksumMismatch {
        /// Where the block begins.
        offset: u64,
    },
    /// A block with a right checksum has a payload or a place that no writer gives it.
    #[error("the block at byte {offset} cannot be read")]
    MalformedBlock {
        /// Where the block begins.
        offset: u64,
    },
    /// The capture ends before its last block. The items read so far are good; the rest is lost.
    #[error("the capture was cut off after {items} items")]
    Truncated {
        /// Items read.
        items: u64,
    },
    /// Bytes follow the last block.
    #[error("from byte {offset} on something follows the end")]
    TrailingBytes {
        /// Where they begin.
        offset: u64,
    },
    /// The number of items differs from the one in the summary.
    #[error("the capture holds {items} items and counts {summary_items}")]
    CountMismatch {
        /// Items read.
        items: u64,
        /// Items that the summary counts.
        summary_items: u64,
    },
    /// A text is too long.
    #[error("a {what} of {bytes} bytes is longer than {limit}")]
    TooLong {
        /// The field.
        what: &'static str,
        /// Its length in bytes.
        bytes: usize,
        /// The longest allowed, in bytes.
        limit: usize,
    },
    /// A list has too many entries.
    #[error("there are more than {limit} {what}")]
    TooMany {
        /// What the list holds.
        what: &'static str,
        /// The most entries allowed.
        limit: usize,
    },
    /// An item names a source that the header does not list.
    #[error("source {source_index} is not in the header")]
    UnknownSource {
        /// Its index.
        source_index: u16,
    },
    /// An item is earlier than the one before it.
    #[error("an item at {at_us} us stands behind one at {after_us} us")]
    OutOfOrder {
        /// Its time, in microseconds since the capture's start.
        at_us: u64,
        /// The time of the item before it.
        after_us: u64,
    },
}
