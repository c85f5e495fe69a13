//! Parsers of the values on the command line.

use router_simulation::fault_plan::FaultKind;
use std::num::ParseIntError;
use std::ops::Range;
use thiserror::Error;

/// The longest range of seeds: weeks of simulation.
const MAX_SEED_COUNT: u64 = 100_000_000;

/// A value on the command line that cannot be used.
#[derive(Debug, Error)]
pub(crate) enum ArgumentError {
    /// A range of seeds.
    #[error("seeds are FIRST..END with FIRST below END, at most {MAX_SEED_COUNT} of them")]
    Seeds,
    /// A list of numbers.
    #[error(transparent)]
    Number(#[from] ParseIntError),
    /// The name of a kind of faults.
    #[error("no fault of this name; there are {}", FaultKind::PAIRED.map(FaultKind::name).join(", "))]
    Fault,
}

/// Parses `FIRST..END`.
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

/// Indices or numbers of what is to be kept; may be none.
#[derive(Clone)]
pub(crate) struct Indices(Vec<usize>);

impl Indices {
    pub(crate) fn contains(&self, index: usize) -> bool {
        self.0.contains(&index)
    }

    /// Keeps the elements of a list at these indices.
    pub(crate) fn retain<T>(&self, list: &mut Vec<T>) {
        let mut index = 0;
        list.retain(|_| {
            index += 1;
            self.contains(index - 1)
        });
    }
}

/// Parses numbers set apart by commas.
pub(crate) fn parse_indices(text: &str) -> Result<Indices, ArgumentError> {
    let parts = text.split(',').filter(|part| !part.is_empty());
    let numbers: Result<Vec<usize>, ParseIntError> = parts.map(str::parse).collect();
    Ok(Indices(numbers?))
}

/// Parses the name of a kind of faults.
pub(crate) fn parse_fault(name: &str) -> Result<FaultKind, ArgumentError> {
    FaultKind::named(name).ok_or(ArgumentError::Fault)
}
