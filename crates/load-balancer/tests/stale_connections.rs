//! Connections that are dropped without notice while idle.

mod common;

use common::*;
use load_balancer::*;

/// Guards against requests on dead idle connections: after one such connection broke, connections
/// with a similar idle time are closed before use. Connections in steady use are not.
#[test]
fn idle_connections_are_closed_before_use_after_a_stale_one() {
    let mut rig = TestRouter::new(settings(), ready(1));
    let closes = |actions: &[Action]| {
        actions
            .iter()
            .any(|a| matches!(a, Action::CloseIdle { .. }))
    };
    let request_after = |rig: &mut TestRouter, wait: u64, outcome: Outcome| {
        rig.now = rig.now.plus(ms(wait));
        let (id, actions) = rig.request(0, 7);
        rig.end_attempt(id, 0, outcome, 5);
        closes(&actions)
    };
    assert!(!request_after(&mut rig, 0, Outcome::Success));
    assert!(!request_after(&mut rig, 4_000, Outcome::ConnectionLost));
    assert!(
        request_after(&mut rig, 3_000, Outcome::Success),
        "idle too long"
    );
    assert!(
        !request_after(&mut rig, 100, Outcome::Success),
        "in steady use"
    );
    assert!(
        !request_after(&mut rig, 16_000, Outcome::Success),
        "after the idle timeout there is no idle connection"
    );
}
