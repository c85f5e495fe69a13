//! Identifiers of requests, attempts and servers, and indices into the settings.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

/// A request. The embedding router never uses an identifier twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// The number of an attempt within its request: 0 for the first
/// [`Action::Send`](crate::Action::Send), and so on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptNumber(pub u32);

/// A server's stable name, whose bytes determine its positions on the ring.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// Allows lookups by `&str` without a copy.
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

/// A zone. The embedding router assigns the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ZoneId(pub usize);

/// A machine kind. The embedding router assigns the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MachineKindId(pub usize);

/// A cell: a group of servers that share a record of idempotency keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CellId(pub u64);
