//! The concurrency limit of a server follows its latency.

mod common;

use common::*;
use load_balancer::*;

/// Guards against a jam: a server whose answers are slow is sent less at a time, and the rest is
/// diverted or rejected.
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
    assert!(before >= 4, "{before} at once to an idle server");
    for _ in 0..10 {
        admit_at_once(&mut rig, 290);
    }
    assert_eq!(
        admit_at_once(&mut rig, 290),
        1,
        "one at a time to a jammed server"
    );
    for _ in 0..60 {
        admit_at_once(&mut rig, 20);
    }
    assert!(admit_at_once(&mut rig, 20) >= 4);
}

/// Guards against a crowd (incident i19cc49): many routers, each with a limit under one, space their requests out, and
/// stop doing so when answers are quick again.
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
    assert!(before > 90, "{before} of 100 while calm");
    assert!(
        during_overload < 10,
        "{during_overload} of 100 in two seconds while jammed"
    );
    assert!(after > 90, "{after} of 100 afterwards");
}
