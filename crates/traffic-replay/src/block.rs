//! The framing of captures: the first line, then blocks with length, checksum and kind.
//!
//! A block is the length of its payload (4 bytes, little-endian), the CRC-32C of kind and payload (4 bytes,
//! little-endian), its kind (1 byte), and the payload.

/// The first line of a capture: its name and the version of its form.
pub const MAGIC: &[u8] = b"asterport-capture 1\n";
/// What the first line of every version begins with.
pub(crate) const MAGIC_PREFIX: &[u8] = b"asterport-capture ";
/// The longest first line of any version.
pub(crate) const MAX_MAGIC_BYTES: usize = 32;
/// Bytes of a block before its payload.
pub(crate) const BLOCK_HEADER_BYTES: usize = 9;
/// A block of items is closed once its payload has this size: bounds what a cut file loses and what a reader buffers.
pub(crate) const TARGET_PAYLOAD_BYTES: usize = 64 * 1024;
/// The longest payload: holds a header with 256 names of 1,024 bytes, and bounds what a reader buffers of a damaged
/// file.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 512 * 1024;

/// What a block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockKind {
    /// A [`Header`](crate::Header); the first block only.
    Header = 1,
    /// One or more [`Item`](crate::Item)s.
    Items = 2,
    /// A [`Summary`](crate::Summary); the last block only.
    Summary = 3,
}

impl BlockKind {
    /// The kind that a block's head names; `None` for an unknown one.
    pub fn from_byte(byte: u8) -> Option<BlockKind> {
        match byte {
            1 => Some(BlockKind::Header),
            2 => Some(BlockKind::Items),
            3 => Some(BlockKind::Summary),
            _ => None,
        }
    }
}

/// A block's head, as it stands before the payload.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockHeader {
    /// Length of the payload.
    pub payload_bytes: u32,
    checksum: u32,
    kind: u8,
}

impl BlockHeader {
    /// The head of a block that holds this payload.
    pub fn of(kind: BlockKind, payload: &[u8]) -> BlockHeader {
        let kind = kind as u8;
        BlockHeader {
            payload_bytes: payload.len() as u32,
            checksum: checksum(kind, payload),
            kind,
        }
    }

    /// Reads a head.
    pub fn decode(bytes: [u8; BLOCK_HEADER_BYTES]) -> BlockHeader {
        let [a, b, c, d, checksum @ .., kind] = bytes;
        BlockHeader {
            payload_bytes: u32::from_le_bytes([a, b, c, d]),
            checksum: u32::from_le_bytes(checksum),
            kind,
        }
    }

    /// Appends the head to `out`.
    pub fn encode(self, out: &mut Vec<u8>) {
        out.extend(self.payload_bytes.to_le_bytes());
        out.extend(self.checksum.to_le_bytes());
        out.push(self.kind);
    }

    /// Whether the payload is the one that was written behind this head.
    pub fn matches(self, payload: &[u8]) -> bool {
        checksum(self.kind, payload) == self.checksum
    }

    /// The kind; `None` if it is unknown.
    pub fn kind(self) -> Option<BlockKind> {
        BlockKind::from_byte(self.kind)
    }
}

/// Appends a whole block to `out`.
pub(crate) fn append_block(kind: BlockKind, payload: &[u8], out: &mut Vec<u8>) {
    BlockHeader::of(kind, payload).encode(out);
    out.extend(payload);
}

fn checksum(kind: u8, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&[kind]), payload)
}
