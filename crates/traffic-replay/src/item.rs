//! The contents of a capture: header, items and summary.

use crate::CaptureError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest text of an item: the router's bound on a command's field.
const MAX_TEXT_BYTES: usize = 1024;
/// Bounds the sources of a header and the kinds of malformed items in a summary.
const MAX_NAMES: usize = 256;
/// Counts the malformed items whose kind a summary has no room for.
const OVERFLOW_KIND: &str = "other";

/// The first block of a capture.
///
/// The order of the fields is the stored form, here and in [`Item`] and [`Summary`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The capture's start: Unix time in microseconds.
    pub start_us: i64,
    /// The sources, as the operator names them; an item holds an index into this list.
    pub sources: Vec<String>,
}

/// One recorded request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// When it was sent, in microseconds since [`Header::start_us`]; never less than that of the item before.
    pub at_us: u64,
    /// Index into [`Header::sources`].
    pub source: u16,
    /// Whether it is a write.
    pub write: bool,
    /// Whether it is a client's retry of an earlier one.
    pub retry: bool,
    /// The request class, named as in the router's settings.
    pub class: String,
    /// The key that it reads or writes.
    pub key: String,
    /// The tenant that sent it.
    pub tenant: Option<String>,
    /// The cost hint: its estimated work, in microseconds.
    pub cost_hint_us: Option<u64>,
    /// Size of the value, in bytes.
    pub size: Option<u64>,
    /// The idempotency key, which retries of it share.
    pub idempotency_key: Option<String>,
    /// The status that the source recorded.
    pub status: Option<u16>,
    /// The latency that the source recorded, in microseconds.
    pub latency_us: Option<u64>,
}

/// The last block of a capture. It accounts for all input, malformed items included.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Items in this capture.
    pub items: u64,
    /// Malformed items of the source, by kind.
    pub malformed: BTreeMap<String, u64>,
}

impl Header {
    pub(crate) fn validate(&self) -> Result<(), CaptureError> {
        if self.sources.len() > MAX_NAMES {
            return Err(CaptureError::TooMany {
                what: "sources",
                limit: MAX_NAMES,
            });
        }
        for source in &self.sources {
            validate_text("source", source)?;
        }
        Ok(())
    }
}

impl Item {
    pub(crate) fn validate(&self, header: &Header, last_at_us: u64) -> Result<(), CaptureError> {
        validate_text("class", &self.class)?;
        validate_text("key", &self.key)?;
        validate_text("tenant", self.tenant.as_deref().unwrap_or_default())?;
        validate_text(
            "idempotency_key",
            self.idempotency_key.as_deref().unwrap_or_default(),
        )?;
        if usize::from(self.source) >= header.sources.len() {
            return Err(CaptureError::UnknownSource {
                source_index: self.source,
            });
        }
        if self.at_us < last_at_us {
            return Err(CaptureError::OutOfOrder {
                at_us: self.at_us,
                after_us: last_at_us,
            });
        }
        Ok(())
    }
}

impl Summary {
    /// Counts one malformed item. Past 255 kinds, new ones count as `other`, as do kinds of over 1,024 bytes.
    pub fn count_malformed(&mut self, kind: &str) {
        let has_entry = self.malformed.contains_key(kind);
        let has_room = self.malformed.len() < MAX_NAMES - 1;
        let kind = if (has_entry || has_room) && kind.len() <= MAX_TEXT_BYTES {
            kind
        } else {
            OVERFLOW_KIND
        };
        let count = self.malformed.entry(kind.to_string()).or_default();
        *count = count.saturating_add(1);
    }

    pub(crate) fn validate(&self) -> Result<(), CaptureError> {
        if self.malformed.len() > MAX_NAMES {
            return Err(CaptureError::TooMany {
                what: "kinds of malformed items",
                limit: MAX_NAMES,
            });
        }
        for kind in self.malformed.keys() {
            validate_text("kind", kind)?;
        }
        Ok(())
    }
}

fn validate_text(what: &'static str, text: &str) -> Result<(), CaptureError> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(CaptureError::TooLong {
            what,
            bytes: text.len(),
            limit: MAX_TEXT_BYTES,
        });
    }
    Ok(())
}
