//! Captures of real evenings as load: what was asked for, when, and how it went, in one documented form.
//!
//! So far the form itself ([`CaptureWriter`], [`CaptureReader`]), without I/O: bytes come in and go out in pieces of
//! any size. `docs/design/load.md` tells what is to come.
//!
//! ```
//! use traffic_replay::*;
//!
//! let mut writer = CaptureWriter::new(Header { begins_us: 1_750_000_000_000_000, sources: vec!["a.log".into()] })?;
//! writer.push(&Item { at_us: 250, class: "ambil-soal".into(), key: "7f3a".into(), ..Item::default() })?;
//! let bytes = writer.finish();
//!
//! let mut reader = CaptureReader::default();
//! reader.feed(&bytes);
//! assert!(matches!(reader.next()?, Some(Piece::Header(_))));
//! assert!(matches!(reader.next()?, Some(Piece::Item(item)) if item.at_us == 250));
//! assert!(matches!(reader.next()?, Some(Piece::End(summary)) if summary.items == 1));
//! reader.finish()?;
//! # Ok::<(), CaptureError>(())
//! ```

mod item;
mod log_format;
mod reader;
mod writer;

pub use item::{Header, Item, Summary};
pub use log_format::{FieldName, Fields, FormatError, LineError, LogFormat, Wanted};
pub use reader::{CaptureError, CaptureReader, Piece};
pub use writer::CaptureWriter;

/// The first line of a capture: its name and the version of its form.
pub const MAGIC: &[u8] = b"asterport-capture 1\n";
/// What every version's first line begins with.
const MAGIC_NAME: &[u8] = b"asterport-capture ";
/// A first line is no longer than this, whatever its version.
const MAGIC_LONGEST: usize = 32;
/// Bytes before a block's payload: its length (4, little-endian), the CRC-32C of kind and payload (4), its kind (1).
const BLOCK_HEAD: usize = 9;
/// A block is closed once its payload has this many bytes: what is lost with a cut file, and what a reader holds.
const BLOCK_AIM: usize = 64 * 1024;
/// No payload is longer: a header with 256 names of 1,024 bytes fits. Bounds what a reader holds of a bad file.
const BLOCK_LONGEST: usize = 512 * 1024;

/// What a block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// A [`Header`]; the first block, and only that.
    Header = 1,
    /// Items one behind the other.
    Items = 2,
    /// A [`Summary`]; the last block, and only that.
    End = 3,
}

impl Kind {
    fn of(byte: u8) -> Option<Kind> {
        [Kind::Header, Kind::Items, Kind::End]
            .into_iter()
            .find(|kind| *kind as u8 == byte)
    }
}

/// The checksum of a block: of its kind and its payload.
fn checksum(kind: u8, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&[kind]), payload)
}
