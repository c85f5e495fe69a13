//! Captures of production traffic for replay: the requests, their times and their outcomes.
//!
//! The crate provides the capture format ([`CaptureWriter`], [`CaptureReader`]) and access-log
//! formats ([`LogFormat`]). Neither does I/O: bytes are passed in and out in chunks of any size.
//! `docs/design/load.md` describes the planned parts.
//!
//! ```
//! use traffic_replay::*;
//!
//! let mut writer = CaptureWriter::new(Header {
//!     start_us: 1_750_000_000_000_000,
//!     sources: vec!["a.log".into()],
//! })?;
//! writer.push(&Item {
//!     at_us: 250,
//!     class: "ambil-soal".into(),
//!     key: "7f3a".into(),
//!     ..Item::default()
//! })?;
//! let bytes = writer.finish();
//!
//! let mut reader = CaptureReader::default();
//! reader.feed(&bytes);
//! assert!(matches!(reader.next()?, Some(CapturePart::Header(_))));
//! assert!(matches!(reader.next()?, Some(CapturePart::Item(item)) if item.at_us == 250));
//! assert!(matches!(reader.next()?, Some(CapturePart::Summary(summary)) if summary.items == 1));
//! reader.finish()?;
//! # Ok::<(), CaptureError>(())
//! ```

mod block;
mod error;
mod item;
mod log_format;
mod reader;
mod writer;

pub use block::MAGIC;
pub use error::CaptureError;
pub use item::{Header, Item, Summary};
pub use log_format::{
    ExpectedPart, FieldName, Fields, FormatError, FormatProblem, LineError, LogFormat,
};
pub use reader::{CapturePart, CaptureReader};
pub use writer::CaptureWriter;
