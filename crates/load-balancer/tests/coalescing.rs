//! Coalesced requests, whose answer several clients wait for.

mod common;

use common::*;
use load_balancer::*;

fn coalesced(id: RequestId, tenant: Option<usize>, expires: Micros) -> Event {
    Event::Coalesced {
        id,
        tenant: tenant.map(TenantId),
        expires,
    }
}

/// A joining client with a later deadline extends the deadline of the request; one with an earlier
/// deadline does not shorten it.
#[test]
fn a_coalesced_client_extends_a_deadline_and_never_shortens_it() {
    let mut rig = TestRouter::new(settings(), ready(2));
    let (id, _) = rig.request(0, 7);
    let asked = rig.now;
    rig.event(coalesced(id, None, asked.plus(ms(200))));
    rig.event(coalesced(id, None, asked.plus(ms(1_000))));
    rig.now = asked.plus(ms(800));
    let deadline = Event::Timer {
        token: u64::from(id.0) << 2,
    };
    let actions = rig.event(deadline.clone());
    assert_eq!(
        actions,
        [Action::SetTimer {
            after: ms(200),
            token: u64::from(id.0) << 2
        }]
    );
    rig.now = asked.plus(ms(999));
    assert!(
        sent(&rig.end_attempt(id, 0, Outcome::Unreachable, 999)).is_none(),
        "no time is left for another attempt"
    );
    let (id, _) = rig.request(0, 7);
    rig.event(coalesced(id, None, rig.now.plus(ms(2_000))));
    rig.event(Event::DeadlineShortened {
        id,
        expires: rig.now.plus(ms(50)),
    });
    assert!(
        rejected(&rig.end_attempt(id, 0, Outcome::Unreachable, 1)),
        "no remaining client has time for another attempt"
    );
    let (id, _) = rig.request(0, 7);
    rig.now = rig.now.plus(ms(800));
    assert!(
        rejected(&rig.event(Event::Timer {
            token: u64::from(id.0) << 2
        })),
        "without other clients its own deadline applies"
    );
}

/// A tenant that sends more than its share gets a lower limit. A request that a client of another
/// tenant joins has the limit of that tenant.
#[test]
fn a_coalesced_request_has_the_priority_of_its_most_entitled_tenant() {
    let tenants = vec![
        Tenant {
            quota_per_s: 10.0,
            share: 0.5
        };
        2
    ];
    for has_joined in [false, true] {
        let mut rig = TestRouter::new(
            Settings {
                tenants: tenants.clone(),
                routers: 1,
                ..settings()
            },
            ready(2),
        );
        let send_request = |rig: &mut TestRouter, number: u32| {
            rig.event(Event::Request(Request {
                id: RequestId(number),
                class: ClassId(0),
                tenant: Some(TenantId(usize::from(
                    number < 2_000 && number.is_multiple_of(5),
                ))),
                key: Some(u64::from(number)),
                expires: rig.now.plus(ms(800)),
                cost_hint: None,
                retry: false,
                write: false,
            }))
        };
        // Tenant 0 exceeds its share, which lowers its limit; then it fills that limit.
        for number in 0..2_000 {
            send_request(&mut rig, number);
            rig.end_attempt(RequestId(number), 0, Outcome::Success, 5);
        }
        let sent_count = (10_000..10_400)
            .filter(|&number| sent(&send_request(&mut rig, number)).is_some())
            .count();
        assert!((2..400).contains(&sent_count), "{sent_count}");
        if has_joined {
            rig.event(coalesced(RequestId(10_000), Some(1), rig.now.plus(ms(800))));
            rig.event(coalesced(RequestId(10_000), Some(0), rig.now.plus(ms(800))));
        }
        let actions = rig.end_attempt(RequestId(10_000), 0, Outcome::Overloaded, 5);
        assert_eq!(
            sent(&actions).is_some(),
            has_joined,
            "only the limit of tenant 1 leaves capacity for a retry: {actions:?}"
        );
    }
}
