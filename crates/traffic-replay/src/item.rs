//! The contents of a capture: header, items and summary.

use crate::CaptureError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Length limit for texts; equals the router's limit for a command field.
const MAX_TEXT_BYTES: usize = 1024;
/// Limit for the sources in a header and for the kinds of malformed items in a summary.
const MAX_NAMES: usize = 256;
/// Kind under which malformed items are counted when the summary has no room for their own kind.
const OVERFLOW_KIND: &str = "other";

/// Contents of the first block of a capture.
///
/// The order and types of the fields define the stored form, here and in [`Item`] and [`Summary`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Start of the capture, as Unix time in microseconds.
    pub start_us: i64,
    /// Names of the sources, chosen by the operator; items refer to them by index.
    pub sources: Vec<String>,
}

/// One recorded request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Time at which the request was sent, in microseconds since [`Header::start_us`]. Not earlier
    /// than that of the preceding item.
    pub at_us: u64,
    /// Index into [`Header::sources`].
    pub source: u16,
    /// Whether the request is a write.
    pub write: bool,
    /// Whether the request is a client's retry of an earlier request.
    pub retry: bool,
    /// Request class, by its name in the router's settings.
    pub class: String,
    /// Key that the request reads or writes.
    pub key: String,
    /// Tenant that sent the request.
    pub tenant: Option<String>,
    /// Cost hint: estimated work of the request, in microseconds.
    pub cost_hint_us: Option<u64>,
    /// Size of the value, in bytes.
    pub size: Option<u64>,
    /// Idempotency key; retries of a request carry the same one.
    pub idempotency_key: Option<String>,
    /// HTTP status that the source recorded.
    pub status: Option<u16>,
    /// Latency that the source recorded, in microseconds.
    pub latency_us: Option<u64>,
}

/// Contents of the last block of a capture. Accounts for all input, including malformed items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of items in the capture.
    pub items: u64,
    /// Number of malformed items in the sources, by kind.
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
    /// Counts one malformed item. It counts as `other` if its kind is new and there are 255 kinds
    /// already, or if the name of its kind exceeds 1,024 bytes.
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
