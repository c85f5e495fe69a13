//! Bytes into items, whatever the bytes are.

use crate::{
    BLOCK_HEAD, BLOCK_LONGEST, Header, Item, Kind, MAGIC, MAGIC_LONGEST, MAGIC_NAME, Summary,
    checksum,
};
use std::collections::VecDeque;
use std::fmt;

/// Why a capture can't be written or read on, in one plain sentence. Offsets count bytes from its beginning.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaptureError {
    /// It is no capture.
    NotACapture,
    /// It was written by a newer program.
    Version(String),
    /// A block is longer than any that is written.
    BlockTooLong {
        /// Where the block begins.
        offset: u64,
        /// The length that it claims.
        bytes: u32,
    },
    /// A block is not as it was written.
    Checksum {
        /// Where the block begins.
        offset: u64,
    },
    /// A whole block holds what no writer writes, or stands where none puts it.
    Unreadable {
        /// Where the block begins.
        offset: u64,
    },
    /// It ends before its last block: what was read up to here is good, what followed is lost.
    Cut {
        /// Items read.
        items: u64,
    },
    /// Something stands behind its last block.
    Trailing {
        /// Where that begins.
        offset: u64,
    },
    /// It holds another number of items than its end says.
    Count {
        /// Items read.
        items: u64,
        /// Items that its end counts.
        counted: u64,
    },
    /// A text is too long.
    TooLong {
        /// Which.
        what: &'static str,
        /// Its length.
        bytes: usize,
        /// The longest allowed.
        most: usize,
    },
    /// A list is too long.
    TooMany {
        /// Of what.
        what: &'static str,
        /// The most allowed.
        most: usize,
    },
    /// An item is of a source that the header does not name.
    UnknownSource {
        /// Its index.
        source: u16,
    },
    /// An item is earlier than the one before.
    OutOfOrder {
        /// Its time.
        at_us: u64,
        /// That of the one before.
        after_us: u64,
    },
}

impl fmt::Display for CaptureError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CaptureError::NotACapture => write!(f, "this is no capture: its first line is another"),
            CaptureError::Version(line) => {
                write!(f, "'{line}' is not a version that this program reads")
            }
            CaptureError::BlockTooLong { offset, bytes } => {
                write!(
                    f,
                    "the block at byte {offset} claims {bytes} bytes; none has over {BLOCK_LONGEST}"
                )
            }
            CaptureError::Checksum { offset } => {
                write!(f, "the block at byte {offset} does not match its checksum")
            }
            CaptureError::Unreadable { offset } => {
                write!(f, "the block at byte {offset} cannot be read")
            }
            CaptureError::Cut { items } => write!(f, "the capture was cut off after {items} items"),
            CaptureError::Trailing { offset } => {
                write!(f, "from byte {offset} on something follows the end")
            }
            CaptureError::Count { items, counted } => {
                write!(f, "the capture holds {items} items and counts {counted}")
            }
            CaptureError::TooLong { what, bytes, most } => {
                write!(f, "a {what} of {bytes} bytes is longer than {most}")
            }
            CaptureError::TooMany { what, most } => write!(f, "there are more than {most} {what}"),
            CaptureError::UnknownSource { source } => {
                write!(f, "source {source} is not in the header")
            }
            CaptureError::OutOfOrder { at_us, after_us } => {
                write!(
                    f,
                    "an item at {at_us} us stands behind one at {after_us} us"
                )
            }
        }
    }
}

impl std::error::Error for CaptureError {}

/// What a capture holds, in this order: one header, items, one end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// Its header.
    Header(Header),
    /// An item.
    Item(Item),
    /// Its end.
    End(Summary),
}

#[derive(Debug, Default)]
enum Stage {
    #[default]
    Magic,
    Header,
    Items(Header),
    Ended,
    Failed(CaptureError),
}

/// Reads a capture from bytes that come in pieces of any size. Holds one block and its items beside what was fed and
/// not read yet: feed it little at a time, and call [`CaptureReader::next`] until it wants more.
#[derive(Debug, Default)]
pub struct CaptureReader {
    fed: Vec<u8>,
    /// Bytes of `fed` that are done with.
    used: usize,
    /// Where `fed` begins in the capture.
    offset: u64,
    stage: Stage,
    items: VecDeque<Item>,
    read: u64,
    last_at_us: u64,
}

impl CaptureReader {
    /// Takes the next bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.offset += self.used as u64;
        self.fed.drain(..std::mem::take(&mut self.used));
        self.fed.extend_from_slice(bytes);
    }

    /// The next piece; `None` where more bytes are wanted, or behind the end. An error is final and comes again.
    #[allow(clippy::should_implement_trait)] // An iterator has no way to tell a wish for more bytes from the end.
    pub fn next(&mut self) -> Result<Option<Piece>, CaptureError> {
        if let Some(item) = self.items.pop_front() {
            return Ok(Some(Piece::Item(item)));
        }
        if let Stage::Failed(error) = &self.stage {
            return Err(error.clone());
        }
        let piece = self.read_piece();
        if let Err(error) = &piece {
            self.stage = Stage::Failed(error.clone());
        }
        piece
    }

    /// To be called when there are no more bytes and all pieces were taken: tells whether the capture was whole.
    pub fn finish(self) -> Result<(), CaptureError> {
        match self.stage {
            Stage::Ended if self.fed.len() > self.used => Err(CaptureError::Trailing {
                offset: self.offset + self.used as u64,
            }),
            Stage::Ended => Ok(()),
            Stage::Failed(error) => Err(error),
            Stage::Magic if !MAGIC.starts_with(&self.fed) || self.fed.is_empty() => {
                Err(CaptureError::NotACapture)
            }
            _ => Err(CaptureError::Cut { items: self.read }),
        }
    }

    fn read_piece(&mut self) -> Result<Option<Piece>, CaptureError> {
        if matches!(self.stage, Stage::Magic) && !self.read_magic()? {
            return Ok(None);
        }
        let at = self.offset + self.used as u64;
        if matches!(self.stage, Stage::Ended) {
            let more = self.fed.len() > self.used;
            return if more {
                Err(CaptureError::Trailing { offset: at })
            } else {
                Ok(None)
            };
        }
        let Some((kind, payload)) = self.block(at)? else {
            return Ok(None);
        };
        let length = payload.len();
        let unreadable = |_| CaptureError::Unreadable { offset: at };
        let piece = match (&self.stage, kind) {
            (Stage::Header, Kind::Header) => {
                let (header, rest) =
                    postcard::take_from_bytes::<Header>(payload).map_err(unreadable)?;
                require(rest.is_empty(), at)?;
                header.check()?;
                self.stage = Stage::Items(header.clone());
                Piece::Header(header)
            }
            (Stage::Items(header), Kind::Items) => {
                let (mut rest, mut items, mut last_at_us) =
                    (payload, VecDeque::new(), self.last_at_us);
                while !rest.is_empty() {
                    let (item, left) =
                        postcard::take_from_bytes::<Item>(rest).map_err(unreadable)?;
                    item.check(header, last_at_us)?;
                    last_at_us = item.at_us;
                    items.push_back(item);
                    rest = left;
                }
                (self.items, self.last_at_us) = (items, last_at_us);
                self.read += self.items.len() as u64;
                let first = self
                    .items
                    .pop_front()
                    .ok_or(CaptureError::Unreadable { offset: at })?;
                Piece::Item(first)
            }
            (Stage::Items(_), Kind::End) => {
                let (summary, rest) =
                    postcard::take_from_bytes::<Summary>(payload).map_err(unreadable)?;
                require(rest.is_empty(), at)?;
                summary.check()?;
                if summary.items != self.read {
                    return Err(CaptureError::Count {
                        items: self.read,
                        counted: summary.items,
                    });
                }
                self.stage = Stage::Ended;
                Piece::End(summary)
            }
            _ => return Err(CaptureError::Unreadable { offset: at }),
        };
        self.used += BLOCK_HEAD + length;
        Ok(Some(piece))
    }

    /// Whether the first line is there; one that is too long or another is an error at once.
    fn read_magic(&mut self) -> Result<bool, CaptureError> {
        let line = &self.fed[..self.fed.len().min(MAGIC_LONGEST)];
        let common = line.len().min(MAGIC_NAME.len());
        if line[..common] != MAGIC_NAME[..common] {
            return Err(CaptureError::NotACapture);
        }
        match line.iter().position(|&byte| byte == b'\n') {
            Some(end) if line[..=end] == *MAGIC => {
                (self.used, self.stage) = (MAGIC.len(), Stage::Header);
                Ok(true)
            }
            Some(end) => Err(CaptureError::Version(
                String::from_utf8_lossy(&line[..end])
                    .escape_debug()
                    .to_string(),
            )),
            None if line.len() == MAGIC_LONGEST => Err(CaptureError::NotACapture),
            None => Ok(false),
        }
    }

    /// The kind and the payload of the next block, once it is there whole and matches its checksum.
    fn block(&self, at: u64) -> Result<Option<(Kind, &[u8])>, CaptureError> {
        let Some((head, rest)) = self.fed[self.used..].split_first_chunk::<BLOCK_HEAD>() else {
            return Ok(None);
        };
        let [a, b, c, d, sum @ .., kind] = *head;
        let bytes = u32::from_le_bytes([a, b, c, d]);
        if bytes as usize > BLOCK_LONGEST {
            return Err(CaptureError::BlockTooLong { offset: at, bytes });
        }
        let Some(payload) = rest.get(..bytes as usize) else {
            return Ok(None);
        };
        if checksum(kind, payload) != u32::from_le_bytes(sum) {
            return Err(CaptureError::Checksum { offset: at });
        }
        let kind = Kind::of(kind).ok_or(CaptureError::Unreadable { offset: at })?;
        Ok(Some((kind, payload)))
    }
}

fn require(holds: bool, offset: u64) -> Result<(), CaptureError> {
    if holds {
        Ok(())
    } else {
        Err(CaptureError::Unreadable { offset })
    }
}
