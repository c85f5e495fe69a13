//! The memory budget: which values may be read past the limit, and that memory is released.

use router_runtime::memory_budget::{MemoryBudget, MemoryReservation};
use router_runtime::resp::MAX_VALUE_BYTES;

#[test]
fn over_budget_only_the_oldest_unfinished_value_may_be_read() {
    let budget = MemoryBudget::new(100);
    let (mut first, mut second) = (budget.reserve(40), budget.reserve(40));
    assert!(first.may_read_more() && second.may_read_more());
    second.add(30);
    assert!(first.may_read_more() && !second.may_read_more());
    first.add(MAX_VALUE_BYTES - 100);
    assert!(first.may_read_more());
    first.add(100);
    first.complete();
    assert!(
        !second.may_read_more(),
        "it is the oldest now, but a whole value past the limit is still in memory"
    );
    drop(first);
    assert!(second.may_read_more());
    assert_eq!(budget.used_bytes(), 70);
}

#[test]
fn a_dropped_reservation_returns_its_memory() {
    let budget = MemoryBudget::new(100);
    let (first, second) = (budget.reserve(150), budget.reserve(1));
    assert!(!second.may_read_more());
    drop(first);
    assert!(second.may_read_more());
    drop(second);
    assert_eq!((budget.used_bytes(), budget.unfinished_count()), (0, 0));
}

/// Guards against memory that is taken from a value whose bytes wait to be read, or that has just
/// received some.
#[test]
fn only_a_value_without_arrivals_is_revoked() {
    let budget = MemoryBudget::new(100);
    let mut values: Vec<_> = (0..4).map(|_| budget.reserve(30)).collect();
    values[1].set_unread_input(true);
    let arrival_count = budget.arrival_count();
    values[0].add(1);
    let revoked = |values: &[MemoryReservation]| -> Vec<bool> {
        values.iter().map(MemoryReservation::is_revoked).collect()
    };
    assert!(budget.revoke_stalled(arrival_count));
    assert_eq!(revoked(&values), [false, false, true, false]);
    assert!(budget.revoke_stalled(arrival_count));
    assert_eq!(revoked(&values), [false, false, true, true]);
    assert!(!budget.revoke_stalled(arrival_count));
    values[1].set_unread_input(false);
    values[1].complete();
    assert!(
        !budget.revoke_stalled(arrival_count),
        "a finished value is not stalled"
    );
}

#[test]
fn the_smallest_budget_holds_two_values_of_maximum_size() {
    assert_eq!(MemoryBudget::for_process_memory(0).limit_bytes(), 8 << 20);
    assert_eq!(
        MemoryBudget::for_process_memory(192 << 20).limit_bytes(),
        (176 << 20) / 3
    );
}
