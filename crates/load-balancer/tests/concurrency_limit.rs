//! Adaptation of a server's concurrency limit to the latency of its answers.

mod common;

use common::*;
use load_balancer::*;

/// Guards against overload of a server: while its answers are slow it is sent fewer requests at a
/// time, and the rest is diverted or rejected.
#[test]
fn slow_answers_decrease_a_limit_and_quick_ones_restore_it() {
    let mut rig = TestRouter::new(settings(), ready(1));
    let admit_at_once = |rig: &mut TestRouter, elapsed_ms: u64| {
        let ids: Vec<_> = (0..20).map(|_| rig.request(0, 7)).collect();
        let admitted: Vec<_> = ids
            .iter()
            .filter(|(_, actions)| sent(actions).is_some())
            .collect();
        for (id, _) in &admitted {
            rig.event(ended_with_status(
                *id,
                Outcome::Success,
                elapsed_ms,
                Some(CacheStatus::Hit),
            ));
        }
        admitted.len()
    };
    let before = admit_at_once(&mut rig, 20);
    assert!(before >= 4, "{before} requests at a time to an idle server");
    for _ in 0..10 {
        admit_at_once(&mut rig, 290);
    }
    assert_eq!(
        admit_at_once(&mut rig, 290),
        1,
        "an overloaded server is sent one request at a time"
    );
    for _ in 0..60 {
        admit_at_once(&mut rig, 20);
    }
    assert!(admit_at_once(&mut rig, 20) >= 4);
}

/// Guards against many routers overloading a server together (incident i19cc49), although each has
/// a limit below one: they space their requests out until answers are quick again.
#[test]
fn a_limit_below_one_paces_requests() {
    let mut settings = settings();
    settings.routers = 16;
    let mut rig = TestRouter::new(settings, ready(1));
    let sent_of_100 = |rig: &mut TestRouter, elapsed_ms: u64| {
        let mut count = 0;
        for _ in 0..100 {
            let (id, actions) = rig.request(0, 7);
            if sent(&actions).is_some() {
                count += 1;
                rig.event(ended_with_status(
                    id,
                    Outcome::Success,
                    elapsed_ms,
                    Some(CacheStatus::Hit),
                ));
            }
            rig.now = rig.now.plus(ms(20));
        }
        count
    };
    let before = sent_of_100(&mut rig, 10);
    let during_overload = (0..4)
        .map(|_| sent_of_100(&mut rig, 280))
        .last()
        .expect("four rounds");
    let after = (0..4)
        .map(|_| sent_of_100(&mut rig, 10))
        .last()
        .expect("four rounds");
    assert!(
        before > 90,
        "{before} of 100 requests sent before the overload"
    );
    assert!(
        during_overload < 10,
        "{during_overload} of 100 requests sent in two seconds of overload"
    );
    assert!(
        after > 90,
        "{after} of 100 requests sent after the overload"
    );
}
