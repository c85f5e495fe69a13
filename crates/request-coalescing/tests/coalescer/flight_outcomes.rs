//! What the waiters of a rejected or failed flight are answered.

use crate::harness::*;
use request_coalescing::*;

#[test]
fn a_rejection_reaches_all_waiters_with_spread_retry_after() {
    let mut harness = Harness::new();
    for id in 1..=500 {
        harness.read(id);
    }
    let answers = answers(&harness.ended(1, FlightOutcome::Rejected(Some(ms(100)))));
    assert_eq!(answers.len(), 500);
    let mut retry_after_us: Vec<u64> = answers
        .iter()
        .map(|(_, outcome)| match outcome {
            FlightOutcome::Rejected(Some(after)) => after.0,
            outcome => panic!("not rejected with a Retry-After: {outcome:?}"),
        })
        .collect();
    retry_after_us.sort_unstable();
    assert!(
        retry_after_us[0] >= 100_000 && retry_after_us[499] <= 200_000,
        "{retry_after_us:?}"
    );
    let widest = retry_after_us
        .windows(2)
        .map(|pair| pair[1] - pair[0])
        .max()
        .expect("at least two answers");
    assert!(
        widest < 2_000,
        "gap of {widest} us: 500 values over 100 ms should differ by at most ten times the mean gap of 200 us"
    );
}

#[test]
fn a_failure_reaches_all_waiters_unchanged() {
    let mut harness = Harness::new();
    harness.read(1);
    harness.read(2);
    assert_eq!(
        answers(&harness.ended(1, FlightOutcome::Failed)),
        [(1, FlightOutcome::Failed), (2, FlightOutcome::Failed)]
    );
}
