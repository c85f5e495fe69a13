//! Parsers for the values of command-line arguments.

use router_simulation::fault_plan::FaultKind;
use std::num::ParseIntError;
use std::ops::Range;
use thiserror::Error;

/// The longest range of seeds, which takes weeks to simulate.
const MAX_SEED_COUNT: u64 = 100_000_000;

/// An invalid value on the command line.
#[derive(Debug, Error)]
pub(crate) enum ArgumentError {
    /// An invalid range of seeds.
    #[error("expected FIRST..END with FIRST less than END and at most {MAX_SEED_COUNT} seeds")]
    Seeds,
    /// An invalid list of numbers.
    #[error(transparent)]
    Number(#[from] ParseIntError),
    /// An unknown fault kind.
    #[error("unknown fault; the known faults include {}", FaultKind::PAIRED.map(FaultKind::name).join(", "))]
    Fault,
}

/// Parses a range of seeds, `FIRST..END` without `END`.
pub(crate) fn parse_seeds(text: &str) -> Result<Range<u64>, ArgumentError> {
    let (first, end) = text.split_once("..").ok_or(ArgumentError::Seeds)?;
    let first = first.parse().map_err(|_| ArgumentError::Seeds)?;
    let end = end.parse().map_err(|_| ArgumentError::Seeds)?;
    if first < end && end - first <= MAX_SEED_COUNT {
        Ok(first..end)
    } else {
        Err(ArgumentError::Seeds)
    }
}

/// The indices or numbers of the items to keep; may be empty.
#[derive(Clone)]
pub(crate) struct Indices(Vec<usize>);

impl Indices {
    pub(crate) fn contains(&self, index: usize) -> bool {
        self.0.contains(&index)
    }

    /// Removes all elements of a list except those at these indices.
    pub(crate) fn retain<T>(&self, list: &mut Vec<T>) {
        let mut index = 0;
        list.retain(|_| {
            index += 1;
            self.contains(index - 1)
        });
    }
}

/// Parses a comma-separated list of numbers.
pub(crate) fn parse_indices(text: &str) -> Result<Indices, ArgumentError> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    let numbers: Result<Vec<usize>, ParseIntError> = parts.map(str::parse).collect();
    Ok(Indices(numbers?))
}

/// Parses the name of a fault kind.
pub(crate) fn parse_fault(name: &str) -> Result<FaultKind, ArgumentError> {
    FaultKind::named(name).ok_or(ArgumentError::Fault)
}
