//! Rejections, and retries of rejected requests.

mod common;

use common::*;
use load_balancer::*;

/// Sends writes until no limit has capacity, and returns those in flight.
fn fill_limit(rig: &mut TestRouter) -> Vec<RequestId> {
    let requests: Vec<_> = (0..30).map(|key| rig.request(1, key)).collect();
    requests
        .into_iter()
        .filter(|(_, actions)| sent(actions).is_some())
        .map(|(id, _)| id)
        .collect()
}

/// Guards against clients that retry immediately, during the same overload: a rejection has a
/// Retry-After time if clients support it, which is not above the limit that they respect.
#[test]
fn a_rejection_comes_at_once_with_a_retry_after_time() {
    let retry_after_of = |retry_after: bool, longest: u64| {
        let limits = Limits {
            max_attempts: 1,
            retry_after,
            max_retry_after: ms(longest),
            ..settings().limits
        };
        let mut rig = TestRouter::new(
            Settings {
                limits,
                ..settings()
            },
            ready(1),
        );
        let (id, _) = rig.request(0, 5);
        let given = rig
            .end_attempt(id, 0, Outcome::Overloaded, 20)
            .into_iter()
            .find_map(|action| match action {
                Action::Reject { retry_after, .. } => Some(retry_after),
                _ => None,
            });
        given.expect("a rejection when the attempt ends, not at the deadline")
    };
    let baseline = retry_after_of(true, 1_000).expect("a retry-after time");
    assert!(baseline > Micros(0) && baseline < ms(1_000), "{baseline:?}");
    assert_eq!(retry_after_of(true, 7), Some(ms(7)));
    assert_eq!(retry_after_of(false, 1_000), None);
}

/// Guards against retries that sustain overload: the age of a retry counts from the first try. Once
/// its answer would be too late to have any weight, the capacity is left to requests that are in
/// time.
#[test]
fn a_retry_past_its_objective_leaves_capacity_to_others() {
    let sent_count = |wait: u64, late_weight: f64| {
        let mut rig = TestRouter::new(settings_with_late_weight(late_weight), ready(1));
        let keys = 100..130;
        for key in keys.clone() {
            rig.served_by(key);
        }
        let in_flight = fill_limit(&mut rig);
        assert!(
            keys.clone().all(|key| rejected(&rig.request(0, key).1)),
            "no capacity is left"
        );
        for id in in_flight {
            rig.end_attempt(id, 0, Outcome::Success, 20);
        }
        rig.now = rig.now.plus(ms(wait));
        keys.filter(|&key| sent(&rig.retry(0, key).1).is_some())
            .count()
    };
    let (early, late, late_with_weight) = (
        sent_count(50, 0.0),
        sent_count(290, 0.0),
        sent_count(290, 1.0),
    );
    assert!(early >= 4, "{early} in time");
    assert!(
        (1..=early / 2).contains(&late),
        "{late} sent late without late weight; {early} in time"
    );
    assert_eq!(late_with_weight, early, "late answers have full weight");
}

/// Guards retries that are not known to be late: a retry of a request that this router did not
/// reject, or rejected longer ago than the deadline of its class, counts as a new request.
#[test]
fn a_retry_without_a_known_rejection_counts_as_new() {
    let sent_count = |was_rejected: bool| {
        let mut rig = TestRouter::new(settings_with_late_weight(0.0), ready(1));
        for key in 100..130 {
            rig.served_by(key);
        }
        let in_flight = fill_limit(&mut rig);
        for key in (100..130).filter(|_| was_rejected) {
            rig.request(0, key);
        }
        for id in in_flight {
            rig.end_attempt(id, 0, Outcome::Success, 20);
        }
        rig.now = rig.now.plus(ms(1_200));
        (100..130)
            .filter(|&key| sent(&rig.retry(0, key).1).is_some())
            .count()
    };
    assert!(sent_count(false) >= 4);
    assert_eq!(
        sent_count(true),
        sent_count(false),
        "a rejection older than the deadline has no effect"
    );
}
