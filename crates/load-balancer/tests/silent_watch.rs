//! Calls of discovery after a silence, and after calls that waited in its queue in vain.

mod common;

use common::*;
use load_balancer::*;

const POLL_WITHIN: Micros = Micros(10_000_000);
const ASKED: DiscoveryMode = DiscoveryMode::Subscribe {
    poll_within: POLL_WITHIN,
};
/// What a silent watch misses counts as known this long after the silence began.
const KNOWN_AFTER: Micros = Micros(6_000_000);

/// A call without an answer for so long is given up.
const LONGEST_CALL: Micros = Micros(2_500_000);

/// The waits after calls that discovery rejected after this time, one behind the other.
fn waits_after_rejections(seed: u64, waited: Micros, count: usize) -> Vec<Micros> {
    let mut settings = settings();
    settings.discovery = ASKED;
    let mut router = Router::new(settings, seed).expect("usable settings");
    let mut actions = Vec::new();
    let mut waits = Vec::new();
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
        waits.push(after);
    }
    waits
}

/// Guards against a fleet that calls an overloaded discovery again at once and in step, and against waits that grow past
/// the time by which a change counts as known.
#[test]
fn calls_that_waited_in_vain_are_repeated_apart_and_in_time() {
    let waits: Vec<Micros> = (0..100)
        .flat_map(|seed| waits_after_rejections(seed, ms(2_000), 5))
        .collect();
    assert!(waits.iter().all(|&wait| wait >= ms(2_000)), "{waits:?}");
    let is_in_time = |wait: &Micros| wait.plus(LONGEST_CALL) < KNOWN_AFTER;
    assert!(waits.iter().all(is_in_time), "{waits:?}");
    let (first, last) = (waits.iter().min(), waits.iter().max());
    let (Some(&first), Some(&last)) = (first, last) else {
        panic!("no waits")
    };
    let middle = first.plus(last).scaled(0.5);
    let soon = waits.iter().filter(|&&wait| wait < middle).count();
    assert!((200..300).contains(&soon), "spread evenly: {soon} of 500");
}

/// Guards against waits after quick failures that grow past the time by which a change counts as known.
#[test]
fn calls_that_keep_failing_at_once_are_repeated_in_time() {
    for seed in 0..100 {
        let waits = waits_after_rejections(seed, ms(2), 12);
        let is_in_time = |wait: &Micros| wait.plus(LONGEST_CALL) < KNOWN_AFTER;
        assert!(waits.iter().all(is_in_time), "{waits:?}");
    }
}

#[test]
fn calls_that_are_rejected_at_once_are_repeated_soon() {
    assert!(waits_after_rejections(3, ms(2), 1)[0] <= ms(1_000));
}

/// Guards against a second and a third call that come after a drain counts as known.
#[test]
fn a_small_fleet_has_time_for_three_calls() {
    for (routers, place) in [(1, 1.0), (5, 0.8), (12, 11.0 / 12.0)] {
        let policy = SilentWatchPolicy::new(ASKED, routers, place);
        let interval = policy.hedged_call_interval(None).expect("calls beside one");
        let third = policy.silence_limit.plus(interval).plus(interval);
        assert!(third < KNOWN_AFTER, "{routers} routers: {third:?}");
    }
}

/// Guards against calls beside others at an overloaded discovery.
#[test]
fn an_overloaded_discovery_is_called_once() {
    let small = SilentWatchPolicy::new(ASKED, 5, 0.5);
    assert!(small.hedged_call_interval(Some(ms(2))).is_some());
    assert_eq!(small.hedged_call_interval(Some(ms(2_000))), None);
    let large = SilentWatchPolicy::new(ASKED, 100, 0.5);
    assert_eq!(large.hedged_call_interval(None), None);
    assert!(large.silence_limit < KNOWN_AFTER);
}
