//! How latencies determine the age at which a flight counts as hung.

use load_balancer::Micros;
use request_coalescing::LatencyTracker;

const fn ms(millis: u64) -> Micros {
    Micros::from_millis(millis)
}

#[test]
fn the_latency_objective_counts_until_there_is_an_estimate() {
    let mut tracker = LatencyTracker::new(ms(100));
    for _ in 1..LatencyTracker::FIRST_ESTIMATE_COUNT {
        tracker.record_served(ms(15));
    }
    assert_eq!(tracker.hung_after(), ms(100));
    tracker.record_served(ms(15));
    assert_eq!(tracker.hung_after(), ms(30));
    assert_eq!(tracker.median(), Some(ms(15)));
}

/// One answer in a hundred is an origin fetch, which must not count as a hung flight.
#[test]
fn few_long_latencies_count_and_a_single_one_does_not() {
    let mut tracker = LatencyTracker::new(ms(100));
    for i in 0..LatencyTracker::WINDOW_COUNT {
        tracker.record_served(ms(if i == 17 { 2_000 } else { 1 }));
    }
    assert_eq!(tracker.hung_after(), LatencyTracker::HUNG_AFTER_MINIMUM);
    for i in 0..LatencyTracker::WINDOW_COUNT {
        tracker.record_served(ms(if i % 100 == 0 { 300 } else { 1 }));
    }
    assert_eq!(tracker.hung_after(), ms(600));
    assert_eq!(tracker.median(), Some(ms(1)));
}

#[test]
fn a_few_hung_flights_change_nothing_and_many_show_a_slow_class() {
    let mut tracker = LatencyTracker::new(ms(100));
    let mut is_slow_with_one_hung_in = |every: usize| {
        for i in 0..200 {
            if i % every == 0 {
                tracker.record_unserved(ms(2_000));
            } else {
                tracker.record_served(ms(20));
            }
        }
        tracker.is_slow()
    };
    assert!(!is_slow_with_one_hung_in(25));
    assert!(is_slow_with_one_hung_in(5));
    assert!(
        !is_slow_with_one_hung_in(25),
        "the share of hung flights falls again"
    );
}

#[test]
fn an_unserved_flight_that_ends_young_does_not_count() {
    let mut tracker = LatencyTracker::new(ms(100));
    for _ in 0..200 {
        tracker.record_unserved(ms(99));
    }
    assert!(!tracker.is_slow());
}
