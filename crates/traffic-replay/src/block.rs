//! Framing of captures: a magic line, then a sequence of blocks.
//!
//! A block consists of the payload length (4 bytes, little-endian), the CRC-32C of kind and payload
//! (4 bytes, little-endian), the kind (1 byte), and the payload.

/// Magic line at the start of a capture: format name and format version.
pub const MAGIC: &[u8] = b"asterport-capture 1\n";
/// Prefix of the magic line in every format version.
pub(crate) const MAGIC_PREFIX: &[u8] = b"asterport-capture ";
/// Upper bound for the magic line of any format version, in bytes.
pub(crate) const MAX_MAGIC_BYTES: usize = 32;
/// Size of a block header, in bytes.
pub(crate) const BLOCK_HEADER_BYTES: usize = 9;
/// Payload size at which a block of items is finished. Bounds the items lost when a file is
/// truncated and the memory that a reader needs for one block.
pub(crate) const TARGET_PAYLOAD_BYTES: usize = 64 * 1024;
/// Largest payload that a reader accepts. Large enough for a header with 256 names of 1,024 bytes,
/// and bounds the memory that a reader needs for a damaged file.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 512 * 1024;

/// Type of a block's payload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BlockKind {
    /// One [`Header`](crate::Header). Exactly the first block has this kind.
    Header = 1,
    /// One or more [`Item`](crate::Item)s.
    Items = 2,
    /// One [`Summary`](crate::Summary). Exactly the last block has this kind.
    Summary = 3,
}

impl BlockKind {
    /// Decodes the kind byte of a block header; `None` if the kind is unknown.
    pub fn from_byte(byte: u8) -> Option<BlockKind> {
        match byte {
            1 => Some(BlockKind::Header),
            2 => Some(BlockKind::Items),
            3 => Some(BlockKind::Summary),
            _ => None,
        }
    }
}

/// Header of a block.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BlockHeader {
    /// Payload length.
    pub payload_bytes: u32,
    checksum: u32,
    kind: u8,
}

impl BlockHeader {
    /// Creates the header of a block with this payload.
    pub fn of(kind: BlockKind, payload: &[u8]) -> BlockHeader {
        let kind = kind as u8;
        BlockHeader {
            payload_bytes: payload.len() as u32,
            checksum: checksum(kind, payload),
            kind,
        }
    }

    /// Decodes a header.
    pub fn decode(bytes: [u8; BLOCK_HEADER_BYTES]) -> BlockHeader {
        let [a, b, c, d, checksum @ .., kind] = bytes;
        BlockHeader {
            payload_bytes: u32::from_le_bytes([a, b, c, d]),
            checksum: u32::from_le_bytes(checksum),
            kind,
        }
    }

    /// Appends the encoded header to `out`.
    pub fn encode(self, out: &mut Vec<u8>) {
        out.extend(self.payload_bytes.to_le_bytes());
        out.extend(self.checksum.to_le_bytes());
        out.push(self.kind);
    }

    /// Whether the checksum matches the payload.
    pub fn matches(self, payload: &[u8]) -> bool {
        checksum(self.kind, payload) == self.checksum
    }

    /// Block kind; `None` if it is unknown.
    pub fn kind(self) -> Option<BlockKind> {
        BlockKind::from_byte(self.kind)
    }
}

/// Appends a block, header and payload, to `out`.
pub(crate) fn append_block(kind: BlockKind, payload: &[u8], out: &mut Vec<u8>) {
    BlockHeader::of(kind, payload).encode(out);
    out.extend(payload);
}

fn checksum(kind: u8, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&[kind]), payload)
}
