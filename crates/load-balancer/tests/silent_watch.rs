//! Calls to discovery after a silent watch, and after calls that were rejected or failed.

mod common;

use common::*;
use load_balancer::*;

const POLL_WITHIN: Micros = Micros(10_000_000);
const SUBSCRIBE: DiscoveryMode = DiscoveryMode::Subscribe {
    poll_within: POLL_WITHIN,
};
/// A change that a silent watch misses counts as known this long after the silence began.
const KNOWN_DELAY: Micros = Micros(6_000_000);

/// A call without an answer is abandoned after this time.
const MAX_CALL_DURATION: Micros = Micros(2_500_000);

/// The retry delays after `count` consecutive calls that discovery rejected after `waited`.
fn retry_delays_after_rejections(seed: u64, waited: Micros, count: usize) -> Vec<Micros> {
    let mut settings = settings();
    settings.discovery = SUBSCRIBE;
    let mut router = Router::new(settings, seed).expect("usable settings");
    let mut actions = Vec::new();
    let mut delays = Vec::new();
    for _ in 0..count {
        actions.clear();
        let rejected = Event::EndpointsChanged {
            update: EndpointUpdate::PollRejected { waited },
            endpoints: Vec::new(),
        };
        router.handle(ms(1), rejected, &mut actions);
        let [Action::SetTimer { after, .. }] = actions[..] else {
            panic!("{actions:?}")
        };
        delays.push(after);
    }
    delays
}

/// Guards against routers that all retry an overloaded discovery immediately or at the same time,
/// and against delays that exceed the time after which a change counts as known.
#[test]
fn retries_of_queued_calls_are_spread_and_in_time() {
    let delays: Vec<Micros> = (0..100)
        .flat_map(|seed| retry_delays_after_rejections(seed, ms(2_000), 5))
        .collect();
    assert!(delays.iter().all(|&delay| delay >= ms(2_000)), "{delays:?}");
    let is_in_time = |delay: &Micros| delay.plus(MAX_CALL_DURATION) < KNOWN_DELAY;
    assert!(delays.iter().all(is_in_time), "{delays:?}");
    let (first, last) = (delays.iter().min(), delays.iter().max());
    let (Some(&first), Some(&last)) = (first, last) else {
        panic!("no delays")
    };
    let middle = first.plus(last).scaled(0.5);
    let early = delays.iter().filter(|&&delay| delay < middle).count();
    assert!((200..300).contains(&early), "spread evenly: {early} of 500");
}

/// Guards against delays after immediate failures that exceed the time after which a change counts
/// as known.
#[test]
fn retries_of_immediately_failing_calls_are_in_time() {
    for seed in 0..100 {
        let delays = retry_delays_after_rejections(seed, ms(2), 12);
        let is_in_time = |delay: &Micros| delay.plus(MAX_CALL_DURATION) < KNOWN_DELAY;
        assert!(delays.iter().all(is_in_time), "{delays:?}");
    }
}

#[test]
fn an_immediately_rejected_call_is_retried_within_a_second() {
    assert!(retry_delays_after_rejections(3, ms(2), 1)[0] <= ms(1_000));
}

/// Guards against a second or third call that comes too late, after a change counts as known.
#[test]
fn a_small_fleet_has_time_for_three_calls() {
    for (routers, stagger_fraction) in [(1, 1.0), (5, 0.8), (12, 11.0 / 12.0)] {
        let policy = SilentWatchPolicy::new(SUBSCRIBE, routers, stagger_fraction);
        let interval = policy.hedged_call_interval(None).expect("hedged calls");
        let third = policy.silence_limit.plus(interval).plus(interval);
        assert!(third < KNOWN_DELAY, "{routers} routers: {third:?}");
    }
}

/// Guards against hedged calls to an overloaded discovery.
#[test]
fn an_overloaded_discovery_is_called_once() {
    let small = SilentWatchPolicy::new(SUBSCRIBE, 5, 0.5);
    assert!(small.hedged_call_interval(Some(ms(2))).is_some());
    assert_eq!(small.hedged_call_interval(Some(ms(2_000))), None);
    let large = SilentWatchPolicy::new(SUBSCRIBE, 100, 0.5);
    assert_eq!(large.hedged_call_interval(None), None);
    assert!(large.silence_limit < KNOWN_DELAY);
}
