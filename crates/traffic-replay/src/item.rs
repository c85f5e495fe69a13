//! What a capture holds.

use crate::CaptureError;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest text of an item: the router's own bound on a field, so that all that it can carry fits.
const TEXT_LONGEST: usize = 1024;
/// Kinds of malformed input that a summary counts apart, and sources that a header names.
const NAMES_MOST: usize = 256;

/// What stands before the items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// The start of the first item, Unix time in microseconds.
    pub begins_us: i64,
    /// Where the items come from, as the operator named them; an item holds an index into this list.
    pub sources: Vec<String>,
}

/// One request as it was asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// When it began, in microseconds since [`Header::begins_us`]; never less than that of the item before.
    pub at_us: u64,
    /// Index into [`Header::sources`].
    pub source: u16,
    /// Whether it writes.
    pub write: bool,
    /// Whether it is a client's repeat of an earlier one.
    pub retry: bool,
    /// The class, named as in the settings of the router.
    pub class: String,
    /// What it concerned.
    pub key: String,
    /// Who asked.
    pub tenant: Option<String>,
    /// A guess at its work, in microseconds.
    pub cost_hint_us: Option<u64>,
    /// Bytes of the value.
    pub size: Option<u64>,
    /// What a repeat of it has in common with it.
    pub idempotency_key: Option<String>,
    /// The status that it had in its source.
    pub status: Option<u16>,
    /// How long it took in its source, in microseconds.
    pub took_us: Option<u64>,
}

/// What stands behind the items: all that was read, so that nothing is lost in silence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Items in this capture.
    pub items: u64,
    /// What could not be used, by kind.
    pub malformed: BTreeMap<String, u64>,
}

impl Header {
    pub(crate) fn check(&self) -> Result<(), CaptureError> {
        if self.sources.len() > NAMES_MOST {
            return Err(CaptureError::TooMany {
                what: "sources",
                most: NAMES_MOST,
            });
        }
        self.sources
            .iter()
            .try_for_each(|source| check_text("source", source))
    }
}

impl Item {
    pub(crate) fn check(&self, header: &Header, last_at_us: u64) -> Result<(), CaptureError> {
        check_text("class", &self.class)?;
        check_text("key", &self.key)?;
        check_text("tenant", self.tenant.as_deref().unwrap_or_default())?;
        check_text(
            "idempotency_key",
            self.idempotency_key.as_deref().unwrap_or_default(),
        )?;
        if usize::from(self.source) >= header.sources.len() {
            return Err(CaptureError::UnknownSource {
                source: self.source,
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
    /// Counts one malformed item; past 256 kinds all others count as `other`.
    pub fn count_malformed(&mut self, kind: &str) {
        let known = self.malformed.contains_key(kind) || self.malformed.len() < NAMES_MOST - 1;
        let kind = if known && kind.len() <= TEXT_LONGEST {
            kind
        } else {
            "other"
        };
        let count = self.malformed.entry(kind.to_string()).or_default();
        *count = count.saturating_add(1);
    }

    pub(crate) fn check(&self) -> Result<(), CaptureError> {
        if self.malformed.len() > NAMES_MOST {
            return Err(CaptureError::TooMany {
                what: "kinds of malformed items",
                most: NAMES_MOST,
            });
        }
        self.malformed
            .keys()
            .try_for_each(|kind| check_text("kind", kind))
    }
}

fn check_text(what: &'static str, text: &str) -> Result<(), CaptureError> {
    if text.len() > TEXT_LONGEST {
        return Err(CaptureError::TooLong {
            what,
            bytes: text.len(),
            most: TEXT_LONGEST,
        });
    }
    Ok(())
}
