//! Identifiers: requests, attempts, servers, and indices into the settings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// A request; the embedding router never uses one twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The number of an attempt of one request, from 0 in the order of their [`Action::Send`](crate::Action::Send).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// A cache server's stable name; its bytes place it on the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// For lookups by name without a copy.
impl Borrow<str> for ServerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for ServerId {
    fn from(name: &str) -> Self {
        ServerId(Arc::from(name))
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// Index into [`Settings::classes`](crate::Settings::classes).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassId(pub usize);

/// Index into [`Settings::tenants`](crate::Settings::tenants).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TenantId(pub usize);

/// A zone, by any number the embedding router gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneId(pub usize);

/// A kind of machine, by any number the embedding router gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KindId(pub usize);

/// A cell: a few servers that share their record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CellId(pub u64);
